#include "startup/process_signals.h"

#include "base/contained.h"

#include <array>
#include <csignal>
#include <pthread.h>
#include <utility>

namespace medlarway
{

namespace
{

constexpr std::array kProcessSignals{SIGHUP, SIGINT, SIGTERM};

void maskProcessSignals(int how)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : kProcessSignals) {
        sigaddset(&signals, signal);
    }
    pthread_sigmask(how, &signals, nullptr);
}

} // namespace

void blockProcessSignals()
{
    maskProcessSignals(SIG_BLOCK);
}

// Each signal has a set of its own: of several signals a set reports the one with the lowest number first, so that many SIGHUPs would hold
// up a SIGTERM.
ProcessSignals::ProcessSignals(boost::asio::io_context &context)
{
    for (const int signal : kProcessSignals) {
        sets_.emplace_back(context, signal);
    }
    for (auto &set : sets_) {
        awaitSignal(set);
    }
    maskProcessSignals(SIG_UNBLOCK);
}

ProcessSignals::~ProcessSignals()
{
    blockProcessSignals();
}

void ProcessSignals::setHandler(Handler handler)
{
    handler_ = std::move(handler);
}

void ProcessSignals::awaitSignal(boost::asio::signal_set &set)
{
    set.async_wait([this, &set](const boost::system::error_code &error, int signal) {
        if (error) {
            return;
        }
        contain("signal", [&] { handler_(signal); });
        awaitSignal(set);
    });
}

} // namespace medlarway
