#include "proxy/data_thread.h"

#include "base/errors.h"
#include "proxy/service_runner.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <csignal>
#include <exception>
#include <pthread.h>

namespace medlarway
{

namespace
{

constexpr auto kSweepInterval = std::chrono::milliseconds{100};

// Signals are handled by the main thread, so data threads block all of them.
void blockSignals()
{
    sigset_t all;
    sigfillset(&all);
    pthread_sigmask(SIG_BLOCK, &all, nullptr);
}

} // namespace

DataThread::DataThread(const ProxyOptions &options, const ProxyPorts &ports, unsigned index)
    : options_(options)
    , ports_(ports)
    , index_(index)
    , work_(asio::make_work_guard(context_))
    , sweepTimer_(context_)
    , scratch_(kScratchBytes)
    , ring_(options.ringCapacity)
{
    scheduleSweep();
    thread_ = std::thread([this] { run(); });
}

DataThread::~DataThread()
{
    asio::post(context_, [this] {
        for (const auto &runner : runners_) {
            runner->abort();
        }
        context_.stop();
    });
    thread_.join();
    runners_.clear();
}

// The ring supports a single producer, so a mutex serializes them. At most one wake-up is pending; its flag is
// cleared before the ring is emptied, so no task is missed.
bool DataThread::enqueue(std::function<void()> task)
{
    {
        const std::lock_guard lock(producerMutex_);
        if (!ring_.push(std::move(task))) {
            reportError(ErrorKind::RingFull, "task for a data thread dropped");
            return false;
        }
    }
    wake();
    return true;
}

void DataThread::replaceServices(std::shared_ptr<const std::vector<Service>> services)
{
    pendingServices_.store(std::move(services));
    wake();
}

void DataThread::replaceView(std::shared_ptr<const View> view)
{
    pendingView_.store(std::move(view));
    wake();
}

void DataThread::beginDrain()
{
    drainRequested_.store(true);
    wake();
}

void DataThread::wake()
{
    if (!wakePending_.exchange(true)) {
        asio::post(context_, [this] { runTasks(); });
    }
}

void DataThread::applyPending()
{
    if (auto view = pendingView_.exchange(nullptr)) {
        view_ = std::move(view);
        for (const auto &runner : runners_) {
            runner->setView(*view_);
        }
    }
    if (const auto services = pendingServices_.exchange(nullptr)) {
        applyServices(*services);
    }
    if (drainRequested_.load() && !draining_) {
        applyDrain();
    }
}

void DataThread::runTasks()
{
    wakePending_.store(false);
    applyPending();
    while (auto task = ring_.pop()) {
        (*task)();
    }
}

// An exception in one handler must not affect other connections, so it is reported and the loop continues.
void DataThread::run()
{
    blockSignals();
    while (!context_.stopped()) {
        try {
            context_.run();
        } catch (const std::exception &exception) {
            reportError(ErrorKind::Internal, exception.what());
        }
    }
}

void DataThread::scheduleSweep()
{
    sweepTimer_.expires_after(kSweepInterval);
    sweepTimer_.async_wait([this](const ErrorCode &error) {
        if (!error) {
            sweep();
            scheduleSweep();
        }
    });
}

// Erases removed services that have become idle and updates drained_.
void DataThread::sweep()
{
    for (const auto &runner : runners_) {
        runner->sweep(currentTime());
    }
    std::erase_if(runners_, [](const auto &runner) { return runner->retired() && runner->idle(); });
    drained_.store(draining_ && std::all_of(runners_.begin(), runners_.end(), [](const auto &runner) { return runner->idle(); }));
}

bool DataThread::drained() const
{
    return drained_.load();
}

// A service is identified by name and kind. If its kind changes, it is a new service, and the open
// connections of the old one continue beside it.
void DataThread::applyServices(const std::vector<Service> &services)
{
    // Step 1. Apply new and changed services first, so that a moved service is never without a listener.
    for (const auto &service : services) {
        const auto isSame
            = [&service](const auto &runner) { return runner->service().name == service.name && runner->service().kind == service.kind; };
        const auto found = std::find_if(runners_.begin(), runners_.end(), isSame);
        if (found != runners_.end()) {
            (*found)->setService(service);
            continue;
        }
        auto runner = std::make_shared<ServiceRunner>(*this, service);
        if (view_) {
            runner->setView(*view_);
        }
        runner->start();
        if (draining_) {
            runner->beginDrain();
        }
        runners_.push_back(std::move(runner));
    }

    // Step 2. Retire services that are no longer listed.
    for (const auto &runner : runners_) {
        const auto listed = std::any_of(services.begin(), services.end(), [&runner](const Service &service) {
            return service.name == runner->service().name && service.kind == runner->service().kind;
        });
        if (!listed) {
            runner->retire();
        }
    }
}

void DataThread::applyDrain()
{
    draining_ = true;
    for (const auto &runner : runners_) {
        runner->beginDrain();
    }
}

ServiceRunner *DataThread::find(const std::string &service)
{
    const auto found = std::find_if(runners_.begin(), runners_.end(),
                                    [&service](const auto &runner) { return runner->service().name == service && !runner->retired(); });
    return found == runners_.end() ? nullptr : found->get();
}

std::string DataThread::stateAsJson()
{
    std::string result;
    for (const auto &runner : runners_) {
        if (!result.empty()) {
            result += ',';
        }
        result += runner->stateAsJson();
    }
    return result;
}

} // namespace medlarway
