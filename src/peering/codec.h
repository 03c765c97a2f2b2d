#pragma once

#include "base/endpoint.h"
#include "base/errors.h"
#include "base/host.h"
#include "base/time.h"
#include "peering/message_limit.h"

#include <boost/pfr.hpp>
#include <concepts>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace medlarway
{

/// Maximum nesting depth of an encoded message; all message types are far below it.
inline constexpr int kMaxMessageDepth = 16;

/// Parses CBOR of limited size and nesting. Throws Error(PeerMalformed) or Error(PeerOversized).
nlohmann::json parseBoundedCbor(std::string_view bytes, std::size_t maxBytes = kMaxMessageBytes);

/// Serialises a value as CBOR.
std::string writeCbor(const nlohmann::json &value);

/// An enumeration that messages may contain: an overload of highestOf, found by argument-dependent lookup, returns its
/// highest enumerator. It is declared next to the enumeration or in the header that lists the messages.
template<class T>
concept BoundedEnum = std::is_enum_v<T> && requires(T value)
{
    {
        highestOf(value)
        } -> std::same_as<T>;
};

namespace codec
{

template<class T>
struct IsVector : std::false_type {
};
template<class T>
struct IsVector<std::vector<T>> : std::true_type {
};
template<class T>
struct IsOptional : std::false_type {
};
template<class T>
struct IsOptional<std::optional<T>> : std::true_type {
};

[[noreturn]] void throwMalformed(const char *detail);

template<class T>
T readInteger(const nlohmann::json &value)
{
    if (value.is_number_unsigned()) {
        const auto number = value.get<std::uint64_t>();
        if (std::in_range<T>(number)) {
            return static_cast<T>(number);
        }
    } else if (value.is_number_integer()) {
        const auto number = value.get<std::int64_t>();
        if (std::in_range<T>(number)) {
            return static_cast<T>(number);
        }
    }
    throwMalformed("expected an integer within the range of its field");
}

constexpr std::uint64_t kMaxEndpoint = (1ULL << 48U) - 1;

} // namespace codec

/// Converts a message field into a CBOR value: an aggregate becomes an array of its fields in their order.
template<class T>
nlohmann::json toCborValue(const T &value)
{
    if constexpr (std::is_same_v<T, bool> || std::is_floating_point_v<T> || std::is_same_v<T, std::string> || std::integral<T>) {
        return value;
    } else if constexpr (std::is_enum_v<T>) {
        return static_cast<std::uint64_t>(value);
    } else if constexpr (std::is_same_v<T, HostId>) {
        return value.value;
    } else if constexpr (std::is_same_v<T, Endpoint>) {
        return hostIdOf(value).value;
    } else if constexpr (std::is_same_v<T, Duration>) {
        return value.count();
    } else if constexpr (codec::IsOptional<T>::value) {
        return value ? toCborValue(*value) : nlohmann::json(nullptr);
    } else if constexpr (codec::IsVector<T>::value) {
        auto result = nlohmann::json::array();
        for (const auto &element : value) {
            result.push_back(toCborValue(element));
        }
        return result;
    } else {
        auto result = nlohmann::json::array();
        boost::pfr::for_each_field(value, [&result](const auto &member) { result.push_back(toCborValue(member)); });
        return result;
    }
}

/// The inverse of toCborValue. Fields missing at the end of an older sender's message keep their defaults, extra
/// fields at the end of a newer sender's message are ignored. Throws Error(PeerMalformed).
template<class T>
T fromCborValue(const nlohmann::json &value)
{
    if constexpr (std::is_same_v<T, bool>) {
        if (!value.is_boolean()) {
            codec::throwMalformed("expected a boolean");
        }
        return value.template get<bool>();
    } else if constexpr (std::is_floating_point_v<T>) {
        if (!value.is_number()) {
            codec::throwMalformed("expected a number");
        }
        return value.template get<T>();
    } else if constexpr (std::is_same_v<T, std::string>) {
        if (!value.is_string()) {
            codec::throwMalformed("expected a string");
        }
        return value.template get<std::string>();
    } else if constexpr (std::integral<T>) {
        return codec::readInteger<T>(value);
    } else if constexpr (std::is_enum_v<T>) {
        static_assert(BoundedEnum<T>, "an enumeration in a message needs highestOf");
        const auto number = codec::readInteger<std::underlying_type_t<T>>(value);
        if (number < 0 || number > static_cast<std::underlying_type_t<T>>(highestOf(T{}))) {
            codec::throwMalformed("an enumeration is out of range");
        }
        return static_cast<T>(number);
    } else if constexpr (std::is_same_v<T, HostId> || std::is_same_v<T, Endpoint>) {
        const auto number = codec::readInteger<std::uint64_t>(value);
        if (number > codec::kMaxEndpoint) {
            codec::throwMalformed("an endpoint is out of range");
        }
        if constexpr (std::is_same_v<T, HostId>) {
            return HostId{number};
        } else {
            return endpointOf(HostId{number});
        }
    } else if constexpr (std::is_same_v<T, Duration>) {
        return Duration{codec::readInteger<Duration::rep>(value)};
    } else if constexpr (codec::IsOptional<T>::value) {
        if (value.is_null()) {
            return std::nullopt;
        }
        return fromCborValue<typename T::value_type>(value);
    } else if constexpr (codec::IsVector<T>::value) {
        if (!value.is_array()) {
            codec::throwMalformed("expected a list");
        }
        T result;
        result.reserve(value.size());
        for (const auto &element : value) {
            result.push_back(fromCborValue<typename T::value_type>(element));
        }
        return result;
    } else {
        if (!value.is_array()) {
            codec::throwMalformed("expected a record");
        }
        T result{};
        std::size_t index = 0;
        boost::pfr::for_each_field(result, [&value, &index](auto &member) {
            if (index < value.size()) {
                member = fromCborValue<std::remove_reference_t<decltype(member)>>(value[index]);
            }
            ++index;
        });
        return result;
    }
}

/// Encodes an aggregate as a CBOR array.
template<class T>
std::string encodeMessage(const T &message)
{
    return writeCbor(toCborValue(message));
}

/// Decodes the output of encodeMessage. Throws Error(PeerMalformed) or Error(PeerOversized).
template<class T>
T decodeMessage(std::string_view bytes, std::size_t maxBytes = kMaxMessageBytes)
{
    return fromCborValue<T>(parseBoundedCbor(bytes, maxBytes));
}

} // namespace medlarway
