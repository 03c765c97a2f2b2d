#pragma once

#include "base/random.h"
#include "base/time.h"

#include <cstdint>

namespace medlarway
{

/// A token bucket that limits retries to a fraction of the new requests, so that they can't amplify an overload.
class RetryBudget
{
public:
    /// Adds the tokens earned by one new request.
    void deposit();

    /// Takes the token for one retry; returns false if there is none.
    bool tryWithdraw();

    /// The number of retries that the budget covers now.
    double available() const
    {
        return tokens_;
    }

private:
    double tokens_ = kMaxTokens;

    static constexpr double kTokensPerRequest = 0.2;
    static constexpr double kMaxTokens = 20.0;
};

/// The delay, with jitter, before the next attempt. `attempts` counts the failed attempts before the one that just failed.
Duration retryBackoff(std::uint32_t attempts, Random &random);

/// Limit on the attempts of one request, including the first.
inline constexpr std::uint32_t kMaxAttempts = 4;

} // namespace medlarway
