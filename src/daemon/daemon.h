#pragma once

#include "daemon/control.h"
#include "daemon/operator_pages.h"
#include "daemon/operator_server.h"
#include "daemon/platform_duty.h"
#include "proxy/engine.h"
#include "settings/settings.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>

namespace medlarway
{

/// What the process's exit code says.
enum class ExitCode : int {
    Stopped = 0, ///< as planned
    Failed = 1,
    BadInput = 2, ///< settings or catalogue at the start
};

/// One host of medlarway: joins the duties, each with threads of its own, and lives until a planned stop.
class Daemon
{
public:
    /// Takes the operators' address. Throws Error.
    Daemon(std::string settingsFile, const Settings &settings);

    /// Runs until SIGTERM or SIGINT and the drain that follows.
    void run();

private:
    void awaitSignal();
    void onSignal(int signal);
    void beginStop(int signal);
    void awaitDrained();
    void reloadSettings();
    OperatorPorts operatorPorts();
    Readiness readiness();
    std::string stateAsJson();

    std::string settingsFile_;
    Settings settings_;
    std::atomic<bool> stopping_{false};
    boost::asio::io_context context_{1};
    boost::asio::signal_set signals_;
    boost::asio::steady_timer drainTimer_;
    // In the order in which they may depend on each other; destroyed the other way round.
    ControlDuty control_; ///< before the engine, which calls its ports until it ends
    ProxyEngine engine_;
    PlatformDuty platform_;
    OperatorServer operator_;
};

/// Runs the daemon with a settings file and says how it ended. Never throws.
ExitCode runDaemon(const std::string &settingsFile);

} // namespace medlarway
