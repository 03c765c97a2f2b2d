#pragma once

#include "balance/dispatcher.h"
#include "balance/upstream_table.h"

#include <vector>

namespace medlarway
{

/// Tells peers how many requests this host runs at each upstream, and sums what they tell.
class PeerCounts
{
public:
    void setView(UpstreamTable &table, const View &view, HostId self);

    /// Sends what changed since the last time, at a bounded rate.
    void publish(UpstreamTable &table, Time now, Outbox<SlotMessage> &outbox);

    /// Takes a peer's Count.
    static void receive(UpstreamTable &table, HostId from, const SlotMessage &message);

private:
    std::vector<HostId> peers_;
    Time publishAgain_;
};

} // namespace medlarway
