// One host reads a new shard revision from the platform. The other host receives it from this peer and then rejects an
// older revision.
#include "catalogue/catalogue_sync.h"

#include <fmt/format.h>

using namespace medlarway;
using namespace std::chrono_literals;

namespace
{

CatalogueSync makeSync(HostId self, const View &view)
{
    CatalogueSyncOptions options;
    options.self = self;
    options.zone = AvailabilityZone{"ghent"};
    options.shards = {"services"};
    CatalogueSync sync(options);
    sync.setView(view, Time{});
    return sync;
}

CatalogueShard shardAt(std::uint64_t revision)
{
    Service service;
    service.name = fmt::format("quotes-{}", revision);
    service.address = *parseEndpoint("10.0.9.1:443");
    service.upstreams = {{*parseEndpoint("10.0.8.1:8080"), {"ghent"}, false}};
    return CatalogueShard{"services", revision, {service}};
}

} // namespace

int main()
{
    const HostId first = hostIdOf(*parseEndpoint("10.0.0.1:7000"));
    const HostId second = hostIdOf(*parseEndpoint("10.0.0.2:7000"));
    const View view{1, {Member{first, {"ghent"}, HostState::Alive, 1}, Member{second, {"ghent"}, HostState::Alive, 1}}};
    auto reader = makeSync(first, view);
    auto other = makeSync(second, view);
    fmt::print("the reader watches {} shard\n", reader.shardsToRead().size());

    Outbox<CatalogueMessage> outbox;
    reader.offer(shardAt(7), Time{}, outbox);
    Outbox<CatalogueMessage> responses;
    for (const auto &outgoing : outbox) {
        other.receive(first, outgoing.message, Time{}, responses);
    }
    fmt::print("the other host holds revision {}\n", other.shardRevision("services"));

    other.offer(shardAt(6), Time{}, responses);
    fmt::print("it still holds revision {}; older ones refused: {}\n", other.shardRevision("services"), other.stats().stale);
    fmt::print("in force: {}\n", other.inForce()->shards.front().services.front().name);
    return 0;
}
