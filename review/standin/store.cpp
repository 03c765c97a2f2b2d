#include "store.h"

#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

namespace
{

using Json = nlohmann::json;

constexpr std::chrono::seconds kHistory{20};
constexpr std::size_t kPageItems = 500;
constexpr std::size_t kPageBytes = 1'000'000;
constexpr std::size_t kLargeResponse = 2'000'000; // recorded

std::string toBase64(const std::string &bytes)
{
    constexpr std::string_view kLetters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t row = 0; row < 3; ++row) {
            group = (group << 8U) | (at + row < bytes.size() ? static_cast<unsigned char>(bytes[at + row]) : 0U);
        }
        for (std::size_t row = 0; row < 4; ++row) {
            text += at + row <= bytes.size() ? kLetters[(group >> (18U - 6U * row)) & 63U] : '=';
        }
    }
    return text;
}

std::string unescape(const std::string &text)
{
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        } else {
            result += text[at];
        }
    }
    return result;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    auto rest = target.find('?') == std::string::npos ? std::string() : target.substr(target.find('?') + 1);
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        rest.erase(0, pair.size() + 1);
        const auto equals = pair.find('=');
        query[pair.substr(0, equals)] = equals == std::string::npos ? "" : unescape(pair.substr(equals + 1));
    }
    return query;
}

std::uint64_t numberOf(const std::string &text)
{
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

Store::Store(Loop &loop, Record &record, const Address &listen)
    : loop_(loop)
    , record_(record)
    , address_(listen)
    , listener_(bindListener(address_))
{
    loop_.watch(listener_, POLLIN, [this](short) { accept(); });
}

Store::~Store()
{
    loop_.unwatch(listener_);
    ::close(listener_);
    for (const auto &[descriptor, connection] : connections_) {
        loop_.unwatch(descriptor);
        ::close(descriptor);
    }
}

std::uint64_t Store::put(const std::string &key, const std::string &value)
{
    const auto known = items_.find(key);
    ++revision_;
    Change change{key, value, revision_, known == items_.end() ? revision_ : known->second.created, false, Clock::now(), ""};
    change.text
        = Json{{"key", key}, {"value", toBase64(value)}, {"revision", change.revision}, {"create-rev", change.created}, {"lease", 0}}
              .dump();
    items_[key] = change;
    record(std::move(change));
    return revision_;
}

std::uint64_t Store::remove(const std::string &key)
{
    if (items_.erase(key) > 0) {
        ++revision_;
        record({key, "", revision_, 0, true, Clock::now(), Json{{"key", key}, {"revision", revision_}, {"deleted", true}}.dump()});
    }
    return revision_;
}

// Watches are answered from the loop, after the caller's changes of this moment.
void Store::record(Change change)
{
    history_.push_back(std::move(change));
    loop_.after(Millis{1}, [this] { answerWatches(); });
}

void Store::accept()
{
    const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
        return;
    }
    const auto connection = std::make_shared<Connection>();
    connection->descriptor = descriptor;
    connections_[descriptor] = connection;
    loop_.watch(descriptor, POLLIN, [this, connection](short events) { onReady(connection, events); });
}

void Store::onReady(const ConnectionPointer &connection, short events)
{
    if ((events & POLLOUT) != 0) {
        write(connection);
        return;
    }
    char buffer[4096];
    const auto size = ::recv(connection->descriptor, buffer, sizeof buffer, 0);
    if (size <= 0) {
        close(connection);
        return;
    }
    connection->input.append(buffer, static_cast<std::size_t>(size));
    handleInput(connection);
}

void Store::handleInput(const ConnectionPointer &connection)
{
    const auto end = connection->input.find("\r\n\r\n");
    if (end == std::string::npos || connection->watching || !connection->output.empty()) {
        return;
    }
    const auto first = connection->input.find(' ');
    const auto target = connection->input.substr(first + 1, connection->input.find(' ', first + 1) - first - 1);
    connection->input.erase(0, end + 4);
    handleRequest(connection, target);
}

