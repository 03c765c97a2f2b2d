#include "daemon/operator_pages.h"

#include "base/counters.h"
#include "pages/query.h"

#include <array>

namespace medlarway
{

namespace
{

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

PageResponse plain(unsigned status, const std::string &line)
{
    PageResponse answer;
    answer.status = status;
    answer.body = line + "\n";
    return answer;
}

PageResponse state(const OperatorPorts &ports, const RequestTarget & /*target*/)
{
    return {kOk, "application/json", ports.stateAsJson() + "\n"};
}

PageResponse counters(const OperatorPorts & /*ports*/, const RequestTarget & /*target*/)
{
    return {kOk, "text/plain; version=0.0.4; charset=utf-8", countersAsText()};
}

// The caller is an address with or without a port, since shares are counted by address.
PageResponse explain(const OperatorPorts &ports, const RequestTarget &target)
{
    auto query = target.query;
    const auto &callerText = query["caller"];
    auto caller = parseEndpoint(callerText);
    if (const auto address = parseAddress(callerText)) {
        caller = Endpoint{*address, 0};
    }
    if (query["service"].empty() || !caller) {
        return plain(kBadRequest, "give service=NAME, path=PATH and caller=ADDRESS");
    }
    PageResponse answer;
    for (const auto &line : ports.explain(query["service"], query["path"], *caller)) {
        answer.body += line + "\n";
    }
    return answer;
}

PageResponse health(const OperatorPorts &ports, const RequestTarget & /*target*/)
{
    return ports.healthy() ? plain(kOk, "ok") : plain(kUnavailable, "a duty of the process does not answer");
}

PageResponse readiness(const OperatorPorts &ports, const RequestTarget & /*target*/)
{
    const auto answer = ports.readiness();
    return plain(answer.ready ? kOk : kUnavailable, answer.reason);
}

struct Page {
    std::string_view path;
    PageResponse (*answer)(const OperatorPorts &ports, const RequestTarget &target);
};

constexpr std::array kPages{
    Page{"/state", state}, Page{"/counters", counters}, Page{"/explain", explain}, Page{"/healthz", health}, Page{"/readyz", readiness},
};

} // namespace

PageResponse answerOperator(const OperatorPorts &ports, const std::string &target)
{
    const auto parsed = parseTarget(target);
    if (!parsed) {
        return plain(kBadRequest, "the request target is malformed");
    }
    for (const auto &page : kPages) {
        if (page.path == parsed->path) {
            return page.answer(ports, *parsed);
        }
    }
    return plain(kNotFound, "there are /state, /counters, /explain, /healthz and /readyz");
}

} // namespace medlarway
