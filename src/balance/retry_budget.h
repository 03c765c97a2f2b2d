#pragma once

#include "base/random.h"
#include "base/time.h"

#include <cstdint>

namespace medlarway
{

/// Limits retries to a share of the fresh requests, so that they can't multiply an overload.
class RetryBudget
{
public:
    /// A fresh request arrived and earns its share of a retry.
    void earn();

    /// Takes one retry from the budget. False where it is spent.
    bool spend();

    /// Retries that may be made now.
    double left() const
    {
        return tokens_;
    }

private:
    double tokens_ = kLargestBudget;

    static constexpr double kShareOfFresh = 0.2;
    static constexpr double kLargestBudget = 20.0;
};

/// How long to wait before the next attempt after `attempts` of them, with jitter.
Duration retryBackoff(std::uint32_t attempts, Random &random);

/// Attempts that one request may use up in all.
inline constexpr std::uint32_t kMostAttempts = 4;

} // namespace medlarway
