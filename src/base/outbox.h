#pragma once

#include "base/host.h"

#include <vector>

namespace medlarway
{

/// A message that a decision core asks its caller to send.
template<class Message>
struct Outgoing {
    HostId to;
    Message message;
};

/// What a decision core wants sent, in order. The caller empties it.
template<class Message>
using Outbox = std::vector<Outgoing<Message>>;

} // namespace medlarway
