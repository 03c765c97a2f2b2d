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

// Signals belong to the main thread; a data thread takes none of them.
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

// The ring is for one producer, so producers take turns. One wake-up is under way at
// most: the flag is cleared before the ring is emptied, so no task is left behind.
bool DataThread::hand(std::function<void()> task)
{
    {
        const std::lock_guard lock(producers_);
        if (!ring_.push(std::move(task))) {
            reportError(ErrorKind::RingFull, "to a data thread");
            return false;
        }
    }
    wake();
    return true;
}

void DataThread::replaceServices(std::shared_ptr<const std::vector<Service>> services)
{
    newServices_.store(std::move(services));
    wake();
}

void DataThread::replaceView(std::shared_ptr<const View> view)
{
    newView_.store(std::move(view));
    wake();
}

void DataThread::beginDrain()
{
    drainAsked_.store(true);
    wake();
}

void DataThread::wake()
{
    if (!woken_.exchange(true)) {
        asio::post(context_, [this] { runTasks(); });
    }
}

void DataThread::takeReplacements()
{
    if (auto view = newView_.exchange(nullptr)) {
        view_ = std::move(view);
        for (const auto &runner : runners_) {
            runner->setView(*view_);
        }
    }
    if (const auto services = newServices_.exchange(nullptr)) {
        applyServices(*services);
    }
    if (drainAsked_.load() && !draining_) {
        applyDrain();
    }
}

void DataThread::runTasks()
{
    woken_.store(false);
    takeReplacements();
    while (auto task = ring_.pop()) {
        (*task)();
    }
}

// A fault in one handler must not take the other connections along: it is counted and
// the loop goes on.
void DataThread::run()
{
    blockSignals();
    while (!context_.stopped()) {
        try {
            context_.run();
        } catch (const std::exception &fault) {
            reportError(ErrorKind::Internal, fault.what());
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

// Forgets removed services that have finished, and says when a planned stop is over.
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

// A service is the same one as before while name and kind stay; another kind is another
// service, and the former one's open flows run on beside it.
void DataThread::applyServices(const std::vector<Service> &services)
{
    // Step 1. New and changed services first, so that a moved one is never without a listener.
    for (const auto &service : services) {
        const auto same
            = [&service](const auto &runner) { return runner->service().name == service.name && runner->service().kind == service.kind; };
        const auto found = std::find_if(runners_.begin(), runners_.end(), same);
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

    // Step 2. Services that are no longer named stop listening.
    for (const auto &runner : runners_) {
        const auto named = std::any_of(services.begin(), services.end(), [&runner](const Service &service) {
            return service.name == runner->service().name && service.kind == runner->service().kind;
        });
        if (!named) {
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
