#pragma once

#include "client.h"
#include "endpoint.h"
#include "loop.h"
#include "record.h"
#include "store.h"

#include <memory>
#include <stdexcept>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review
{

/// Thrown when a case can't run; run.sh then exits with 2.
struct CannotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// An entry host: a process of the deploy file.
class Host
{
public:
    Host(std::string name, std::string zone, std::uint32_t ip)
        : name(std::move(name))
        , zone(std::move(zone))
        , ip(ip)
    {
    }

    std::string name;
    std::string zone;
    std::uint32_t ip;
    pid_t process = -1;
    bool inRotation = false;
    int misses = 0;
};

/// Addresses, the store, entry hosts and the routers before them, on loopback. The same ports on every host.
class Deployment
{
public:
    /// zones: one entry host for each. The record is written to the case's folder.
    Deployment(const std::string &folder, const std::vector<std::string> &zones);
    ~Deployment(); ///< ends all processes that were started
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    Loop loop;
    Record record;
    std::unique_ptr<Store> store;
    std::vector<Host> hosts;

    /// The value of a configuration: routes to services.
    static std::string configValue(std::uint64_t version, const std::vector<std::pair<Address, std::string>> &routes,
                                   const std::vector<std::string> &services, int timeoutMillis = 1500);

    /// Writes a configuration, as the operator does, and records the confirmation.
    void writeConfig(std::uint64_t version, const std::string &value);

    /// Starts an endpoint and writes its entry.
    std::unique_ptr<Endpoint> startEndpoint(const std::string &id, const std::string &service, const Address &address,
                                            const std::string &zone, std::int64_t born);

    /// A free address for an endpoint, with a port of its own.
    Address newEndpointAddress();

    void start(Host &host);
    void signal(Host &host, int number);

    /// Waits until every host is in rotation. Throws CannotRun.
    void awaitReady(Millis limit);

    std::unique_ptr<Client> newClient();

    /// The host that takes a client's packets: the first by the hash of the flow among those in rotation, else among all.
    Address hostOf(const Address &client, const Address &destination) const;

    /// An address of the platform with a port, for a route.
    static Address routeAddress(int number);

    std::uint16_t packetPort() const
    {
        return basePort_;
    }

    /// Whether the case runs with its disruption: TROUBLE is not 0.
    static bool trouble();

private:
    void choosePorts();
    void probeReady();
    void checkReady(std::size_t row);
    std::string settingsOf(const Host &host) const;
    void reap();

    std::string temporary_;
    std::uint32_t network_;
    std::uint16_t basePort_ = 0;
    int endpoints_ = 0;
    int clients_ = 0;
};

/// Runs a case: argv[1] is its folder. Returns the exit code: 0 the rule held, 1 it was broken, 2 the case couldn't run.
int runCase(int argumentCount, char **arguments, bool (*holds)(const std::string &folder));

} // namespace review
