#pragma once

#include "loop.h"
#include "record.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review
{

/// The platform's store: items with revisions, pages and watches over HTTP/1.1, 20 s of history.
class Store
{
public:
    Store(Loop &loop, Record &record, const Address &listen);
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    const Address &address() const
    {
        return address_;
    }

    /// Writes an item and returns its revision. The moment of the return is the store's confirmation.
    std::uint64_t put(const std::string &key, const std::string &value);
    std::uint64_t remove(const std::string &key);

private:
    struct Change {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        bool deleted = false;
        Time madeAt;
        std::string text; ///< as an item or event in a response
    };

    struct Connection {
        int descriptor = -1;
        std::string input;
        std::string output;
        std::size_t written = 0; ///< bytes of the output that were sent
        bool watching = false;
        std::string prefix;
        std::uint64_t after = 0;
        Time until;
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    void accept();
    void onReady(const ConnectionPointer &connection, short events);
    void handleInput(const ConnectionPointer &connection);
    void handleRequest(const ConnectionPointer &connection, const std::string &target);
    void respond(const ConnectionPointer &connection, int status, const std::string &body);
    void write(const ConnectionPointer &connection);
    void answerWatch(const ConnectionPointer &connection, bool waitIsOver);
    void answerWatches();
    void close(const ConnectionPointer &connection);
    void record(Change change);

    Loop &loop_;
    Record &record_;
    Address address_;
    int listener_ = -1;
    std::uint64_t revision_ = 1;
    std::uint64_t historyStart_ = 1;
    std::map<std::string, Change> items_;
    std::deque<Change> history_;
    std::map<int, ConnectionPointer> connections_;
};

} // namespace review
