#include "store.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace standin
{

namespace
{

constexpr std::size_t kItemsInPage = 50;

std::string base64(const std::string &bytes)
{
    constexpr const char *kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t part = 0; part < 3; ++part) {
            group = (group << 8U) | (at + part < bytes.size() ? static_cast<std::uint8_t>(bytes[at + part]) : 0U);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            text += at + digit > bytes.size() ? '=' : kDigits[(group >> (18 - 6 * digit)) & 63U];
        }
    }
    return text;
}

std::string joined(const std::vector<std::string> &parts)
{
    std::string text;
    for (const auto &part : parts) {
        text += (text.empty() ? "" : ",") + part;
    }
    return text;
}

} // namespace

Store::Store(Loop &loop, const Address &address, std::uint64_t firstRevision)
    : loop_(loop)
    , revision_(firstRevision)
    , server_(loop, address, [this](const auto &target, const auto &connection) { serve(target, connection); })
{
}

void Store::put(const std::string &key, const std::string &value)
{
    const auto revision = std::to_string(++revision_);
    items_[key] = R"({"key":")" + key + R"(","value":")" + base64(value) + R"(","revision":)" + revision + R"(,"create-rev":)" + revision
                  + R"(,"lease":0})";
    history_[revision_] = {key, items_[key]};
    for (const auto &watch : std::vector(watches_)) {
        if (key.starts_with(watch->prefix)) {
            answer(*watch);
        }
    }
}

void Store::serve(const std::string &target, const std::shared_ptr<HttpConnection> &connection)
{
    auto query = queryOf(target);
    if (target.starts_with("/v1/kv-range")) {
        connection->answer(200, page(query["prefix"], query["after"]));
        return;
    }
    if (!target.starts_with("/v1/kv-watch")) {
        connection->answer(404, "{}");
        return;
    }
    const auto watch = std::make_shared<Watch>(Watch{connection, query["prefix"], std::strtoull(query["after"].c_str(), nullptr, 10)});
    const auto wait = std::chrono::milliseconds{std::atoi(query["wait-ms"].c_str())};
    const auto news = history_.upper_bound(watch->after);
    if (std::any_of(news, history_.end(), [&](const auto &entry) { return entry.second.first.starts_with(watch->prefix); })) {
        answer(*watch);
        return;
    }
    watches_.push_back(watch);
    loop_.after(wait, [this, watch] { answer(*watch); });
}

void Store::answer(Watch &watch)
{
    if (!std::exchange(watch.answered, true)) {
        watch.connection->answer(200, events(watch.prefix, watch.after));
        std::erase_if(watches_, [](const auto &other) { return other->answered; });
    }
}

std::string Store::page(const std::string &prefix, const std::string &after) const
{
    std::vector<std::string> items;
    bool more = false;
    for (const auto &[key, item] : items_) {
        if (key.starts_with(prefix) && key > after) {
            more = items.size() == kItemsInPage;
            if (more) {
                break;
            }
            items.push_back(item);
        }
    }
    return R"({"items":[)" + joined(items) + R"(],"has-more":)" + (more ? "true" : "false") + R"(,"as-of":)" + std::to_string(revision_)
           + "}";
}

std::string Store::events(const std::string &prefix, std::uint64_t after) const
{
    std::vector<std::string> events;
    for (auto entry = history_.upper_bound(after); entry != history_.end(); ++entry) {
        if (entry->second.first.starts_with(prefix)) {
            events.push_back(entry->second.second);
        }
    }
    return R"({"events":[)" + joined(events) + R"(],"as-of":)" + std::to_string(revision_) + "}";
}

std::string entryOf(const Registration &registration)
{
    const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    return R"({"service":")" + registration.service + R"(","address":")" + toText(registration.address) + R"(","zone":")"
           + registration.zone + R"(","version":"v1","concurrency":2,"state":"ready","warmup-left-ms":0,"sequence":1,"born":)"
           + std::to_string(born) + "}";
}

std::string configOf(std::uint64_t version, const std::vector<RouteEntry> &entries)
{
    std::vector<std::string> routes;
    std::vector<std::string> services;
    for (const auto &[route, service] : entries) {
        const auto address = toText(route);
        routes.push_back(R"({"name":"r-)" + std::to_string(routes.size() + 1) + R"(","host":")" + address.substr(0, address.find(':'))
                         + R"(","prefix":"/)" + std::to_string(route.port)
                         + R"(/","type":"non_idempotent","timeout-ms":2000,"target-latency-ms":200,"priority":1,"service":")" + service
                         + R"(","attempts":2})");
        const auto entry = R"({"name":")" + service + R"(","health-path":"/health","max-connections":2000})";
        if (std::find(services.begin(), services.end(), entry) == services.end()) {
            services.push_back(entry);
        }
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + joined(routes) + R"(],"services":[)" + joined(services)
           + R"(],"limits":{"idle-timeout-ms":15000}})";
}

} // namespace standin
