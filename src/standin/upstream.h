#pragma once

#include "base/endpoint.h"

#include <memory>
#include <string>
#include <vector>

namespace medlarway
{

/// Where a stand-in upstream listens; port 0 takes a free one.
struct StandinUpstreamOptions {
    std::string name = "upstream";
    Endpoint http{0x7f000001, 0};
    Endpoint stream{0x7f000001, 0};
    Endpoint datagram{0x7f000001, 0};
    std::size_t slots = 0; ///< HTTP requests that run at once; over it the answer is 503 with Retry-After, unrun; 0 sets no limit
    bool printRequests = false; ///< one line on standard output for each request that ran
};

/// An upstream for tests, bench programs and the quickstart, on a thread of its own.
/// HTTP: answers "NAME METHOD TARGET BODYBYTES"; "?delay=MS" waits first, "?bytes=N" answers standinBody(N).
/// Stream: sends "NAME\n", then every byte back. Datagram: sends "NAME: " and the payload back.
class StandinUpstream
{
public:
    explicit StandinUpstream(StandinUpstreamOptions options = {});
    ~StandinUpstream(); ///< like a crash: every connection is reset
    StandinUpstream(const StandinUpstream &) = delete;
    StandinUpstream &operator=(const StandinUpstream &) = delete;

    Endpoint httpAddress() const;
    Endpoint streamAddress() const;
    Endpoint datagramAddress() const;

    /// "METHOD TARGET KEY" of every HTTP request that ran, in order; KEY is its Idempotency-Key or empty.
    std::vector<std::string> requestsRun() const;

    /// How many HTTP requests found every slot taken.
    std::size_t requestsShed() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// The body that "?bytes=N" answers: tells a whole answer from a cut or mixed-up one.
std::string standinBody(std::size_t bytes);

} // namespace medlarway
