#include "catalogue/catalogue_store.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace medlarway;

namespace
{

Service serviceAt(const std::string &name, std::uint16_t port)
{
    Service service;
    service.name = name;
    service.owner = "trust";
    service.address = {0, port};
    service.upstreams = {{{0x0a000001, 9000}, {"a"}, false}};
    return service;
}

std::size_t servicesInForce(const CatalogueStore &store)
{
    std::size_t services = 0;
    for (const auto &shard : store.inForce()->shards) {
        services += shard.services.size();
    }
    return services;
}

} // namespace

TEST_CASE("the catalogue in force on a host")
{
    CatalogueStore store;
    CHECK(store.offer({"photos", 5, {serviceAt("photos", 81)}}).result == OfferResult::Accepted);
    SUBCASE("never returns to a lower revision")
    {
        const auto before = store.inForce();
        CHECK(store.offer({"photos", 5, {serviceAt("photos", 82)}}).result == OfferResult::Unchanged);
        CHECK(store.offer({"photos", 4, {serviceAt("photos", 82)}}).result == OfferResult::Stale);
        CHECK(store.inForce() == before);
        CHECK(store.latestRevision("photos") == 5);
    }
    SUBCASE("keeps the last accepted version of a shard whose new version conflicts with another shard")
    {
        const auto offer = store.offer({"registry", 9, {serviceAt("registry", 81)}});
        CHECK(offer.result == OfferResult::Refused);
        CHECK(faultsToString(offer.faults) == "service 'registry': address 0.0.0.0:81 is taken by 'photos'");
        CHECK(servicesInForce(store) == 1);
        CHECK(store.pending().count("registry") == 1);
        SUBCASE("until the other shard resolves the conflict")
        {
            CHECK(store.offer({"photos", 6, {serviceAt("photos", 82)}}).result == OfferResult::Accepted);
            CHECK(servicesInForce(store) == 2);
            CHECK(store.pending().empty());
        }
        SUBCASE("until the other shard is removed")
        {
            CHECK(store.retainOnly({"registry"}));
            CHECK(servicesInForce(store) == 1);
            CHECK(store.inForce()->shards.at(0).name == "registry");
        }
    }
    SUBCASE("is the same whichever shard is updated first when a service moves between them")
    {
        const CatalogueShard without{"photos", 6, {}};
        const CatalogueShard with{"registry", 3, {serviceAt("photos", 81)}};
        CatalogueStore other = store;
        store.offer(without);
        store.offer(with);
        other.offer(with);
        other.offer(without);
        CHECK(*store.inForce() == *other.inForce());
        CHECK(servicesInForce(store) == 1);
    }
}
