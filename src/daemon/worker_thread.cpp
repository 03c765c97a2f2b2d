#include "daemon/worker_thread.h"

#include "base/errors.h"

#include <boost/asio/post.hpp>
#include <exception>
#include <utility>

namespace medlarway
{

WorkerThread::WorkerThread(std::string name, std::size_t ringCapacity)
    : name_(std::move(name))
    , work_(boost::asio::make_work_guard(context_))
    , ring_(ringCapacity)
{
}

WorkerThread::~WorkerThread()
{
    stop();
}

void WorkerThread::start()
{
    thread_ = std::thread([this] { run(); });
}

void WorkerThread::stop()
{
    if (thread_.joinable()) {
        context_.stop();
        thread_.join();
    }
}

bool WorkerThread::post(std::function<void()> task)
{
    bool queued = false;
    {
        const std::lock_guard lock(producerMutex_);
        queued = ring_.push(std::move(task));
    }
    if (!queued) {
        reportError(ErrorKind::RingFull, name_);
        return false;
    }
    // One wake-up is enough for all queued tasks.
    if (!wakeupPending_.exchange(true)) {
        boost::asio::post(context_, [this] { runTasks(); });
    }
    return true;
}

// A task that throws must not end the thread, since the other workers depend on it. The tasks behind it in the ring
// need a new wake-up.
void WorkerThread::run()
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

void WorkerThread::runTasks()
{
    wakeupPending_.store(false);
    while (auto task = ring_.pop()) {
        (*task)();
    }
}

} // namespace medlarway
