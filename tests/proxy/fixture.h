#pragma once

#include "proxy/engine.h"
#include "proxy/test_connection.h"

namespace medlarway
{

/// A proxy engine with the services of a test.
class Fixture
{
public:
    explicit Fixture(ProxyPorts ports = {}, const std::function<void(ProxyOptions &)> &adjust = {})
    {
        ProxyOptions options;
        options.self = HostId{1};
        options.bindAddress = 0x7f000001;
        options.requestGrace = std::chrono::seconds{5};
        options.feedGrace = std::chrono::seconds{5};
        if (adjust) {
            adjust(options);
        }
        engine_ = std::make_unique<ProxyEngine>(options, std::move(ports));
    }

    /// Adds or replaces a service, waits until it listens and returns its endpoint; zero on timeout.
    Endpoint serve(const Service &service)
    {
        std::erase_if(services_, [&service](const Service &other) { return other.name == service.name; });
        services_.push_back(service);
        apply();
        std::optional<Endpoint> address;
        eventually([&] { return (address = engine_->listeningOn(service.name)).has_value(); });
        return address.value_or(Endpoint{});
    }

    void remove(const std::string &name)
    {
        std::erase_if(services_, [&name](const Service &other) { return other.name == name; });
        apply();
        eventually([&] { return !engine_->listeningOn(name); });
    }

    ProxyEngine &engine()
    {
        return *engine_;
    }

    /// Builds a service with the upstreams.
    static Service service(ServiceKind kind, ServiceClass serviceClass, const std::vector<Endpoint> &upstreams)
    {
        Service result;
        result.name = "registry";
        result.owner = "trust";
        result.kind = kind;
        result.serviceClass = serviceClass;
        for (const auto &upstream : upstreams) {
            result.upstreams.push_back(Upstream{upstream, AvailabilityZone{"a"}, false});
        }
        return result;
    }

private:
    void apply()
    {
        auto catalogue = std::make_shared<Catalogue>();
        catalogue->shards.push_back(CatalogueShard{"main", ++revision_, services_});
        engine_->applyCatalogue(catalogue);
        engine_->explain("", "", {}); // returns after the data thread has applied the catalogue
    }

    std::unique_ptr<ProxyEngine> engine_;
    std::vector<Service> services_;
    std::uint64_t revision_ = 0;
};

} // namespace medlarway
