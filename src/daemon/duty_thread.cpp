#include "daemon/duty_thread.h"

#include "base/errors.h"

#include <boost/asio/post.hpp>
#include <exception>
#include <utility>

namespace medlarway
{

DutyThread::DutyThread(std::string name, std::size_t ringCapacity)
    : name_(std::move(name))
    , work_(boost::asio::make_work_guard(context_))
    , ring_(ringCapacity)
{
}

DutyThread::~DutyThread()
{
    stop();
}

void DutyThread::start()
{
    thread_ = std::thread([this] { run(); });
}

void DutyThread::stop()
{
    if (thread_.joinable()) {
        context_.stop();
        thread_.join();
    }
}

bool DutyThread::hand(std::function<void()> task)
{
    bool taken = false;
    {
        const std::lock_guard lock(producers_);
        taken = ring_.push(std::move(task));
    }
    if (!taken) {
        reportError(ErrorKind::RingFull, name_);
        return false;
    }
    // One wake-up for all tasks that wait.
    if (!woken_.exchange(true)) {
        boost::asio::post(context_, [this] { runTasks(); });
    }
    return true;
}

// A task that throws must not end the duty, since the others go on and depend on it.
void DutyThread::run()
{
    while (!context_.stopped()) {
        try {
            context_.run();
        } catch (const std::exception &exception) {
            reportError(ErrorKind::Internal, name_ + ": " + exception.what());
            boost::asio::post(context_, [this] { runTasks(); });
        }
    }
}

void DutyThread::runTasks()
{
    woken_.store(false);
    while (auto task = ring_.pop()) {
        (*task)();
    }
}

} // namespace medlarway
