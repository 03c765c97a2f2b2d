// Dispatches five requests to two upstreams with two slots each: four start at once, and the fifth waits until
// one of them completes.
#include "balance/dispatcher.h"

#include <chrono>
#include <fmt/format.h>

using namespace medlarway;
using namespace std::chrono_literals;

namespace
{

void printDecisions(const Decisions &decisions)
{
    for (const Start &start : decisions.starts) {
        fmt::print("request {} starts at {}\n", start.request, endpointToString(start.upstream));
    }
    for (const Refusal &refusal : decisions.refusals) {
        fmt::print("request {} is refused: {}\n", refusal.request, errorRow(refusal.kind).name);
    }
}

} // namespace

int main()
{
    Service service;
    service.name = "quotes";
    service.upstreams = {{*parseEndpoint("10.0.0.1:80"), {"ghent"}, false}, {*parseEndpoint("10.0.0.2:80"), {"kortrijk"}, false}};
    Dispatcher dispatcher{service, HostId{1}, {"ghent"}, 42};

    const Time start{};
    for (RequestId id = 1; id <= 5; ++id) {
        Decisions decisions;
        dispatcher.submit(Request{.id = id, .caller = id, .path = 1, .deadline = start + 2s}, start, decisions);
        printDecisions(decisions);
    }
    fmt::print("{} requests are open\n", dispatcher.openRequests());

    Decisions decisions;
    dispatcher.finish(1, AttemptResult::Completed, {}, start + 30ms, decisions);
    printDecisions(decisions);
    return 0;
}
