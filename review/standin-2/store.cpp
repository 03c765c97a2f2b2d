#include "store.h"

#include <arpa/inet.h>
#include <cstdlib>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace lab
{

namespace
{

constexpr std::size_t kPageItems = 500;

std::string inBase64(const std::string &bytes)
{
    static constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t i = 0; i < 3; ++i) {
            group = (group << 8U) | (at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i]) : 0U);
        }
        for (std::size_t i = 0; i < 4; ++i) {
            text += at + i <= bytes.size() ? kDigits[(group >> (18U - 6U * i)) & 63U] : '=';
        }
    }
    return text;
}

std::string unescaped(const std::string &text)
{
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            result += static_cast<char>(std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16));
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
        const auto end = std::min(rest.find('&'), rest.size());
        const auto part = rest.substr(0, end);
        const auto equals = std::min(part.find('='), part.size());
        query[part.substr(0, equals)] = equals < part.size() ? unescaped(part.substr(equals + 1)) : "";
        rest.erase(0, end + 1);
    }
    return query;
}

} // namespace

struct Store::Impl {
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };

    struct Event {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        bool deleted = false;
    };

    struct Watch {
        int connection = -1;
        std::string prefix;
        std::uint64_t after = 0;
        Time since;
        std::uint64_t number = 0;
    };

    struct Link {
        Milliseconds delay{0};
        std::size_t calls = 0;
        std::optional<Watch> watch;
    };

    explicit Impl(Loop &eventLoop)
        : loop(eventLoop)
    {
    }

    void accept(int listener, std::size_t link)
    {
        const int connection = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (connection >= 0) {
            received[connection].clear();
            loop.onReadable(connection, [this, connection, link] { read(connection, link); });
        }
    }

    void drop(int connection, std::size_t link)
    {
        loop.forget(connection);
        received.erase(connection);
        auto &watch = links[link].watch;
        if (watch && watch->connection == connection) {
            watch.reset();
        }
        ::close(connection);
    }

    void read(int connection, std::size_t link)
    {
        char buffer[4096];
        const auto size = ::recv(connection, buffer, sizeof(buffer), 0);
        if (size <= 0) {
            drop(connection, link);
            return;
        }
        auto &text = received[connection];
        text.append(buffer, static_cast<std::size_t>(size));
        const auto end = text.find("\r\n\r\n");
        if (end == std::string::npos) {
            return;
        }
        const auto begin = text.find(' ') + 1;
        const auto target = text.substr(begin, text.find(' ', begin) - begin);
        text.erase(0, end + 4);
        ++links[link].calls;
        handle(connection, link, target);
    }

    void handle(int connection, std::size_t link, const std::string &target)
    {
        auto query = queryOf(target);
        if (target.starts_with("/v1/kv-range")) {
            respond(connection, link, 200, page(query["prefix"], query["after"]));
        } else if (target.starts_with("/v1/kv-watch")) {
            const Watch watch{connection, query["prefix"], std::strtoull(query["after"].c_str(), nullptr, 10), Clock::now(), ++watches};
            const Milliseconds wait(std::strtoll(query["wait-ms"].c_str(), nullptr, 10));
            links[link].watch = watch;
            if (!answerIfNews(link)) {
                loop.after(wait, [this, link, number = watch.number] { expire(link, number); });
            }
        } else {
            const auto found = items.find(query["key"]);
            respond(connection, link, found == items.end() ? 404 : 200,
                    found == items.end() ? "{}" : itemText(found->first, found->second));
        }
    }

    bool answerIfNews(std::size_t link)
    {
        const auto watch = *links[link].watch;
        std::string text;
        for (const auto &event : events) {
            if (event.revision > watch.after && event.key.starts_with(watch.prefix)) {
                text += text.empty() ? "" : ",";
                text += event.deleted
                            ? "{\"key\":\"" + event.key + "\",\"revision\":" + std::to_string(event.revision) + ",\"deleted\":true}"
                            : itemText(event.key, {event.value, event.revision, event.created});
            }
        }
        if (text.empty()) {
            return false;
        }
        answer(link, text);
        return true;
    }

    void answer(std::size_t link, const std::string &eventTexts)
    {
        const auto connection = links[link].watch->connection;
        links[link].watch.reset();
        respond(connection, link, 200, "{\"events\":[" + eventTexts + "],\"as-of\":" + std::to_string(revision) + "}");
    }

    void expire(std::size_t link, std::uint64_t number)
    {
        if (links[link].watch && links[link].watch->number == number) {
            answer(link, "");
        }
    }

    std::string itemText(const std::string &key, const Item &item) const
    {
        return "{\"key\":\"" + key + "\",\"value\":\"" + inBase64(item.value) + "\",\"revision\":" + std::to_string(item.revision)
               + ",\"create-rev\":" + std::to_string(item.created) + ",\"lease\":0,\"as-of\":" + std::to_string(revision) + "}";
    }

    std::string page(const std::string &prefix, const std::string &after) const
    {
        std::string text;
        std::size_t count = 0;
        bool more = false;
        for (const auto &[key, item] : items) {
            if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
                continue;
            }
            more = count == kPageItems;
            if (more) {
                break;
            }
            text += (count == 0 ? "" : ",") + itemText(key, item);
            ++count;
        }
        return "{\"items\":[" + text + "],\"has-more\":" + (more ? "true" : "false") + ",\"as-of\":" + std::to_string(revision) + "}";
    }

    void respond(int connection, std::size_t link, int status, const std::string &body)
    {
        const auto text = "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Not Found")
                          + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        const auto delay = links[link].delay;
        const auto send = [this, connection, text] {
            if (received.contains(connection)) {
                ::send(connection, text.data(), text.size(), MSG_NOSIGNAL);
            }
        };
        if (delay.count() == 0) {
            send();
        } else {
            loop.after(delay, send);
        }
    }

    void change(const Event &event)
    {
        events.push_back(event);
        for (std::size_t link = 0; link < links.size(); ++link) {
            if (links[link].watch) {
                answerIfNews(link);
            }
        }
    }

    Loop &loop;
    std::uint64_t revision = 1;
    std::uint64_t watches = 0;
    std::map<std::string, Item> items;
    std::vector<Event> events;
    std::vector<Link> links;
    std::map<int, std::string> received; ///< by connection
};

Store::Store(Loop &loop)
    : impl_(std::make_unique<Impl>(loop))
{
}

Store::~Store() = default;

Address Store::addLink()
{
    const auto ip = loopback(1);
    const Address address{ip, findFreePort({ip})};
    const auto link = impl_->links.size();
    impl_->links.emplace_back();
    const int listener = listenTcp(address);
    impl_->loop.onReadable(listener, [this, listener, link] { impl_->accept(listener, link); });
    return address;
}

void Store::setDelay(std::size_t link, Milliseconds delay)
{
    impl_->links[link].delay = delay;
}

void Store::put(const std::string &key, const std::string &value)
{
    auto &item = impl_->items[key];
    ++impl_->revision;
    item = {value, impl_->revision, item.created == 0 ? impl_->revision : item.created};
    impl_->change({key, value, item.revision, item.created, false});
}

void Store::remove(const std::string &key)
{
    impl_->items.erase(key);
    impl_->change({key, "", ++impl_->revision, 0, true});
}

std::optional<Time> Store::pendingWatchSince(std::size_t link) const
{
    const auto &watch = impl_->links[link].watch;
    return watch ? std::optional(watch->since) : std::nullopt;
}

std::size_t Store::calls(std::size_t link) const
{
    return impl_->links[link].calls;
}

} // namespace lab
