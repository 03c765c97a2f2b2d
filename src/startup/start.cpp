#include "startup/start.h"

#include "base/errors.h"
#include "startup/settings_reader.h"
#include "yaml/fault.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <exception>
#include <optional>

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

Duration waitFor(ErrorKind kind, const HostPlan &plan)
{
    if (kind == ErrorKind::AddressTaken) {
        return std::min(plan.stopTime + kStopMargin, kMaxAddressWait);
    }
    return isBadInput(kind) ? kInputWait : Duration{};
}

class Start
{
public:
    Start(boost::asio::io_context &context, ProcessSignals &signals, const std::string &settingsFile, const PlanHost &planHost)
        : context_(context)
        , planHost_(planHost)
        , settings_(context, settingsFile)
        , timer_(context)
    {
        signals.setHandler([this](int signal) { (signal == SIGHUP ? reloadRequested_ : stopRequested_) = true; });
    }

    // Returns once the host has stopped, or a stop was requested before it ran. Throws Error.
    void run();

private:
    std::optional<std::string> awaitSettings();
    std::function<void()> openHost(const HostPlan &plan);
    void waitBeforeRetry();

    boost::asio::io_context &context_;
    const PlanHost &planHost_;
    SettingsReader settings_;
    boost::asio::steady_timer timer_;
    bool stopRequested_ = false;
    bool reloadRequested_ = false;
    bool timerExpired_ = false;
};

void Start::run()
{
    while (!stopRequested_) {
        // Step 1. The settings, and what they ask for.
        const auto text = awaitSettings();
        if (!text) {
            break;
        }
        const auto plan = planHost_(*text);
        // Step 2. The addresses. A change of the settings may name others.
        if (const auto runHost = openHost(plan)) {
            runHost();
            return;
        }
    }
    logEvent(Event::Stopped);
}

// Returns nullopt if a stop was requested.
std::optional<std::string> Start::awaitSettings()
{
    std::optional<std::string> text;
    std::optional<std::string> failure;
    reloadRequested_ = false;
    settings_.read([&](const std::string &complete) { text = complete; }, [&](const std::string &detail) { failure = detail; });
    while (!text && !failure && !stopRequested_) {
        context_.run_one();
    }
    settings_.cancel();
    if (failure) {
        throw Error(ErrorKind::BadSettings, *failure);
    }
    return stopRequested_ ? std::nullopt : text;
}

// Returns no function if a stop was requested, or that the settings be read again.
std::function<void()> Start::openHost(const HostPlan &plan)
{
    const auto startedAt = monotonicNow();
    std::string reported;
    while (!stopRequested_ && !reloadRequested_) {
        try {
            return plan.open();
        } catch (const Error &error) {
            const auto limit = waitFor(error.kind(), plan);
            if (monotonicNow() - startedAt >= limit) {
                throw;
            }
            if (reported != error.what()) {
                reported = error.what();
                logEvent(Event::StartDelayed, {field("error", errorRow(error.kind()).name), field("detail", faultsOnOneLine(reported)),
                                               field("limit-ms", inMilliseconds(limit))});
            }
        }
        count(Counter::StartRetries);
        waitBeforeRetry();
    }
    return {};
}

void Start::waitBeforeRetry()
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

ExitCode runProcess(boost::asio::io_context &context, ProcessSignals &signals, const std::string &settingsFile, const PlanHost &planHost)
{
    try {
        Start(context, signals, settingsFile, planHost).run();
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
