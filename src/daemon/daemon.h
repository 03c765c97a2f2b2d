#pragma once

#include "daemon/control.h"
#include "daemon/operator_pages.h"
#include "daemon/operator_server.h"
#include "daemon/platform_worker.h"
#include "proxy/engine.h"
#include "settings/settings.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>

namespace medlarway
{

/// Exit codes of the process.
enum class ExitCode : int {
    Stopped = 0, ///< after a planned stop
    Failed = 1,
    BadInput = 2, ///< invalid arguments, settings or catalogue at the start
};

/// One host of medlarway: connects the workers, each of which has its own threads, and runs until a planned stop.
class Daemon
{
public:
    /// Binds the operator and peer addresses. Throws Error if an address or a key file can't be used.
    Daemon(std::string settingsFile, const Settings &settings);

    /// Returns after SIGTERM or SIGINT, once the data path has drained.
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
    // Declared in an order such that each worker is destroyed before those that it may still call.
    ControlWorker control_; ///< the engine calls its ports until the engine is destroyed
    ProxyEngine engine_;
    PlatformWorker platform_;
    OperatorServer operator_;
};

/// Runs the daemon with a settings file and returns the exit code of the process. Logs every error; never throws.
ExitCode runDaemon(const std::string &settingsFile);

} // namespace medlarway
