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

// Three upstreams with two slots and a processing time of 50 ms have a capacity of 120 requests per second for each
// service. The normal load is 0.4 of the capacity, and the peak load is three times as high: 1.2.
constexpr milliseconds kArrivalGap{21}; ///< between requests to each of the two services, at normal load
constexpr int kPeakFactor = 3;
constexpr seconds kBeforePeak{2};
constexpr seconds kPeak{4};
constexpr seconds kRecovery{5}; ///< after the peak; from then on the service must be as good as before the peak
constexpr seconds kAfterRecovery{2};
constexpr milliseconds kDeadline{1000};
constexpr int kWorkers = 200;
constexpr int kKilledHost = 2;

enum class Kind : std::uint8_t {
    Keyed,
    Unkeyed,
    Idempotent,
};

// One request and its response.
struct Sent {
    steady_clock::time_point due;
    Kind kind = Kind::Keyed;
    std::string target;
    HttpResponse response;
    bool inDeadline = false;

    bool isOwnResponse() const
    {
        return response.body.find(fmt::format(" {} ", target)) != std::string::npos;
    }
};

// Open-loop load: sends requests at fixed times, whether or not earlier ones have completed, to the hosts in turn as a
// network fabric would. A request is sent to the next host only if the connection fails.
class OpenLoad
{
public:
    explicit OpenLoad(const Fleet &fleet)
        : fleet_(fleet)
        , start_(steady_clock::now() + milliseconds{100})
    {
        const auto peakEnd = start_ + kBeforePeak + kPeak;
        for (auto due = start_; due < peakEnd + kRecovery + kAfterRecovery;) {
            for (const bool isProtected : {true, false}) {
                add(due, isProtected);
            }
            const bool atPeak = due >= start_ + kBeforePeak && due < peakEnd;
            due += atPeak ? kArrivalGap / kPeakFactor : kArrivalGap;
        }
        for (int worker = 0; worker < kWorkers; ++worker) {
            workers_.emplace_back([this] { runWorker(); });
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

    steady_clock::time_point peak() const
    {
        return start_ + kBeforePeak;
    }

    const std::vector<Sent> &sent() const
    {
        return sent_;
    }

    /// The share of the requests due in a time span whose complete response arrived within the deadline.
    double shareInDeadline(steady_clock::time_point from, steady_clock::duration span) const
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

    void runWorker()
    {
        for (auto index = next_++; index < sent_.size(); index = next_++) {
            auto &request = sent_[index];
            std::this_thread::sleep_until(request.due);
            send(request, static_cast<int>(index / 2));
            request.inDeadline = request.response.status == 200 && steady_clock::now() - request.due <= kDeadline;
        }
    }

    void send(Sent &request, int turn) const
    {
        for (int attempt = 0; attempt < kFleetHosts; ++attempt) {
            const int host = 1 + (turn + attempt) % kFleetHosts;
            if (request.kind == Kind::Idempotent) {
                request.response = httpRequest(fleet_.extraAddress(host), request.target);
            } else {
                request.response = httpRequest(fleet_.requestAddress(host), request.target, "POST", "body",
                                               request.kind == Kind::Keyed ? request.target : "");
            }
            if (!request.response.error.starts_with("connect")) {
                return;
            }
        }
    }

    const Fleet &fleet_;
    steady_clock::time_point start_;
    std::vector<Sent> sent_; ///< each element is accessed only by the worker that claimed its index
    std::atomic<std::size_t> next_{0};
    std::vector<std::thread> workers_;
};

// Number of runs of each target on the upstreams.
std::map<std::string, int> countRuns(const Fleet &fleet)
{
    std::map<std::string, int> times;
    for (const auto &request : fleet.requestsRun()) {
        const auto begin = request.find(' ') + 1;
        ++times[request.substr(begin, request.rfind(' ') - begin)];
    }
    return times;
}

// Counts the responses by the error that they report.
std::string tally(const std::vector<Sent> &sent)
{
    std::map<std::string, int> counted;
    for (const auto &request : sent) {
        const auto &response = request.response;
        const auto error = response.status == 0 ? response.error : response.body.substr(0, response.body.find('\n'));
        ++counted[response.status == 200 ? "complete" : error];
    }
    std::string text;
    for (const auto &[error, times] : counted) {
        text += fmt::format("{} {}, ", error, times);
    }
    return text;
}

} // namespace

TEST_CASE("peak load: five hosts take a threefold load and one of them is killed at the peak")
{
    FleetOptions options;
    options.upstreams = 3;
    options.slots = 2;
    options.limits = fmt::format("slots-per-upstream: 2, default-deadline: {}ms", kDeadline.count());
    options.extraService = "drawings";
    Fleet fleet(options);
    REQUIRE(fleet.waitForFullViews());
    REQUIRE(fleet.waitForGuards());
    OpenLoad load(fleet);
    std::this_thread::sleep_until(load.peak() + kPeak / 2);
    fleet.process(kKilledHost).signal(SIGKILL);
    load.join();

    const auto before = load.shareInDeadline(load.peak() - kBeforePeak, kBeforePeak);
    const auto after = load.shareInDeadline(load.peak() + kPeak + kRecovery, kAfterRecovery);
    const auto ran = countRuns(fleet);
    MESSAGE("in deadline: before ", before, ", at the peak ", load.shareInDeadline(load.peak(), kPeak), ", in the 5 s after it ",
            load.shareInDeadline(load.peak() + kPeak, kRecovery), ", then ", after);
    MESSAGE("requests ", load.sent().size(), ": ", tally(load.sent()), "ran ", fleet.requestsRun().size(), ", an upstream found full ",
            fleet.requestsShed());

    int corrupted = 0;
    int duplicates = 0;
    int falseNotRun = 0;
    for (const auto &request : load.sent()) {
        const auto found = ran.find(request.target);
        const int times = found == ran.end() ? 0 : found->second;
        corrupted += request.response.status == 200 && (!request.isOwnResponse() || times == 0) ? 1 : 0;
        duplicates += request.kind != Kind::Idempotent && times > 1 ? 1 : 0;
        falseNotRun += request.response.outcome == "not-run" && times != 0 ? 1 : 0;
    }
    CHECK(corrupted == 0);
    CHECK(duplicates == 0);
    CHECK(falseNotRun == 0);
    CHECK(after >= before);
}
