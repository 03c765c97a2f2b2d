#include "standin/platform/store.h"

#include "pages/query.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <sodium.h>
#include <vector>

namespace medlarway
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using Json = nlohmann::json;

constexpr auto kWaitForCompletion = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds kPollInterval{5}; // how often a waiting coroutine checks its condition
constexpr std::size_t kDefaultPageItems = 50;

std::uint64_t toNumber(const std::string &text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string encodeBase64(const std::string &bytes)
{
    std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(),
                      sodium_base64_VARIANT_ORIGINAL);
    text.pop_back(); // the terminating null character
    return text;
}

struct Change {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool deleted = false;
};

Json toJson(const Change &change)
{
    if (change.deleted) {
        return {{"key", change.key}, {"revision", change.revision}, {"deleted", true}};
    }
    return {{"key", change.key},
            {"value", encodeBase64(change.value)},
            {"revision", change.revision},
            {"create-rev", change.revision},
            {"lease", 0}};
}

} // namespace

struct StandinStore::Impl : std::enable_shared_from_this<Impl> {
    Impl(asio::io_context &ioContext, const Endpoint &listen)
        : context(ioContext)
        , acceptor(ioContext, tcp::endpoint(asio::ip::address_v4(listen.address), listen.port))
    {
    }

    asio::awaitable<void> accept(std::shared_ptr<Impl> self)
    {
        for (;;) {
            auto [error, socket] = co_await acceptor.async_accept(kWaitForCompletion);
            if (error) {
                co_return;
            }
            asio::co_spawn(context, serve(self, std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<Impl> self, tcp::socket socket)
    {
        beast::flat_buffer buffer;
        for (;;) {
            http::request<http::empty_body> request;
            const auto [readError, read] = co_await http::async_read(socket, buffer, request, kWaitForCompletion);
            if (readError || !self->running) {
                co_return;
            }
            ++calls;
            http::response<http::string_body> response(http::status::ok, 11);
            co_await handleRequest(std::string(request.target().data(), request.target().size()), response);
            co_await waitFor(delay, [] { return false; });
            if (fault == StoreFault::Reset) {
                beast::error_code ignored;
                socket.set_option(asio::socket_base::linger(true, 0), ignored);
                co_return;
            }
            if (fault == StoreFault::Silent) {
                co_await waitFor(std::chrono::hours{1}, [this] { return !running; });
                co_return;
            }
            if (tellsEra) {
                response.set("Store-Era", std::to_string(era));
            }
            response.prepare_payload();
            const auto [writeError, written] = co_await http::async_write(socket, response, kWaitForCompletion);
            if (writeError) {
                co_return;
            }
        }
    }

    template<class Condition>
    asio::awaitable<void> waitFor(std::chrono::milliseconds maxWait, Condition condition)
    {
        asio::steady_timer timer(context);
        const auto end = std::chrono::steady_clock::now() + maxWait;
        while (running && !condition() && std::chrono::steady_clock::now() < end) {
            timer.expires_after(kPollInterval);
            co_await timer.async_wait(kWaitForCompletion);
        }
    }

    asio::awaitable<void> handleRequest(std::string target, http::response<http::string_body> &response)
    {
        if (refuseEveryNth > 0 && calls % refuseEveryNth == 0) {
            response.result(http::status::too_many_requests);
            co_return;
        }
        if (fault == StoreFault::Busy || fault == StoreFault::RateLimited) {
            response.result(fault == StoreFault::Busy ? http::status::service_unavailable : http::status::too_many_requests);
            co_return;
        }
        const auto parsed = parseTarget(target);
        if (fault == StoreFault::OnlyStaleReads && parsed && !parsed->query.contains("stale-ok")) {
            response.result(http::status::too_many_requests);
            co_return;
        }
        if (!parsed || (parsed->path != "/v1/kv-key" && parsed->path != "/v1/kv-range" && parsed->path != "/v1/kv-watch")) {
            response.result(http::status::not_found);
            co_return;
        }
        auto query = parsed->query;
        if (parsed->path == "/v1/kv-key") {
            const auto found = items.find(query["key"]);
            if (found == items.end()) {
                response.result(http::status::not_found);
                co_return;
            }
            auto item = toJson(found->second);
            item["as-of"] = revision;
            response.body() = item.dump();
            co_return;
        }
        if (parsed->path == "/v1/kv-range") {
            const bool stale = query["stale-ok"] == "1";
            staleCalls += stale ? 1 : 0;
            response.body() = range(stale && staleContents ? *staleContents : Contents{revision, items}, query["prefix"], query["after"]);
            co_return;
        }
        const auto prefix = query["prefix"];
        const auto after = toNumber(query["after"]);
        ++pendingWatches;
        co_await waitFor(std::chrono::milliseconds{toNumber(query["wait-ms"])},
                         [&] { return fault != StoreFault::None || !hasHistoryAfter(after) || !changesAfter(prefix, after).empty(); });
        --pendingWatches;
        if (!hasHistoryAfter(after)) {
            response.result(http::status::gone);
            co_return;
        }
        response.body() = Json{{"events", changesAfter(prefix, after)}, {"as-of", revision}}.dump();
    }

    // All items at a revision.
    struct Contents {
        std::uint64_t revision = 0;
        std::map<std::string, Change> items;
    };

    std::string range(const Contents &contents, const std::string &prefix, const std::string &after) const
    {
        auto page = Json::array();
        bool more = false;
        for (auto item = contents.items.upper_bound(after); item != contents.items.end(); ++item) {
            if (!item->first.starts_with(prefix)) {
                continue;
            }
            more = page.size() == pageItems;
            if (more) {
                break;
            }
            page.push_back(toJson(item->second));
        }
        return Json{{"items", page}, {"has-more", more}, {"as-of", contents.revision}}.dump();
    }

    bool hasHistoryAfter(std::uint64_t after) const
    {
        return after >= historyStart && after <= revision;
    }

    Json changesAfter(const std::string &prefix, std::uint64_t after) const
    {
        auto list = Json::array();
        for (const auto &change : history) {
            if (change.revision > after && change.key.starts_with(prefix)) {
                list.push_back(toJson(change));
            }
        }
        return list;
    }

    asio::io_context &context;
    tcp::acceptor acceptor;
    bool running = true;
    StoreFault fault = StoreFault::None;
    std::chrono::milliseconds delay{0};
    std::size_t refuseEveryNth = 0;
    std::size_t pageItems = kDefaultPageItems;
    std::size_t calls = 0;
    std::size_t staleCalls = 0;
    std::size_t pendingWatches = 0;
    std::uint64_t era = 1;
    bool tellsEra = true;
    std::uint64_t revision = 1;
    std::uint64_t historyStart = 0;
    std::map<std::string, Change> items;
    std::vector<Change> history;
    std::optional<Contents> copy; ///< contents to return to
    std::optional<Contents> staleContents; ///< contents that stale reads return, once frozen
};

StandinStore::StandinStore(asio::io_context &context, const Endpoint &listen)
    : impl_(std::make_shared<Impl>(context, listen))
{
    asio::co_spawn(context, impl_->accept(impl_), asio::detached);
}

StandinStore::~StandinStore()
{
    impl_->running = false;
    beast::error_code ignored;
    impl_->acceptor.close(ignored);
}

Endpoint StandinStore::address() const
{
    const auto local = impl_->acceptor.local_endpoint();
    return {local.address().to_v4().to_uint(), local.port()};
}

std::uint64_t StandinStore::put(const std::string &key, const std::string &value)
{
    const Change change{key, value, ++impl_->revision, false};
    impl_->items[key] = change;
    impl_->history.push_back(change);
    return change.revision;
}

void StandinStore::rollBack(const std::string &key, const std::string &value, std::uint64_t revision)
{
    impl_->items[key] = Change{key, value, revision, false};
    ++impl_->revision; // makes pending watches from the current revision return
    dropHistory();
}

void StandinStore::keepCopy()
{
    impl_->copy = Impl::Contents{impl_->revision, impl_->items};
}

void StandinStore::restoreCopy()
{
    const auto &copy = impl_->copy.value();
    ++impl_->era;
    impl_->revision = copy.revision;
    impl_->items = copy.items;
    std::erase_if(impl_->history, [&copy](const Change &change) { return change.revision > copy.revision; });
}

void StandinStore::omitEra()
{
    impl_->tellsEra = false;
}

std::uint64_t StandinStore::remove(const std::string &key)
{
    impl_->items.erase(key);
    impl_->history.push_back({key, {}, ++impl_->revision, true});
    return impl_->revision;
}

void StandinStore::setFault(StoreFault fault)
{
    impl_->fault = fault;
}

void StandinStore::refuseEveryNth(std::size_t calls)
{
    impl_->refuseEveryNth = calls;
}

void StandinStore::setDelay(std::chrono::milliseconds delay)
{
    impl_->delay = delay;
}

void StandinStore::dropHistory()
{
    impl_->historyStart = impl_->revision;
    impl_->history.clear();
}

void StandinStore::freezeStaleReads()
{
    impl_->staleContents = Impl::Contents{impl_->revision, impl_->items};
}

void StandinStore::serveStaleReads(const std::map<std::string, std::string> &values, std::uint64_t revision)
{
    Impl::Contents contents{revision, {}};
    for (const auto &[key, value] : values) {
        contents.items[key] = Change{key, value, revision, false};
    }
    impl_->staleContents = std::move(contents);
}

void StandinStore::setPageItems(std::size_t items)
{
    impl_->pageItems = items;
}

std::size_t StandinStore::calls() const
{
    return impl_->calls;
}

std::size_t StandinStore::staleCalls() const
{
    return impl_->staleCalls;
}

std::size_t StandinStore::heldWatches() const
{
    return impl_->pendingWatches;
}

std::string standinUpstreamEntry(const std::string &service, const Endpoint &address, const std::string &zone, const std::string &state,
                                 std::uint64_t born)
{
    return Json{{"service", service},  {"address", endpointToString(address)},
                {"zone", zone},        {"version", "v1"},
                {"concurrency", 2},    {"state", state},
                {"warmup-left-ms", 0}, {"sequence", 1},
                {"born", born}}
        .dump();
}

std::string standinConfig(std::uint64_t version, const std::vector<StandinRoute> &routes)
{
    auto list = Json::array();
    for (const auto &route : routes) {
        list.push_back({{"name", fmt::format("r-{}-{}", route.service, list.size())},
                        {"host", addressToString(route.address.address)},
                        {"prefix", fmt::format("/{}/", route.address.port)},
                        {"type", "idempotent"},
                        {"timeout-ms", 1500},
                        {"priority", route.priority},
                        {"service", route.service}});
        if (route.targetLatency.count() > 0) {
            list.back()["target-latency-ms"] = route.targetLatency.count();
        }
    }
    return Json{{"version", version}, {"routes", list}, {"services", Json::array()}, {"limits", {{"idle-timeout-ms", 15000}}}}.dump();
}

std::string standinConfig(std::uint64_t version, const Endpoint &route, const std::string &service)
{
    return standinConfig(version, std::vector<StandinRoute>{{route, service}});
}

} // namespace medlarway
