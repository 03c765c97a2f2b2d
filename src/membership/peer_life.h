#pragma once

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <cstdint>

namespace medlarway
{

/// Where a peer stands in its life as a member.
enum class PeerPhase : std::uint8_t {
    Absent, ///< not a member: never heard, removed or left
    Alive,
    Suspect,
    Leaving,
    LeavingSuspect,
};

/// Events of a peer's life. The incarnation is the one that the claim is about.
struct PeerAnnounced {
    std::uint64_t incarnation = 0;
};
struct PeerAnnouncedLeaving {
    std::uint64_t incarnation = 0;
};
struct PeerAccused {
    std::uint64_t incarnation = 0;
};
struct PeerDeparted {
    std::uint64_t incarnation = 0;
};
struct PeerExpired {
};

/// The life of one peer as a Boost.MSM front end. Queues and exception handling of the back end are
/// switched off: no action raises an event, and an empty queue would cost each peer more than its state does.
struct PeerLifeDefinition : boost::msm::front::state_machine_def<PeerLifeDefinition> {
    using no_message_queue = int;
    using no_exception_thrown = int;

    std::uint64_t incarnation = 0; ///< the highest that was heard of
    PeerPhase phase = PeerPhase::Absent;

    /// A state that writes its phase where the rest of the library can read it.
    template<PeerPhase kPhase>
    struct Phase : boost::msm::front::state<> {
        template<class Event, class Machine>
        void on_entry(const Event & /*event*/, Machine &machine) // NOLINT(readability-identifier-naming): the library's name
        {
            machine.phase = kPhase;
        }
    };
    using Absent = Phase<PeerPhase::Absent>;
    using Alive = Phase<PeerPhase::Alive>;
    using Suspect = Phase<PeerPhase::Suspect>;
    using Leaving = Phase<PeerPhase::Leaving>;
    using LeavingSuspect = Phase<PeerPhase::LeavingSuspect>;
    using initial_state = Absent; // NOLINT(readability-identifier-naming): the library's name

    /// Only a higher incarnation refutes a suspicion or brings a removed host back.
    struct Newer {
        template<class Event, class Machine, class Source, class Target>
        bool operator()(const Event &event, const Machine &machine, const Source & /*source*/, const Target & /*target*/) const
        {
            return event.incarnation > machine.incarnation;
        }
    };
    /// A claim about an earlier incarnation says nothing of the present one.
    struct NotOlder {
        template<class Event, class Machine, class Source, class Target>
        bool operator()(const Event &event, const Machine &machine, const Source & /*source*/, const Target & /*target*/) const
        {
            return event.incarnation >= machine.incarnation;
        }
    };
    struct Store {
        template<class Event, class Machine, class Source, class Target>
        void operator()(const Event &event, Machine &machine, const Source & /*source*/, const Target & /*target*/) const
        {
            machine.incarnation = event.incarnation;
        }
    };

    template<class Source, class Event, class Target, class Action, class Guard>
    using Row = boost::msm::front::Row<Source, Event, Target, Action, Guard>;
    using None = boost::msm::front::none;

    // clang-format off
    struct transition_table : boost::mpl::vector< // NOLINT(readability-identifier-naming): the library's name
        Row<Absent,         PeerAnnounced,        Alive,          Store, Newer>,
        Row<Absent,         PeerAnnouncedLeaving, Leaving,        Store, Newer>,
        Row<Alive,          PeerAnnounced,        Alive,          Store, Newer>,
        Row<Alive,          PeerAnnouncedLeaving, Leaving,        Store, Newer>,
        Row<Alive,          PeerAccused,          Suspect,        Store, NotOlder>,
        Row<Alive,          PeerDeparted,         Absent,         Store, NotOlder>,
        Row<Suspect,        PeerAnnounced,        Alive,          Store, Newer>,
        Row<Suspect,        PeerAnnouncedLeaving, Leaving,        Store, Newer>,
        Row<Suspect,        PeerDeparted,         Absent,         Store, NotOlder>,
        Row<Suspect,        PeerExpired,          Absent,         None,  None>,
        Row<Leaving,        PeerAnnounced,        Alive,          Store, Newer>,
        Row<Leaving,        PeerAnnouncedLeaving, Leaving,        Store, Newer>,
        Row<Leaving,        PeerAccused,          LeavingSuspect, Store, NotOlder>,
        Row<Leaving,        PeerDeparted,         Absent,         Store, NotOlder>,
        Row<LeavingSuspect, PeerAnnounced,        Alive,          Store, Newer>,
        Row<LeavingSuspect, PeerAnnouncedLeaving, Leaving,        Store, Newer>,
        Row<LeavingSuspect, PeerDeparted,         Absent,         Store, NotOlder>,
        Row<LeavingSuspect, PeerExpired,          Absent,         None,  None>
    > {};
    // clang-format on

    /// An event that means nothing in a phase is no fault: claims arrive late and repeated.
    template<class Machine, class Event>
    void no_transition(const Event & /*event*/, Machine & /*machine*/, int /*state*/) // NOLINT(readability-identifier-naming)
    {
    }
};

/// The machine of one peer.
using PeerLife = boost::msm::back::state_machine<PeerLifeDefinition>;

/// Hands the event to the machine; true where it changed anything.
template<class Event>
bool happened(PeerLife &life, const Event &event)
{
    return life.process_event(event) == boost::msm::back::HANDLED_TRUE;
}

} // namespace medlarway
