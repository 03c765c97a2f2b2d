#pragma once

#include "base/time.h"
#include "replication/message.h"

#include <chrono>
#include <cstddef>

namespace medlarway
{

/// How long a host that has started or resumed waits for another host's reply, which has the evacuations that ended of late. Clients give
/// up after 1.4 s, and their retransmissions reach other hosts.
inline constexpr Duration kMaxEndInquiry = std::chrono::seconds{1};

/// Interval of the requests until a reply comes.
inline constexpr Duration kEndInquiryRetry = std::chrono::milliseconds{100};

/// Number of hosts of its own zone that a host asks besides the seeds, which may have stopped.
inline constexpr std::size_t kEndInquiryZoneHosts = 2;

/// Whether a host asks others at once for the evacuations that ended of late. It may have missed begin and end of one while it did not run,
/// or before it read all data of the platform anew, and the platform does not tell of it.
class EndInquiry
{
public:
    /// Records that this host started. It asks others in any case.
    void onStart(Time now)
    {
        unknownUntil_ = now + kMaxEndInquiry;
    }

    /// Records that this host was paused until now.
    void onResume(Time now)
    {
        onStart(now);
        onReadAnew(now);
    }

    /// Records that this host, which was running, read all data anew.
    void onReadAnew(Time now)
    {
        openUntil_ = now + kMaxEndInquiry;
    }

    /// Records a reply of another host, unless that one has started or resumed too: hosts of a zone may have been paused together.
    void onReply(const FeedReply &reply)
    {
        if (reply.confirmedAgo) {
            *this = {};
        }
    }

    /// Whether requests are to be repeated until a reply comes.
    bool isOpen(Time now) const
    {
        return now < openUntil_;
    }

    /// Until when no upstream may be used that may be warming up; Time{} if that does not depend on a reply.
    Time unknownUntil() const
    {
        return unknownUntil_;
    }

private:
    Time openUntil_;
    Time unknownUntil_;
};

} // namespace medlarway
