#include "daemon/caller.h"
#include "fleet/fleet.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>
#include <thread>

using namespace medlarway;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

// Three upstreams of two slots and 50 ms of work run at most 120 requests a second of each service. The load
// is 0.4 of that, and at the crest three times as much: 1.2.
constexpr milliseconds kArrivalGap{21}; ///< of each of the two services, at normal load
constexpr int kSwing = 3;
constexpr seconds kBefore{2};
constexpr seconds kCrest{4};
constexpr seconds kRecovery{5}; ///< the target: the service is back at normal after that
constexpr seconds kAfter{2};
constexpr milliseconds kDeadline{1000};
constexpr int kWorkers = 200;
constexpr int kKilledHost = 2;

enum class Kind : std::uint8_t {
    Keyed,
    Unkeyed,
    Idempotent,
};

// One request and what came back.
struct Sent {
    steady_clock::time_point due;
    Kind kind = Kind::Keyed;
    std::string target;
    HttpResponse answer;
    bool inDeadline = false;

    bool isOwn() const
    {
        return answer.body.find(fmt::format(" {} ", target)) != std::string::npos;
    }
};

// Requests due at given moments, whether or not earlier ones have been answered, sent to hosts in turn as a
// fabric would hand them over. Each is sent once; a host that does not listen is passed over.
class OpenLoad
{
public:
    explicit OpenLoad(const Fleet &fleet)
        : fleet_(fleet)
        , start_(steady_clock::now() + milliseconds{100})
    {
        const auto crestEnd = start_ + kBefore + kCrest;
        for (auto due = start_; due < crestEnd + kRecovery + kAfter;) {
            for (const bool isProtected : {true, false}) {
                add(due, isProtected);
            }
            const bool atCrest = due >= start_ + kBefore && due < crestEnd;
            due += atCrest ? kArrivalGap / kSwing : kArrivalGap;
        }
        for (int worker = 0; worker < kWorkers; ++worker) {
            workers_.emplace_back([this] { work(); });
        }
    }

    ~OpenLoad()
    {
        join();
    }

    OpenLoad(const OpenLoad &) = delete;
    OpenLoad &operator=(const OpenLoad &) = delete;

    void join()
    {
        for (auto &worker : workers_) {
            worker.join();
        }
        workers_.clear();
    }

    steady_clock::time_point crest() const
    {
        return start_ + kBefore;
    }

    const std::vector<Sent> &sent() const
    {
        return sent_;
    }

    /// The share of the requests due in a span that were answered whole before their deadline.
    double inDeadline(steady_clock::time_point from, steady_clock::duration span) const
    {
        const auto isDue = [&](const Sent &sent) { return sent.due >= from && sent.due < from + span; };
        const auto due = std::count_if(sent_.begin(), sent_.end(), isDue);
        const auto good = std::count_if(sent_.begin(), sent_.end(), [&](const Sent &sent) { return isDue(sent) && sent.inDeadline; });
        return static_cast<double>(good) / static_cast<double>(due);
    }

private:
    void add(steady_clock::time_point due, bool isProtected)
    {
        Sent request;
        request.due = due;
        request.kind = !isProtected ? Kind::Idempotent : sent_.size() % 4 == 0 ? Kind::Keyed : Kind::Unkeyed;
        request.target = fmt::format("/request-{}?delay=50", sent_.size());
        sent_.push_back(std::move(request));
    }

    void work()
    {
        for (auto index = next_++; index < sent_.size(); index = next_++) {
            auto &request = sent_[index];
            std::this_thread::sleep_until(request.due);
            send(request, static_cast<int>(index / 2));
            request.inDeadline = request.answer.status == 200 && steady_clock::now() - request.due <= kDeadline;
        }
    }

    void send(Sent &request, int turn) const
    {
        for (int attempt = 0; attempt < kFleetHosts; ++attempt) {
            const int host = 1 + (turn + attempt) % kFleetHosts;
            if (request.kind == Kind::Idempotent) {
                request.answer = httpRequest(fleet_.extra(host), request.target);
            } else {
                request.answer
                    = httpRequest(fleet_.requests(host), request.target, "POST", "body", request.kind == Kind::Keyed ? request.target : "");
            }
            if (!request.answer.error.starts_with("connect")) {
                return;
            }
        }
    }

    const Fleet &fleet_;
    steady_clock::time_point start_;
    std::vector<Sent> sent_; ///< each element belongs to the worker that took its index
    std::atomic<std::size_t> next_{0};
    std::vector<std::thread> workers_;
};

// How often each target ran.
std::map<std::string, int> timesRun(const Fleet &fleet)
{
    std::map<std::string, int> times;
    for (const auto &request : fleet.requestsRun()) {
        const auto begin = request.find(' ') + 1;
        ++times[request.substr(begin, request.rfind(' ') - begin)];
    }
    return times;
}

// What came back, by the error that the answers name.
std::string tally(const std::vector<Sent> &sent)
{
    std::map<std::string, int> counted;
    for (const auto &request : sent) {
        const auto &answer = request.answer;
        const auto error = answer.status == 0 ? answer.error : answer.body.substr(0, answer.body.find('\n'));
        ++counted[answer.status == 200 ? "whole" : error];
    }
    std::string text;
    for (const auto &[what, times] : counted) {
        text += fmt::format("{} {}, ", what, times);
    }
    return text;
}

} // namespace

TEST_CASE("the crest: five hosts take a threefold swing and one of them is killed at its height")
{
    FleetOptions options;
    options.upstreams = 3;
    options.slots = 2;
    options.limits = fmt::format("slots-per-upstream: 2, default-deadline: {}ms", kDeadline.count());
    options.extraService = "drawings";
    Fleet fleet(options);
    REQUIRE(fleet.waitTogether());
    REQUIRE(fleet.waitGuardsReady());
    OpenLoad load(fleet);
    std::this_thread::sleep_until(load.crest() + kCrest / 2);
    fleet.process(kKilledHost).signal(SIGKILL);
    load.join();

    const auto before = load.inDeadline(load.crest() - kBefore, kBefore);
    const auto after = load.inDeadline(load.crest() + kCrest + kRecovery, kAfter);
    const auto ran = timesRun(fleet);
    MESSAGE("in deadline: before ", before, ", at the crest ", load.inDeadline(load.crest(), kCrest), ", in the 5 s after it ",
            load.inDeadline(load.crest() + kCrest, kRecovery), ", then ", after);
    MESSAGE("requests ", load.sent().size(), ": ", tally(load.sent()), "ran ", fleet.requestsRun().size(), ", an upstream found full ",
            fleet.requestsShed());

    int wrong = 0;
    int doubles = 0;
    int untrue = 0;
    for (const auto &request : load.sent()) {
        const auto found = ran.find(request.target);
        const int times = found == ran.end() ? 0 : found->second;
        wrong += request.answer.status == 200 && (!request.isOwn() || times == 0) ? 1 : 0;
        doubles += request.kind != Kind::Idempotent && times > 1 ? 1 : 0;
        untrue += request.answer.outcome == "not-run" && times != 0 ? 1 : 0;
    }
    CHECK(wrong == 0);
    CHECK(doubles == 0);
    CHECK(untrue == 0);
    CHECK(after >= before);
}
