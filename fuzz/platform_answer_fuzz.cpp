// Any bytes may come from the platform's address. The first byte of the input chooses the key that was asked
// for, the rest is the answer as it came from the network.
#include "platform/http_source.h"
#include "platform/platform_value.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

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
    parser.body_limit(medlarway::kLongestValueBytes);
    boost::system::error_code error;
    parser.put(boost::asio::buffer(data + 1, size - 1), error);
    if (error || !parser.is_done()) {
        return 0;
    }
    const auto &answer = parser.get();
    const auto revision = answer["Revision"];
    const auto read = medlarway::interpretAnswer(kKeys.at(data[0] % kKeys.size()), kKnownRevision, answer.result_int(),
                                                 std::string_view(revision.data(), revision.size()), answer.body());
    const bool newer = read.kind == medlarway::AnswerKind::Newer;
    if (newer != read.update.has_value() || (newer && read.revision <= kKnownRevision)) {
        std::abort();
    }
    return 0;
}
