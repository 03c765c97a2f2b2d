#include "daemon/daemon.h"

#include "base/contained.h"
#include "base/errors.h"
#include "base/version.h"
#include "platform/file_source.h"
#include "settings/settings_file.h"
#include "startup/start_cost.h"
#include "yaml/fault.h"
#include "yaml/scalars.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace medlarway
{

namespace
{

constexpr std::chrono::milliseconds kDrainPollInterval{20};

ProxyOptions proxyOptions(const Settings &settings)
{
    ProxyOptions options;
    options.self = hostIdOf(settings);
    options.zone = settings.zone;
    options.bindAddress = settings.address;
    options.threads = settings.dataThreads;
    options.requestGrace = settings.drainTimeouts.requests;
    options.feedGrace = settings.drainTimeouts.feeds;
    options.headTimeout = settings.limits.headTimeout;
    options.headBytes = settings.limits.headBytes;
    options.flows = settings.limits.flows;
    options.seed = hostIdOf(settings).value;
    return options;
}

nlohmann::json parseState(const std::string &text)
{
    return nlohmann::json::parse(text, nullptr, false);
}

std::string joinNames(const std::vector<std::string> &names)
{
    std::string text;
    for (const auto &name : names) {
        text += text.empty() ? "" : ",";
        text += name;
    }
    return text;
}

} // namespace

Daemon::Daemon(boost::asio::io_context &context, std::string settingsFile, const Settings &settings)
    : context_(context)
    , settingsFile_(std::move(settingsFile))
    , settings_(settings)
    , settingsReader_(context_, settingsFile_)
    , drainTimer_(context_)
    , control_(settings, engine_)
    , engine_(proxyOptions(settings), control_.ports())
    , platform_(settings, [this](const PlatformUpdate &update) { return control_.offer(update); })
    , operator_(settings.operatorListen, [ports = operatorPorts()](const std::string &target) { return serveOperatorPage(ports, target); })
{
}

void Daemon::run(ProcessSignals &signals)
{
    control_.start([this](std::vector<WatchedKey> keys) { platform_.setWatchedKeys(std::move(keys)); });
    platform_.start();
    operator_.start();
    const auto cost = startCost();
    logEvent(Event::Started, {field("version", kVersion), field("address", addressToString(settings_.address)),
                              field("zone", settings_.zone.name), field("operator", endpointToString(settings_.operatorListen)),
                              field("peers", settings_.peers ? endpointToString(settings_.peers->listen) : "none"),
                              field("start-ms", inMilliseconds(cost.elapsed)), field("cpu-ms", inMilliseconds(cost.processorTime))});
    signals.setHandler([this](int signal) { onSignal(signal); });
    runContained(context_, "daemon");
    // Step 2 of the planned stop, after the drain: announce it to the peers, then stop each worker before those it calls.
    control_.depart();
    operator_.stop();
    platform_.stop();
    control_.stop();
    logEvent(Event::Stopped);
}

void Daemon::onSignal(int signal)
{
    if (signal == SIGHUP) {
        reloadSettings();
    } else {
        beginStop(signal);
    }
}

// Step 1 of the planned stop: drain. Further signals are ignored: the drain timeouts limit how long it takes, and only
// SIGKILL may abort running requests early.
void Daemon::beginStop(int signal)
{
    if (stopping_.exchange(true)) {
        return;
    }
    logEvent(Event::StopRequested,
             {field("signal", signal), field("graces", fmt::format("{}/{}", durationToString(settings_.drainTimeouts.requests),
                                                                   durationToString(settings_.drainTimeouts.feeds)))});
    control_.beginLeave();
    engine_.beginDrain(settings_.drainTimeouts.requests, settings_.drainTimeouts.feeds);
    awaitDrained();
}

void Daemon::awaitDrained()
{
    if (engine_.drained()) {
        context_.stop();
        return;
    }
    drainTimer_.expires_after(kDrainPollInterval);
    drainTimer_.async_wait([this](const boost::system::error_code & /*error*/) { awaitDrained(); });
}

void Daemon::reloadSettings()
{
    settingsReader_.reload([this](const std::string &text) { applySettings(settingsFrom(text, settingsFile_)); });
}

void Daemon::applySettings(const Settings &wanted)
{
    const auto needRestart = changesThatNeedRestart(settings_, wanted);
    settings_.logLevel = wanted.logLevel;
    settings_.drainTimeouts = wanted.drainTimeouts;
    if (settings_.peers && wanted.peers) {
        settings_.peers->bytesPerSecond = wanted.peers->bytesPerSecond;
        settings_.peers->requestBytesPerSecond = wanted.peers->requestBytesPerSecond;
    }
    setLogLevel(settings_.logLevel);
    control_.applySettings(settings_);
    logEvent(Event::SettingsReloaded, {field("needs-restart", needRestart.empty() ? "nothing" : joinNames(needRestart))});
}

OperatorPorts Daemon::operatorPorts()
{
    OperatorPorts ports;
    ports.stateAsJson = [this] { return stateAsJson(); };
    ports.explain = [this](const std::string &service, const std::string &path, const Endpoint &caller) {
        return engine_.explain(service, path, caller);
    };
    ports.healthy = [this] { return control_.alive(); };
    ports.readiness = [this] { return readiness(); };
    return ports;
}

// Ready once the first catalogue is in force. A service that can't listen, for example because its address is in use,
// doesn't make the host unready; the response names it instead.
Readiness Daemon::readiness()
{
    if (stopping_) {
        return {false, "stopping"};
    }
    const auto catalogue = control_.catalogueInForce();
    if (!catalogue) {
        return {false, "no catalogue yet"};
    }
    std::vector<std::string> closed;
    for (const auto &shard : catalogue->shards) {
        for (const auto &service : shard.services) {
            if (!engine_.listeningOn(service.name)) {
                closed.push_back(service.name);
            }
        }
    }
    return {true, closed.empty() ? "ready" : "ready, but not listening: " + joinNames(closed)};
}

std::string Daemon::stateAsJson()
{
    const nlohmann::json state{
        {"version", kVersion},
        {"host",
         {{"address", addressToString(settings_.address)},
          {"zone", settings_.zone.name},
          {"peers", endpointToString(endpointOf(hostIdOf(settings_)))}}},
        {"stopping", stopping_.load()},
        {"control", parseState(control_.stateAsJson())},
        {"platform", parseState(platform_.stateAsJson())},
        {"dataPath", parseState(engine_.stateAsJson())},
    };
    return state.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HostPlan planDaemon(boost::asio::io_context &context, ProcessSignals &signals, const std::string &settingsFile, const std::string &text)
{
    const auto settings = settingsFrom(text, settingsFile);
    setLogLevel(settings.logLevel);
    HostPlan plan;
    plan.stopTime = std::max(settings.drainTimeouts.requests, settings.drainTimeouts.feeds);
    plan.open = [&context, &signals, settingsFile, settings] {
        if (!settings.platform.catalogueFile.empty()) {
            loadCatalogueFile(settings.platform.catalogueFile);
        }
        const auto daemon = std::make_shared<Daemon>(context, settingsFile, settings);
        return [daemon, &signals] { daemon->run(signals); };
    };
    return plan;
}

} // namespace medlarway
