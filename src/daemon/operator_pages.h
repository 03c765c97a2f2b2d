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
    std::string reason; ///< one line, the body of the /readyz response
};

/// The functions that the pages call on the daemon's other workers. Each may block for up to a few seconds.
struct OperatorPorts {
    std::function<std::string()> stateAsJson;
    std::function<std::vector<std::string>(const std::string &service, const std::string &path, const Endpoint &caller)> explain;
    std::function<bool()> healthy;
    std::function<Readiness()> readiness;
};

/// Handles a GET of /state, /counters, /explain, /healthz or /readyz; other paths get 404.
PageResponse serveOperatorPage(const OperatorPorts &ports, const std::string &target);

} // namespace medlarway
