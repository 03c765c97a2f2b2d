#pragma once

#include "balance/dispatcher.h"
#include "balance/upstream_table.h"

#include <vector>

namespace medlarway
{

/// Exchanges with peers how many requests each host runs at each upstream, for Strategy::Gossip.
class LoadGossip
{
public:
    /// Sets the hosts to publish to and drops the loads of hosts no longer in view.
    void setView(UpstreamTable &table, const View &view, HostId self);

    /// Sends the counts that changed since they were last published, at a limited rate.
    void publish(UpstreamTable &table, Time now, Outbox<SlotMessage> &outbox);

    /// Handles a peer's LoadReport.
    static void receive(UpstreamTable &table, HostId from, const SlotMessage &message);

private:
    std::vector<HostId> peers_;
    Time nextPublishAt_;
};

} // namespace medlarway
