#pragma once

#include "http.h"
#include "network.h"

#include <functional>
#include <string>
#include <vector>

namespace standin
{

/// A host as the platform's routers see it.
struct RoutedHost {
    Address packets;
    Address ready;
    Span phase{}; ///< of its probes, which come twice a second
    int misses = 2;

    bool isInRotation() const
    {
        return misses < 2;
    }
};

/// The platform's routers in front of the hosts of one zone: a steady hash over the hosts in rotation, as PROTOCOL.md says under Ingress.
class Router
{
public:
    using Note = std::function<void(const std::string &)>;

    Router(Loop &loop, std::vector<RoutedHost> hosts, Time start, Note note);

    /// Where a packet of the flow goes now.
    const Address &hostOf(const FlowId &flow) const;

    std::size_t countInRotation() const;

private:
    void probe(std::size_t index, Time due);

    Loop &loop_;
    std::vector<RoutedHost> hosts_;
    Note note_;
};

} // namespace standin
