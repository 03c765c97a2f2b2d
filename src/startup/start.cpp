#include "startup/start.h"

#include "base/errors.h"
#include "startup/settings_reader.h"
#include "yaml/fault.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <exception>
#include <map>
#include <optional>
#include <utility>

namespace medlarway
{

namespace
{

constexpr Duration kRetryInterval = std::chrono::milliseconds{100};

// Added to the time that the process before may take to stop.
constexpr Duration kStopMargin = std::chrono::seconds{1};

// An operator must see within this time that an address is taken for good, however long the settings let a process stop.
constexpr Duration kMaxAddressWait = std::chrono::minutes{1};

// A key or a catalogue may be replaced while the process starts.
constexpr Duration kInputWait = std::chrono::seconds{1};

bool isBadInput(ErrorKind kind)
{
    return kind == ErrorKind::BadSettings || kind == ErrorKind::BadCatalogue;
}

// How long a start is tried again after such an error.
Duration retryLimit(ErrorKind kind, const HostPlan &plan)
{
    if (kind == ErrorKind::AddressTaken) {
        return std::min(plan.stopTime + kStopMargin, kMaxAddressWait);
    }
    return isBadInput(kind) ? kInputWait : Duration{};
}

class HostStart
{
public:
    HostStart(const std::string &settingsFile, const PlanHost &planHost)
        : planHost_(planHost)
        , signals_(context_)
        , settings_(context_, settingsFile)
        , timer_(context_)
    {
        signals_.setHandler([this](int signal) { onSignal(signal); });
    }

    // Returns once the host has stopped, or a stop was requested before it ran. Throws Error.
    void run();

private:
    void onSignal(int signal);
    std::optional<std::string> awaitSettings();
    std::function<void()> openHost(const HostPlan &plan);
    void checkLimit(const Error &error, const HostPlan &plan);
    void waitBeforeRetry();

    boost::asio::io_context context_{1};
    const PlanHost &planHost_;
    ProcessSignals signals_;
    SettingsReader settings_;
    boost::asio::steady_timer timer_;
    std::string text_; ///< the settings that are tried
    std::map<ErrorKind, Time> failingSince_; ///< with these settings
    std::string reported_; ///< the error that was logged last
    bool stopRequested_ = false;
    bool reloadRequested_ = false;
    bool timerExpired_ = false;
};

void HostStart::onSignal(int signal)
{
    if (signal == SIGHUP) {
        reloadRequested_ = true;
        return;
    }
    stopRequested_ = true;
    logEvent(Event::StopRequested, {field("signal", signal)});
}

void HostStart::run()
{
    while (!stopRequested_) {
        // Step 1. The settings. What failed with others is forgotten.
        const auto text = awaitSettings();
        if (!text) {
            break;
        }
        if (text_ != *text) {
            text_ = *text;
            failingSince_.clear();
        }
        const auto plan = planHost_(context_, signals_, text_);
        // Step 2. The addresses. A change of the settings may name others.
        if (const auto runHost = openHost(plan)) {
            runHost();
            return;
        }
    }
    logEvent(Event::Stopped);
}

// Returns nullopt if a stop was requested. A SIGHUP meanwhile asks for nothing more, as the file is read until it is complete.
std::optional<std::string> HostStart::awaitSettings()
{
    std::optional<std::string> text;
    std::optional<std::string> failure;
    settings_.read([&](const std::string &complete) { text = complete; }, [&](const std::string &detail) { failure = detail; });
    while (!text && !failure && !stopRequested_) {
        context_.run_one();
    }
    settings_.cancel();
    reloadRequested_ = false;
    if (failure) {
        throw Error(ErrorKind::BadSettings, *failure);
    }
    return stopRequested_ ? std::nullopt : text;
}

// Returns no function if a stop was requested, or that the settings be read again.
std::function<void()> HostStart::openHost(const HostPlan &plan)
{
    while (!stopRequested_ && !reloadRequested_) {
        try {
            return plan.open();
        } catch (const Error &error) {
            checkLimit(error, plan);
        }
        count(Counter::StartRetries);
        waitBeforeRetry();
    }
    return {};
}

// Called for the error that is being handled, which it throws on after its limit.
void HostStart::checkLimit(const Error &error, const HostPlan &plan)
{
    const auto limit = retryLimit(error.kind(), plan);
    const auto since = failingSince_.try_emplace(error.kind(), monotonicNow()).first->second;
    if (monotonicNow() - since >= limit) {
        throw;
    }
    if (std::exchange(reported_, error.what()) != error.what()) {
        logEvent(Event::StartDelayed, {field("error", errorRow(error.kind()).name), field("detail", faultsOnOneLine(error.what())),
                                       field("limit-ms", inMilliseconds(limit))});
    }
}

void HostStart::waitBeforeRetry()
{
    timerExpired_ = false;
    timer_.expires_after(toSteady(kRetryInterval));
    timer_.async_wait([this](const boost::system::error_code &error) { timerExpired_ = timerExpired_ || !error; });
    while (!timerExpired_ && !stopRequested_ && !reloadRequested_) {
        context_.run_one();
    }
    timer_.cancel();
}

} // namespace

ExitCode runProcess(const std::string &settingsFile, const PlanHost &planHost)
{
    try {
        HostStart(settingsFile, planHost).run();
        return ExitCode::Stopped;
    } catch (const Error &error) {
        reportError(error.kind(), faultsOnOneLine(error.what()));
        return isBadInput(error.kind()) ? ExitCode::BadInput : ExitCode::Failed;
    } catch (const std::exception &exception) {
        logEvent(Event::FatalError, {field("detail", exception.what())});
        return ExitCode::Failed;
    }
}

} // namespace medlarway
