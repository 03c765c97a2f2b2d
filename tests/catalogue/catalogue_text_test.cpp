#include "catalogue/catalogue_check.h"
#include "catalogue/catalogue_text.h"
#include "yaml/text_file.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace medlarway;
using namespace std::chrono_literals;

namespace
{

std::string entry(const std::string &name, const std::string &owner, const std::string &address, const std::string &more = {})
{
    return fmt::format(
        "- {{name: {}, owner: {}, class: idempotent, kind: http, address: {}, upstreams: [{{address: 10.0.0.1:80, zone: a}}]{}}}\n", name,
        owner, address, more);
}

std::string faultsOf(const std::string &entries)
{
    return faultsToString(parseCatalogue("services:\n" + entries).faults);
}

} // namespace

TEST_CASE("a catalogue")
{
    SUBCASE("is parsed completely from the example file")
    {
        const auto parsed = parseCatalogue(readTextFile("etc/catalogue.yaml", 1U << 20U).value());
        CHECK(faultsToString(parsed.faults).empty());
        REQUIRE(parsed.value);
        REQUIRE(parsed.value->size() == 3);
        const auto &registry = parsed.value->front();
        CHECK(registry.serviceClass == ServiceClass::Protected);
        CHECK(registry.limits.requestBytes == 64ULL << 20U);
        CHECK(registry.upstreams.at(2).draining);
        CHECK(parsed.value->at(2).limits.idleTimeout == Duration{2min});
    }
    SUBCASE("without services is valid")
    {
        const auto parsed = parseCatalogue("services: []\n");
        REQUIRE(parsed.value);
        CHECK(parsed.value->empty());
    }
    SUBCASE("is rejected with all errors, of syntax and of validation")
    {
        const auto faults = faultsOf(entry("one", "x", "0.0.0.0:80") + entry("one", "x", "0.0.0.0:81") + entry("two", "x", "nowhere")
                                     + entry("Three", "x", "0.0.0.0:82", ", colour: red")
                                     + entry("four", "x", "0.0.0.0:83", ", limits: {slots-per-upstream: 0}"));
        CHECK(faults
              == "3:3: service 'one': the name is taken already at 2:3\n"
                 "4:65: service: 'address' must be an IPv4 address and a port from 1 to 65535, like 10.0.0.1:8080\n"
                 "5:125: service: key 'colour' is not known\n"
                 "6:153: limits: 'slots-per-upstream' must be a whole number from 1 to 10000");
    }
}

TEST_CASE("the services of a catalogue")
{
    SUBCASE("is rejected if it is nested too deeply, at any depth")
    {
        for (const auto *level : {"[", "{a: ", "- ", "? "}) {
            for (const std::size_t depth : {1'000, 100'000}) {
                CAPTURE(level);
                CAPTURE(depth);
                std::string nested;
                for (std::size_t count = 0; count < depth; ++count) {
                    nested += level;
                }
                CHECK_FALSE(parseCatalogue(nested).faults.empty());
                CHECK_FALSE(parseCatalogue("services: " + nested).faults.empty());
            }
        }
    }
    SUBCASE("may not share an address")
    {
        CHECK(faultsOf(entry("one", "x", "0.0.0.0:80") + entry("two", "x", "10.1.1.1:80"))
              == "3:3: service 'two': address 10.1.1.1:80 is taken by 'one'");
        CHECK(faultsOf(entry("one", "x", "10.1.1.2:80") + entry("two", "x", "10.1.1.1:80")).empty());
    }
    SUBCASE("may not have two owners for one address or one upstream")
    {
        CHECK(faultsOf(entry("one", "x", "0.0.0.0:80") + entry("two", "y", "0.0.0.0:80"))
              == "3:3: service 'two': address 0.0.0.0:80 belongs to 'one' of another owner, 'x'\n"
                 "3:89: service 'two': upstream 10.0.0.1:80 serves 'one' of another owner, 'x'");
    }
    SUBCASE("may not be an upstream of a service")
    {
        CHECK(faultsOf(entry("one", "x", "10.0.0.1:80")) == "2:90: service 'one': upstream 10.0.0.1:80 is the address of service 'one'");
    }
    SUBCASE("must have consistent limits")
    {
        const auto limits = [](const std::string &text) { return faultsOf(entry("one", "x", "0.0.0.0:80", ", limits: {" + text + "}")); };
        CHECK(limits("default-deadline: 10m") == "2:3: service 'one': 'default-deadline' is above 'longest-deadline'");
        CHECK(limits("connections-per-upstream: 1") == "2:3: service 'one': 'connections-per-upstream' is below 'slots-per-upstream'");
        CHECK(limits("short-bound: 20m") == "2:3: service 'one': 'short-bound' is above 'longest-deadline'");
    }
    SUBCASE("of two shards are checked together")
    {
        Service service;
        service.name = "one";
        service.owner = "x";
        service.address = {0, 80};
        service.upstreams = {{{0x0a000001, 80}, {"a"}, false}};
        const Catalogue catalogue{{{"first", 1, {service}}, {"second", 1, {service}}}};
        CHECK(faultsToString(checkCatalogue(catalogue))
              == "service 'one': the name is taken twice\nservice 'one': address 0.0.0.0:80 is taken by 'one'");
    }
    SUBCASE("can't be protected if they use datagrams")
    {
        const auto text = "- {name: a, owner: x, class: protected, kind: datagram, address: 0.0.0.0:80, upstreams: []}\n";
        CHECK(faultsOf(text) == "2:3: service 'a': a datagram service can't be protected\n2:3: service 'a': has no upstream");
    }
}

TEST_CASE("a text that repeats one list through YAML aliases is rejected")
{
    std::string text = "services:\n- &s {name: a, owner: x, class: feed, kind: http, address: 0.0.0.0:80, upstreams: [";
    for (int index = 0; index < 1000; ++index) {
        text += fmt::format("{{address: 10.0.{}.{}:80, zone: a}},", index / 200, index % 200);
    }
    text += "]}\n";
    for (int index = 0; index < 9000; ++index) {
        text += "- *s\n";
    }
    const auto parsed = parseCatalogue(text);
    CHECK_FALSE(parsed.value);
}
