#pragma once

#include "daemon/control.h"
#include "daemon/operator_pages.h"
#include "daemon/operator_server.h"
#include "daemon/platform_worker.h"
#include "proxy/engine.h"
#include "settings/settings.h"
#include "startup/settings_reader.h"
#include "startup/start.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>

namespace medlarway
{

/// One host of medlarway: connects the workers, each of which has its own threads, and runs until a planned stop.
class Daemon
{
public:
    /// Binds the operator and peer addresses. Throws Error if an address or a key file can't be used.
    Daemon(boost::asio::io_context &context, std::string settingsFile, const Settings &settings);

    /// Returns after SIGTERM or SIGINT, once the data path has drained.
    void run(ProcessSignals &signals);

private:
    void onSignal(int signal);
    void beginStop(int signal);
    void awaitDrained();
    void reloadSettings();
    void applySettings(const Settings &wanted);
    OperatorPorts operatorPorts();
    Readiness readiness();
    std::string stateAsJson();

    boost::asio::io_context &context_;
    std::string settingsFile_;
    Settings settings_;
    SettingsReader settingsReader_;
    std::atomic<bool> stopping_{false};
    boost::asio::steady_timer drainTimer_;
    // Declared in an order such that each worker is destroyed before those that it may still call.
    ControlWorker control_; ///< the engine calls its ports until the engine is destroyed
    ProxyEngine engine_;
    PlatformWorker platform_;
    OperatorServer operator_;
};

/// Plans a daemon from the text of its settings file. Throws Error(BadSettings).
HostPlan planDaemon(boost::asio::io_context &context, ProcessSignals &signals, const std::string &settingsFile, const std::string &text);

} // namespace medlarway
