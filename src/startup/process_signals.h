#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <list>

namespace medlarway
{

/// Blocks SIGHUP, SIGINT and SIGTERM in this thread; those that arrive stay pending. To be called first in main(), as the default action
/// of each of them ends the process.
void blockProcessSignals();

/// Receives SIGHUP, SIGINT and SIGTERM from its construction on, and unblocks them in this thread. They are blocked again before its
/// destruction, so that none ends the process during its exit.
class ProcessSignals
{
public:
    using Handler = std::function<void(int signal)>;

    explicit ProcessSignals(boost::asio::io_context &context);
    ~ProcessSignals();
    ProcessSignals(const ProcessSignals &) = delete;
    ProcessSignals &operator=(const ProcessSignals &) = delete;

    /// Sets the function that the context calls for each signal. The context must not run before.
    void setHandler(Handler handler);

private:
    void awaitSignal(boost::asio::signal_set &set);

    std::list<boost::asio::signal_set> sets_;
    Handler handler_;
};

} // namespace medlarway
