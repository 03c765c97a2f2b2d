#pragma once

#include "base/endpoint.h"
#include "daemon/operator_server.h"

#include <functional>
#include <string>
#include <vector>

namespace medlarway
{

/// Whether callers may be sent to this host.
struct Readiness {
    bool ready = false;
    std::string reason; ///< in one line
};

/// What the pages ask of the daemon's other duties. Each may wait up to a few seconds.
struct OperatorPorts {
    std::function<std::string()> stateAsJson;
    std::function<std::vector<std::string>(const std::string &service, const std::string &path, const Endpoint &caller)> explain;
    std::function<bool()> healthy;
    std::function<Readiness()> readiness;
};

/// Answers one GET: /state, /counters, /explain, /healthz and /readyz.
PageResponse answerOperator(const OperatorPorts &ports, const std::string &target);

} // namespace medlarway