void Store::handleRequest(const ConnectionPointer &connection, const std::string &target)
{
    auto query = queryOf(target);
    const auto path = target.substr(0, target.find('?'));
    if (path == "/v1/kv-watch") {
        connection->watching = true;
        connection->prefix = query["prefix"];
        connection->after = numberOf(query["after"]);
        const Millis wait{static_cast<std::int64_t>(numberOf(query["wait-ms"]))};
        connection->until = Clock::now() + wait;
        answerWatch(connection, false);
        loop_.after(wait, [this, connection] {
            if (connection->descriptor >= 0 && connection->watching && Clock::now() >= connection->until) {
                answerWatch(connection, true);
            }
        });
        return;
    }
    if (path != "/v1/kv-range") {
        respond(connection, 404, "{}");
        return;
    }
    std::string items;
    std::size_t count = 0;
    std::size_t bytes = 0;
    bool more = false;
    for (auto item = items_.upper_bound(query["after"]); item != items_.end(); ++item) {
        if (!item->first.starts_with(query["prefix"])) {
            continue;
        }
        more = count >= kPageItems || (bytes + item->second.value.size() > kPageBytes && count > 0);
        if (more) {
            break;
        }
        bytes += item->second.value.size();
        items += (count++ == 0 ? "" : ",") + item->second.text;
    }
    respond(connection, 200,
            R"({"items":[)" + items + R"(],"has-more":)" + (more ? "true" : "false") + R"(,"as-of":)" + std::to_string(revision_) + "}");
}

void Store::answerWatch(const ConnectionPointer &connection, bool waitIsOver)
{
    while (!history_.empty() && Clock::now() - history_.front().madeAt > kHistory) {
        historyStart_ = history_.front().revision;
        history_.pop_front();
    }
    if (connection->after < historyStart_) {
        connection->watching = false;
        respond(connection, 410, "{}");
        return;
    }
    std::string events;
    for (const auto &change : history_) {
        if (change.revision > connection->after && change.key.starts_with(connection->prefix)) {
            events += (events.empty() ? "" : ",") + change.text;
        }
    }
    if (events.empty() && !waitIsOver) {
        return;
    }
    connection->watching = false;
    respond(connection, 200, R"({"events":[)" + events + R"(],"as-of":)" + std::to_string(revision_) + "}");
}

void Store::answerWatches()
{
    const auto connections = connections_; // answering may close one
    for (const auto &[descriptor, connection] : connections) {
        if (connection->descriptor >= 0 && connection->watching) {
            answerWatch(connection, false);
        }
    }
}

void Store::respond(const ConnectionPointer &connection, int status, const std::string &body)
{
    if (body.size() > kLargeResponse) {
        record_.line("the store answers with " + std::to_string(body.size()) + " bytes");
    }
    const auto *reason = status == 200 ? "OK" : status == 410 ? "Gone" : "Not Found";
    connection->output += "HTTP/1.1 " + std::to_string(status) + " " + reason
                          + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    write(connection);
}

void Store::write(const ConnectionPointer &connection)
{
    while (connection->written < connection->output.size()) {
        const auto size = ::send(connection->descriptor, connection->output.data() + connection->written,
                                 connection->output.size() - connection->written, MSG_NOSIGNAL);
        if (size < 0 && errno == EAGAIN) {
            loop_.watch(connection->descriptor, POLLIN | POLLOUT, [this, connection](short events) { onReady(connection, events); });
            return;
        }
        if (size <= 0) {
            close(connection);
            return;
        }
        connection->written += static_cast<std::size_t>(size);
    }
    connection->output.clear();
    connection->written = 0;
    loop_.watch(connection->descriptor, POLLIN, [this, connection](short events) { onReady(connection, events); });
    handleInput(connection);
}

void Store::close(const ConnectionPointer &connection)
{
    if (connection->descriptor < 0) {
        return;
    }
    loop_.unwatch(connection->descriptor);
    ::close(connection->descriptor);
    connections_.erase(connection->descriptor);
    connection->descriptor = -1;
    connection->watching = false;
}

} // namespace review
