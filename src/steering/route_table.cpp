#include "steering/route_table.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

bool RouteTable::apply(RouteConfig config)
{
    if (config.version <= config_.version) {
        return false;
    }
    config_ = std::move(config);
    byAddress_.clear();
    for (std::size_t row = 0; row < config_.routes.size(); ++row) {
        byAddress_[config_.routes[row].address] = row;
    }
    // A removed route may be added again with another service, which must not get the flows of the earlier route.
    boost::unordered::erase_if(allowed_, [this](const auto &entry) { return !byAddress_.contains(entry.first); });
    for (const auto &route : config_.routes) {
        auto &services = allowed_[route.address];
        for (const auto &target : route.targets) {
            if (std::find(services.begin(), services.end(), target.service) == services.end()) {
                services.push_back(target.service);
            }
        }
    }
    return true;
}

const FlowRoute *RouteTable::find(const Endpoint &address) const
{
    const auto found = byAddress_.find(address);
    return found == byAddress_.end() ? nullptr : &config_.routes[found->second];
}

bool RouteTable::everAllowed(const Endpoint &address, const std::string &service) const
{
    const auto found = allowed_.find(address);
    return found != allowed_.end() && std::find(found->second.begin(), found->second.end(), service) != found->second.end();
}

} // namespace medlarway
