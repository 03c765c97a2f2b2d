#pragma once

#include "base/random.h"
#include "soak/faults.h"
#include "soak/fleet.h"
#include "soak/judge.h"
#include "soak/platform.h"

#include <atomic>
#include <thread>
#include <vector>

namespace medlarway::soak
{

/// Callers in every zone: each opens flows, one after the other, short and long, and checks what it is answered. A thread each.
class SoakCallers
{
public:
    SoakCallers(const SoakOptions &options, SoakPlatform &platform, SoakFleet &fleet, Judge &judge);
    ~SoakCallers();
    SoakCallers(const SoakCallers &) = delete;
    SoakCallers &operator=(const SoakCallers &) = delete;

    /// Ends what runs; the flows that are open get their answers first.
    void stop();

    std::atomic<int> answers{0};
    std::atomic<int> resets{0};
    std::atomic<int> unanswered{0};

private:
    struct Flow;

    void run(int caller);
    void talk(StandinPacketClient &client, Flow &flow, Random &random);
    bool ask(StandinPacketClient &client, Flow &flow, int number);
    void judgeAnswer(const Flow &flow, const std::string &request, const std::string &received);
    void judgeReset(const Flow &flow, std::uint32_t sender);
    void judgeSilence(const Flow &flow, bool calmBefore);
    bool routed(const Flow &flow) const;

    SoakOptions options_;
    SoakPlatform &platform_;
    SoakFleet &fleet_;
    Judge &judge_;
    std::atomic<bool> stopping_{false};
    std::vector<std::thread> threads_;
};

} // namespace medlarway::soak
