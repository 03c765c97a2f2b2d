#pragma once

#include "base/time.h"
#include "startup/process_signals.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <string>

namespace medlarway
{

/// Exit codes of the process.
enum class ExitCode : int {
    Stopped = 0, ///< after a planned stop
    Failed = 1,
    BadInput = 2, ///< invalid arguments, settings or catalogue at the start
};

/// A host that is described by settings and not yet open.
struct HostPlan {
    Duration stopTime{}; ///< how long a process with these settings may take to stop

    /// Opens the host's addresses. Returns the function that runs the host until it has stopped. Throws Error.
    std::function<std::function<void()>()> open;
};

/// Makes the plan from the text of the settings. Throws Error(BadSettings).
using PlanHost = std::function<HostPlan(boost::asio::io_context &context, ProcessSignals &signals, const std::string &settings)>;

/// Starts a host as soon as its settings are complete and its addresses are free, both within limits, and runs it. SIGTERM and SIGINT end
/// the wait as a planned stop; SIGHUP makes it read the settings again. Logs every error; never throws.
ExitCode runProcess(const std::string &settingsFile, const PlanHost &planHost);

} // namespace medlarway
