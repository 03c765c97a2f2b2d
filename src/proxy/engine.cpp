#include "proxy/engine.h"

#include "base/errors.h"
#include "base/hash.h"
#include "proxy/data_thread.h"
#include "proxy/service_runner.h"

#include <algorithm>
#include <fmt/format.h>
#include <future>
#include <unordered_map>

namespace medlarway
{

namespace
{

constexpr auto kReplyTimeout = std::chrono::seconds{1};

std::vector<Service> allServices(const Catalogue &catalogue)
{
    std::vector<Service> result;
    for (const auto &shard : catalogue.shards) {
        result.insert(result.end(), shard.services.begin(), shard.services.end());
    }
    return result;
}

} // namespace

struct ProxyEngine::Impl {
    ProxyOptions options;
    ProxyPorts ports;
    std::vector<std::unique_ptr<DataThread>> threads;
    /// Names of datagram services by their address in the catalogue, which identifies them in relayed datagrams.
    std::atomic<std::shared_ptr<const std::unordered_map<Endpoint, std::string>>> datagramServices;

    DataThread &threadOf(const std::string &service)
    {
        return *threads[hashBytes(service) % threads.size()];
    }

    // Calls a function on a data thread and waits for its result. Returns the fallback on timeout or if the ring is full.
    template<class T>
    T callOn(DataThread &thread, std::function<T()> function, T fallback)
    {
        auto promise = std::make_shared<std::promise<T>>();
        auto result = promise->get_future();
        const bool enqueued = thread.enqueue([promise, function = std::move(function)] { promise->set_value(function()); });
        if (!enqueued || result.wait_for(kReplyTimeout) != std::future_status::ready) {
            return fallback;
        }
        return result.get();
    }
};

ProxyEngine::ProxyEngine(ProxyOptions options, ProxyPorts ports)
    : impl_(std::make_unique<Impl>())
{
    impl_->options = std::move(options);
    impl_->ports = std::move(ports);
    const auto threads = std::max(1U, impl_->options.threads);
    for (unsigned index = 0; index < threads; ++index) {
        impl_->threads.push_back(std::make_unique<DataThread>(impl_->options, impl_->ports, index));
    }
}

ProxyEngine::~ProxyEngine() = default;

void ProxyEngine::applyCatalogue(const std::shared_ptr<const Catalogue> &catalogue)
{
    std::vector<std::vector<Service>> servicesByThread(impl_->threads.size());
    auto datagramServices = std::make_shared<std::unordered_map<Endpoint, std::string>>();
    for (auto &service : allServices(*catalogue)) {
        if (service.kind == ServiceKind::Datagram) {
            datagramServices->emplace(service.address, service.name);
        }
        auto &part = servicesByThread[hashBytes(service.name) % servicesByThread.size()];
        part.push_back(std::move(service));
    }
    impl_->datagramServices.store(std::move(datagramServices));
    for (std::size_t index = 0; index < servicesByThread.size(); ++index) {
        impl_->threads[index]->replaceServices(std::make_shared<const std::vector<Service>>(std::move(servicesByThread[index])));
    }
}

void ProxyEngine::applyView(const std::shared_ptr<const View> &view)
{
    for (const auto &thread : impl_->threads) {
        thread->replaceView(view);
    }
}

void ProxyEngine::deliverSlotMessage(const std::string &service, HostId from, const SlotMessage &message)
{
    auto &thread = impl_->threadOf(service);
    thread.enqueue([&thread, service, from, message] {
        if (auto *runner = thread.find(service)) {
            runner->receive(from, message);
        }
    });
}

void ProxyEngine::deliverFlowMessage(const std::string &service, HostId from, const FlowMessage &message)
{
    auto &thread = impl_->threadOf(service);
    thread.enqueue([&thread, service, from, message] {
        if (auto *runner = thread.find(service)) {
            runner->receive(from, message);
        }
    });
}

void ProxyEngine::deliverRelayedDatagram(HostId /*from*/, const RelayedDatagram &datagram)
{
    const auto services = impl_->datagramServices.load();
    const auto found = services ? services->find(datagram.service) : std::unordered_map<Endpoint, std::string>::const_iterator{};
    if (!services || found == services->end()) {
        count(Counter::DatagramsDropped);
        return;
    }
    auto &thread = impl_->threadOf(found->second);
    thread.enqueue([&thread, name = found->second, datagram] {
        if (auto *runner = thread.find(name)) {
            runner->deliverRelayed(datagram);
        }
    });
}

void ProxyEngine::beginDrain()
{
    for (const auto &thread : impl_->threads) {
        thread->beginDrain();
    }
}

// Data threads read the drain timeouts only after beginDrain(), which synchronizes with them.
void ProxyEngine::beginDrain(Duration requestGrace, Duration feedGrace)
{
    impl_->options.requestGrace = requestGrace;
    impl_->options.feedGrace = feedGrace;
    beginDrain();
}

bool ProxyEngine::drained() const
{
    return std::all_of(impl_->threads.begin(), impl_->threads.end(), [](const auto &thread) { return thread->drained(); });
}

std::optional<Endpoint> ProxyEngine::listeningOn(const std::string &service) const
{
    auto &thread = impl_->threadOf(service);
    const auto address = impl_->callOn<Endpoint>(
        thread,
        [&thread, service] {
            const auto *runner = thread.find(service);
            return runner != nullptr ? runner->listeningOn() : Endpoint{};
        },
        Endpoint{});
    return address.port == 0 ? std::nullopt : std::optional(address);
}

std::string ProxyEngine::stateAsJson() const
{
    std::string services;
    for (const auto &thread : impl_->threads) {
        const auto part = impl_->callOn<std::string>(
            *thread, [&thread = *thread] { return thread.stateAsJson(); }, R"({"error":"no answer"})");
        if (!services.empty() && !part.empty()) {
            services += ',';
        }
        services += part;
    }
    return fmt::format(R"({{"services":[{}]}})", services);
}

std::vector<std::string> ProxyEngine::explain(const std::string &service, const std::string &path, const Endpoint &caller) const
{
    auto &thread = impl_->threadOf(service);
    return impl_->callOn<std::vector<std::string>>(thread,
                                                   [&thread, service, path, caller] {
                                                       const auto *runner = thread.find(service);
                                                       return runner != nullptr ? runner->explain(path, caller)
                                                                                : std::vector<std::string>{"no such service"};
                                                   },
                                                   {"the data thread does not answer"});
}

} // namespace medlarway
