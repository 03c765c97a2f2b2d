#pragma once

#include "base/endpoint.h"

#include <memory>
#include <string>
#include <vector>

namespace medlarway
{

/// Options of a stand-in upstream. Port 0 selects a free port.
struct StandinUpstreamOptions {
    std::string name = "upstream";
    Endpoint http{0x7f000001, 0};
    Endpoint stream{0x7f000001, 0};
    Endpoint datagram{0x7f000001, 0};
    /// Maximum number of concurrent HTTP requests; further ones get status 503 with Retry-After and do not run. 0: no limit.
    std::size_t slots = 0;
    bool printRequests = false; ///< print a line to standard output for each request that ran
};

/// An upstream for tests, bench programs and the quickstart. Runs on its own thread.
/// HTTP: responds with "NAME METHOD TARGET BODYBYTES", or with standinBody(N) to "?bytes=N"; "?delay=MS" delays the response.
/// Stream: sends "NAME\n", then echoes every byte. Datagram: echoes the payload, prefixed with "NAME: ".
class StandinUpstream
{
public:
    explicit StandinUpstream(StandinUpstreamOptions options = {});
    ~StandinUpstream(); ///< resets every connection, as a crash would
    StandinUpstream(const StandinUpstream &) = delete;
    StandinUpstream &operator=(const StandinUpstream &) = delete;

    Endpoint httpAddress() const;
    Endpoint streamAddress() const;
    Endpoint datagramAddress() const;

    /// "METHOD TARGET KEY" of every HTTP request that ran, in order; KEY is the value of Idempotency-Key, or empty.
    std::vector<std::string> requestsRun() const;

    /// Number of HTTP requests that were rejected because no slot was free.
    std::size_t requestsShed() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// The response body for "?bytes=N". Its content reveals truncated or reordered data.
std::string standinBody(std::size_t bytes);

} // namespace medlarway
