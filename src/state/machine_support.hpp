#ifndef TANAGERTRACK_STATE_MACHINE_SUPPORT_HPP
#define TANAGERTRACK_STATE_MACHINE_SUPPORT_HPP

// Included by the sources of the state machines only: MSM is expensive to
// compile.

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace tanagertrack::state::detail
{

namespace msm = boost::msm;
namespace mpl = boost::mpl;

template<typename Source, typename Event, typename Target,
         typename Action = msm::front::none, typename Guard = msm::front::none>
using transition = msm::front::Row<Source, Event, Target, Action, Guard>;

/// State whose entry sets the machine's `state` to `Id`.
template<auto Id>
struct state_of : msm::front::state<>
{
    template<typename Event, typename Machine>
    void on_entry(const Event&, Machine& machine)
    {
        machine.state = Id;
    }
};

/// Action that answers `Value` to the caller.
template<auto Value>
struct answer
{
    template<typename Event, typename Machine, typename Source, typename Target>
    void operator()(const Event&, Machine& machine, Source&, Target&) const
    {
        machine.action = Value;
    }
};

/// Base of the front ends: `State` and `Action` are enumerations whose
/// value-initialised element is the initial state and "nothing to do". An
/// event without a transition changes nothing.
template<typename Machine, typename State, typename Action>
struct machine_base : msm::front::state_machine_def<Machine>
{
    using no_exception_thrown = int;
    using no_message_queue = int;

    template<typename Event, typename Self>
    void no_transition(const Event&, Self&, int)
    {
    }

    State state{};
    Action action{};
};

/// Lets the machine process an event and returns its answer.
template<typename Machine, typename Event>
auto process(Machine& machine, const Event& event)
{
    machine.action = {};
    machine.process_event(event);
    return machine.action;
}

} // namespace tanagertrack::state::detail

#endif
