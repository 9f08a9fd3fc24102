#include "state/connection_machine.hpp"

#include "state/machine_support.hpp"

namespace tanagertrack::state
{

namespace
{

using detail::answer;
using detail::state_of;
using detail::transition;

struct connect_event
{
};

struct opened_event
{
};

struct lost_event
{
};

struct leave_event
{
    bool idle = false;
};

struct idle_event
{
};

struct is_idle
{
    template<typename Machine, typename Source, typename Target>
    bool operator()(const leave_event& event, Machine&, Source&, Target&) const
    {
        return event.idle;
    }
};

struct is_busy
{
    template<typename Machine, typename Source, typename Target>
    bool operator()(const leave_event& event, Machine&, Source&, Target&) const
    {
        return !event.idle;
    }
};

struct connection_front
    : detail::machine_base<connection_front, connection_state,
                           connection_action>
{
    using down = state_of<connection_state::down>;
    using connecting = state_of<connection_state::connecting>;
    using up = state_of<connection_state::up>;
    using draining = state_of<connection_state::draining>;
    using initial_state = down;

    using open_a = answer<connection_action::open>;
    using use_a = answer<connection_action::use>;
    using wait_a = answer<connection_action::wait>;
    using fail_wait_a = answer<connection_action::fail_attempts_and_wait>;
    using fail_a = answer<connection_action::fail_attempts>;
    using stop_a = answer<connection_action::stop_new_work>;
    using close_a = answer<connection_action::close>;

    // clang-format off
    using transition_table = detail::mpl::vector<
        transition<down,       connect_event, connecting, open_a>,
        transition<connecting, opened_event,  up,         use_a>,
        transition<connecting, lost_event,    down,       wait_a>,
        transition<connecting, leave_event,   down,       close_a>,
        transition<up,         lost_event,    down,       fail_wait_a>,
        transition<up,         leave_event,   down,       close_a, is_idle>,
        transition<up,         leave_event,   draining,   stop_a, is_busy>,
        transition<draining,   connect_event, up,         use_a>,
        transition<draining,   idle_event,    down,       close_a>,
        transition<draining,   lost_event,    down,       fail_a>>;
    // clang-format on
};

} // namespace

struct connection_machine::impl
{
    detail::msm::back::state_machine<connection_front> machine;
    bool wanted = false;
};

connection_machine::connection_machine() : impl_(std::make_unique<impl>())
{
    impl_->machine.start();
}

connection_machine::~connection_machine() = default;
connection_machine::connection_machine(connection_machine&&) noexcept = default;
connection_machine&
connection_machine::operator=(connection_machine&&) noexcept = default;

connection_state connection_machine::state() const
{
    return impl_->machine.state;
}

bool connection_machine::usable() const
{
    return state() == connection_state::up;
}

connection_action connection_machine::want()
{
    impl_->wanted = true;
    return detail::process(impl_->machine, connect_event{});
}

connection_action connection_machine::opened()
{
    return detail::process(impl_->machine, opened_event{});
}

connection_action connection_machine::lost()
{
    return detail::process(impl_->machine, lost_event{});
}

connection_action connection_machine::retry()
{
    // The target may have left during the delay.
    if (!impl_->wanted)
        return connection_action::nothing;
    return detail::process(impl_->machine, connect_event{});
}

connection_action connection_machine::leave(bool idle)
{
    impl_->wanted = false;
    return detail::process(impl_->machine, leave_event{idle});
}

connection_action connection_machine::became_idle()
{
    return detail::process(impl_->machine, idle_event{});
}

} // namespace tanagertrack::state
