#pragma once

#include "base/random.h"
#include "soak/faults.h"
#include "soak/fleet.h"
#include "soak/invariant_checker.h"
#include "soak/platform.h"

#include <atomic>
#include <thread>
#include <vector>

namespace medlarway::soak
{

/// Callers in every zone, each with its own thread. A caller opens short and long flows one after the other and checks the responses.
class SoakCallers
{
public:
    SoakCallers(const SoakOptions &options, SoakPlatform &platform, SoakFleet &fleet, InvariantChecker &checker);
    ~SoakCallers();
    SoakCallers(const SoakCallers &) = delete;
    SoakCallers &operator=(const SoakCallers &) = delete;

    /// Stops the callers after their pending requests.
    void stop();

    std::atomic<int> responses{0};
    std::atomic<int> resets{0};
    std::atomic<int> unanswered{0};

private:
    struct Flow;

    void run(int caller);
    void runFlow(StandinPacketClient &client, Flow &flow, Random &random);
    bool sendRequest(StandinPacketClient &client, Flow &flow, int number);
    void checkResponse(const Flow &flow, const std::string &request, const std::string &received);
    void checkReset(const Flow &flow, std::uint32_t sender);
    void checkTimeout(const Flow &flow, bool allStableBefore);
    bool routed(const Flow &flow) const;

    SoakOptions options_;
    SoakPlatform &platform_;
    SoakFleet &fleet_;
    InvariantChecker &checker_;
    std::atomic<bool> stopping_{false};
    std::vector<std::thread> threads_;
};

} // namespace medlarway::soak
