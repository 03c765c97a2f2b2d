#include "replication/packed_delta.h"

#include "base/errors.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <map>
#include <utility>

namespace medlarway
{

namespace
{

// Positions of values in a list without duplicates.
template<class T>
class DistinctValues
{
public:
    explicit DistinctValues(std::vector<T> &values)
        : values_(values)
    {
    }

    std::uint32_t indexOf(const T &value)
    {
        const auto [found, added] = indexes_.emplace(value, static_cast<std::uint32_t>(values_.size()));
        if (added) {
            values_.push_back(value);
        }
        return found->second;
    }

private:
    std::vector<T> &values_;
    std::map<T, std::uint32_t> indexes_;
};

// The numbers of the upstream before. Differences wrap around, so that any number can be told.
struct PrecedingNumbers {
    std::uint64_t number = 0;
    std::uint64_t address = 0;
    std::uint64_t start = 0;
    std::uint64_t revision = 0;
};

std::int64_t difference(std::uint64_t value, std::uint64_t &before)
{
    return static_cast<std::int64_t>(value - std::exchange(before, value));
}

std::uint64_t addDifference(std::int64_t difference, std::uint64_t &before)
{
    return before += static_cast<std::uint64_t>(difference);
}

std::string idOf(const std::string &prefix, std::uint8_t digits, std::uint64_t number)
{
    return digits == 0 ? prefix : fmt::format("{}{:0{}x}", prefix, number, digits);
}

// How many characters at the end of the id are the number; 0 if the number can't be found there.
std::uint8_t digitsOf(const UpstreamEntry &entry)
{
    constexpr std::size_t kMaxDigits = 16;
    const auto dash = entry.id.rfind('-');
    const auto digits = dash == std::string::npos ? entry.id.size() : entry.id.size() - dash - 1;
    if (digits == 0 || digits > kMaxDigits) {
        return 0;
    }
    const auto count = static_cast<std::uint8_t>(digits);
    return idOf(entry.id.substr(0, entry.id.size() - digits), count, entry.number) == entry.id ? count : 0;
}

[[noreturn]] void throwInvalid(const char *detail)
{
    throw Error(ErrorKind::PeerMalformed, detail);
}

void checkSizes(const PackedDelta &packed)
{
    const auto count = packed.shapeOf.size();
    if (count > kMaxPackedUpstreams || packed.numbers.size() != count || packed.addresses.size() != count || packed.starts.size() != count
        || packed.revisions.size() != count || !packed.rest.upstreams.empty()) {
        throwInvalid("the columns of the upstreams do not match");
    }
    for (const auto &text : packed.texts) {
        if (text.size() > kMaxPackedTextBytes) {
            throwInvalid("a text of the upstreams is too long");
        }
    }
}

template<class T>
const T &elementAt(const std::vector<T> &list, std::size_t index)
{
    if (index >= list.size()) {
        throwInvalid("an upstream refers to a value that is missing");
    }
    return list[index];
}

} // namespace

std::optional<PackedDelta> packDelta(const SteeringDelta &delta)
{
    if (delta.upstreams.size() > kMaxPackedUpstreams) {
        return std::nullopt;
    }
    PackedDelta packed;
    packed.rest = {delta.asOf, delta.full, delta.config, {}, delta.removed, delta.evacuations, delta.recentEnds};
    DistinctValues<std::string> texts(packed.texts);
    DistinctValues<UpstreamShape> shapes(packed.shapes);
    PrecedingNumbers before;
    for (const auto &entry : delta.upstreams) {
        if (std::max({entry.id.size(), entry.service.size(), entry.zone.name.size()}) > kMaxPackedTextBytes) {
            return std::nullopt;
        }
        const auto digits = digitsOf(entry);
        packed.shapeOf.push_back(shapes.indexOf({texts.indexOf(entry.id.substr(0, entry.id.size() - digits)), digits,
                                                 texts.indexOf(entry.service), texts.indexOf(entry.zone.name), entry.address.port,
                                                 entry.slots, entry.draining, entry.warmUpLeft, entry.revision.era}));
        packed.numbers.push_back(difference(entry.number, before.number));
        packed.addresses.push_back(difference(entry.address.address, before.address));
        packed.starts.push_back(difference(entry.startMs, before.start));
        packed.revisions.push_back(difference(entry.revision.number, before.revision));
    }
    return packed;
}

SteeringDelta unpackDelta(const PackedDelta &packed)
{
    checkSizes(packed);
    auto delta = packed.rest;
    delta.upstreams.reserve(packed.shapeOf.size());
    PrecedingNumbers before;
    for (std::size_t index = 0; index < packed.shapeOf.size(); ++index) {
        const auto &shape = elementAt(packed.shapes, packed.shapeOf[index]);
        UpstreamEntry entry;
        entry.number = addDifference(packed.numbers[index], before.number);
        const auto address = addDifference(packed.addresses[index], before.address);
        if (address > std::numeric_limits<std::uint32_t>::max() || shape.idDigits > 16) {
            throwInvalid("an address or id of an upstream is out of range");
        }
        entry.id = idOf(elementAt(packed.texts, shape.idPrefix), shape.idDigits, entry.number);
        entry.address = {static_cast<std::uint32_t>(address), shape.port};
        entry.service = elementAt(packed.texts, shape.service);
        entry.zone.name = elementAt(packed.texts, shape.zone);
        entry.slots = shape.slots;
        entry.draining = shape.draining;
        entry.warmUpLeft = shape.warmUpLeft;
        entry.startMs = addDifference(packed.starts[index], before.start);
        entry.revision = {shape.era, addDifference(packed.revisions[index], before.revision)};
        delta.upstreams.push_back(std::move(entry));
    }
    return delta;
}

} // namespace medlarway
