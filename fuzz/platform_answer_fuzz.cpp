// Parses arbitrary bytes as an HTTP response of the platform. The first byte of the input selects the request that was made
// and the key, the rest is the response as received from the network. An item that is read as newer must have this key, a value and a
// higher revision.
#include "platform/platform_value.h"
#include "platform/store_source.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

namespace http = boost::beast::http;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const std::array<std::string, 4> kKeys{"catalogue", "catalogue/one", "hosts/a", "other"};
    constexpr std::uint64_t kKnownRevision = 5;
    if (size == 0) {
        return 0;
    }
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    parser.body_limit(medlarway::kMaxValueBytes);
    boost::system::error_code error;
    parser.put(boost::asio::buffer(data + 1, size - 1), error);
    if (error || !parser.is_done()) {
        return 0;
    }
    const bool isSingleItem = (data[0] & 4U) != 0;
    const auto &body = parser.get().body();
    const auto response = isSingleItem ? medlarway::decodeStoreItem(body) : medlarway::decodeStoreResponse(body);
    const auto &key = kKeys.at(data[0] % kKeys.size());
    const auto *item = response ? medlarway::lastItemWithKey(*response, key) : nullptr;
    if (item == nullptr) {
        return 0;
    }
    const auto read = medlarway::parseItem(*item, kKnownRevision);
    const bool newer = read.status == medlarway::ItemStatus::Newer;
    if (item->key != key || newer != read.update.has_value() || (newer && read.revision <= kKnownRevision)) {
        std::abort();
    }
    return 0;
}
