#pragma once

#include "http.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace standin
{

/// The platform's store, as far as a host reads it: pages of items, and watches that wait for changes.
class Store
{
public:
    Store(Loop &loop, const Address &address, std::uint64_t firstRevision);

    bool isOpen() const
    {
        return server_.isOpen();
    }

    void put(const std::string &key, const std::string &value);

private:
    struct Watch {
        std::shared_ptr<HttpConnection> connection;
        std::string prefix;
        std::uint64_t after = 0;
        bool answered = false;
    };

    void serve(const std::string &target, const std::shared_ptr<HttpConnection> &connection);
    std::string page(const std::string &prefix, const std::string &after) const;
    std::string events(const std::string &prefix, std::uint64_t after) const;
    void answer(Watch &watch);

    Loop &loop_;
    std::uint64_t revision_;
    std::map<std::string, std::string> items_; ///< each as JSON, by key
    std::map<std::uint64_t, std::pair<std::string, std::string>> history_; ///< key and item as JSON, by revision
    std::vector<std::shared_ptr<Watch>> watches_;
    HttpServer server_;
};

/// An endpoint as its entry tells.
struct Registration {
    std::string id;
    std::string service;
    Address address;
    std::string zone;
};

std::string entryOf(const Registration &registration);

/// A route to a service.
struct RouteEntry {
    Address address;
    std::string service;
};

std::string configOf(std::uint64_t version, const std::vector<RouteEntry> &routes);

} // namespace standin
