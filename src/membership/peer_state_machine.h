#pragma once

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <cstdint>

namespace medlarway
{

/// The membership state of one peer.
enum class PeerState : std::uint8_t {
    Absent, ///< not a member: never seen, removed after a suspicion, or left
    Alive,
    Suspect,
    Leaving,
    LeavingSuspect,
};

/// Events of the state machine. The incarnation is the peer's incarnation that the update reports on.
struct AliveUpdate {
    std::uint64_t incarnation = 0;
};
struct LeavingUpdate {
    std::uint64_t incarnation = 0;
};
struct SuspectUpdate {
    std::uint64_t incarnation = 0;
};
struct LeftUpdate {
    std::uint64_t incarnation = 0;
};
struct SuspicionTimeout {
};

/// The state machine of one peer as a Boost.MSM front end. The back end's event queue and exception handling are
/// disabled: no action raises an event, and even an empty queue would take more memory per peer than the state itself.
struct PeerStateMachineDefinition : boost::msm::front::state_machine_def<PeerStateMachineDefinition> {
    using no_message_queue = int;
    using no_exception_thrown = int;

    std::uint64_t incarnation = 0; ///< highest incarnation of the peer received so far
    PeerState state = PeerState::Absent;

    /// A state that stores its enumerator in the machine on entry, so that other code can read it.
    template<PeerState kState>
    struct State : boost::msm::front::state<> {
        template<class Event, class Machine>
        void on_entry(const Event & /*event*/, Machine &machine) // NOLINT(readability-identifier-naming): the library's name
        {
            machine.state = kState;
        }
    };
    using Absent = State<PeerState::Absent>;
    using Alive = State<PeerState::Alive>;
    using Suspect = State<PeerState::Suspect>;
    using Leaving = State<PeerState::Leaving>;
    using LeavingSuspect = State<PeerState::LeavingSuspect>;
    using initial_state = Absent; // NOLINT(readability-identifier-naming): the library's name

    /// Only a higher incarnation refutes a suspicion or readmits a removed host.
    struct Newer {
        template<class Event, class Machine, class Source, class Target>
        bool operator()(const Event &event, const Machine &machine, const Source & /*source*/, const Target & /*target*/) const
        {
            return event.incarnation > machine.incarnation;
        }
    };
    /// An update about an earlier incarnation is obsolete.
    struct NotOlder {
        template<class Event, class Machine, class Source, class Target>
        bool operator()(const Event &event, const Machine &machine, const Source & /*source*/, const Target & /*target*/) const
        {
            return event.incarnation >= machine.incarnation;
        }
    };
    struct SetIncarnation {
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
        Row<Absent,         AliveUpdate,      Alive,          SetIncarnation, Newer>,
        Row<Absent,         LeavingUpdate,    Leaving,        SetIncarnation, Newer>,
        Row<Alive,          AliveUpdate,      Alive,          SetIncarnation, Newer>,
        Row<Alive,          LeavingUpdate,    Leaving,        SetIncarnation, Newer>,
        Row<Alive,          SuspectUpdate,    Suspect,        SetIncarnation, NotOlder>,
        Row<Alive,          LeftUpdate,       Absent,         SetIncarnation, NotOlder>,
        Row<Suspect,        AliveUpdate,      Alive,          SetIncarnation, Newer>,
        Row<Suspect,        LeavingUpdate,    Leaving,        SetIncarnation, Newer>,
        Row<Suspect,        LeftUpdate,       Absent,         SetIncarnation, NotOlder>,
        Row<Suspect,        SuspicionTimeout, Absent,         None,           None>,
        Row<Leaving,        AliveUpdate,      Alive,          SetIncarnation, Newer>,
        Row<Leaving,        LeavingUpdate,    Leaving,        SetIncarnation, Newer>,
        Row<Leaving,        SuspectUpdate,    LeavingSuspect, SetIncarnation, NotOlder>,
        Row<Leaving,        LeftUpdate,       Absent,         SetIncarnation, NotOlder>,
        Row<LeavingSuspect, AliveUpdate,      Alive,          SetIncarnation, Newer>,
        Row<LeavingSuspect, LeavingUpdate,    Leaving,        SetIncarnation, Newer>,
        Row<LeavingSuspect, LeftUpdate,       Absent,         SetIncarnation, NotOlder>,
        Row<LeavingSuspect, SuspicionTimeout, Absent,         None,           None>
    > {};
    // clang-format on

    /// An event without a transition is not an error: updates may arrive late or more than once.
    template<class Machine, class Event>
    void no_transition(const Event & /*event*/, Machine & /*machine*/, int /*state*/) // NOLINT(readability-identifier-naming)
    {
    }
};

/// The state machine of one peer.
using PeerStateMachine = boost::msm::back::state_machine<PeerStateMachineDefinition>;

/// Processes the event; returns true if a transition was taken.
template<class Event>
bool processEvent(PeerStateMachine &machine, const Event &event)
{
    return machine.process_event(event) == boost::msm::back::HANDLED_TRUE;
}

} // namespace medlarway
