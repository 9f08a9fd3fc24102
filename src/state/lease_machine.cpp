#include "state/lease_machine.hpp"

#include "state/machine_support.hpp"

#include <boost/assert.hpp>

#include <algorithm>

namespace tanagertrack::state
{

namespace
{

using detail::answer;
using detail::state_of;
using detail::transition;

struct claim_event
{
};

struct claim_valid_event
{
};

struct claim_void_event
{
};

struct beat_event
{
    common::time_point now;
};

struct tick_event
{
    common::time_point now;
};

struct replaced_event
{
};

struct release_event
{
};

struct released_event
{
};

struct dropped_event
{
};

/// Guard: the lease runs at the event's time.
struct lease_runs
{
    template<typename Event, typename Machine, typename Source, typename Target>
    bool operator()(const Event& event, Machine& machine, Source&,
                    Target&) const
    {
        return machine.runs(event.now);
    }
};

/// Guard: the lease has run out at the event's time.
struct lease_ended
{
    template<typename Event, typename Machine, typename Source, typename Target>
    bool operator()(const Event& event, Machine& machine, Source&,
                    Target&) const
    {
        return !machine.runs(event.now);
    }
};

struct lease_front
    : detail::machine_base<lease_front, lease_state, lease_action>
{
    using none = state_of<lease_state::none>;
    using claiming = state_of<lease_state::claiming>;
    using held = state_of<lease_state::held>;
    using suspended = state_of<lease_state::suspended>;
    using releasing = state_of<lease_state::releasing>;
    using lost = state_of<lease_state::lost>;
    using initial_state = none;

    using claim_a = answer<lease_action::append_claim>;
    using start_a = answer<lease_action::start_dispatch>;
    using stop_a = answer<lease_action::stop_dispatch>;
    using release_a = answer<lease_action::stop_and_release>;
    using drop_a = answer<lease_action::drop>;

    // clang-format off
    using transition_table = detail::mpl::vector<
        transition<none,      claim_event,       claiming,  claim_a>,
        transition<claiming,  claim_valid_event, held,      start_a>,
        transition<claiming,  claim_void_event,  none>,
        transition<held,      tick_event,        suspended, stop_a, lease_ended>,
        transition<held,      replaced_event,    lost,      drop_a>,
        transition<held,      release_event,     releasing, release_a>,
        transition<suspended, beat_event,        held,      start_a, lease_runs>,
        transition<suspended, replaced_event,    lost,      drop_a>,
        transition<suspended, release_event,     releasing, release_a>,
        transition<releasing, released_event,    lost,      drop_a>,
        transition<releasing, replaced_event,    lost,      drop_a>,
        transition<lost,      dropped_event,     none>>;
    // clang-format on

    bool runs(common::time_point now) const
    {
        return now - renewed_at < lease_duration;
    }

    common::duration lease_duration{};
    common::time_point renewed_at;
};

} // namespace

struct lease_machine::impl
{
    detail::msm::back::state_machine<lease_front> machine;
};

lease_machine::lease_machine(common::duration lease_duration)
    : impl_(std::make_unique<impl>())
{
    BOOST_ASSERT(lease_duration > common::duration::zero());
    impl_->machine.lease_duration = lease_duration;
    impl_->machine.start();
}

lease_machine::~lease_machine() = default;
lease_machine::lease_machine(lease_machine&&) noexcept = default;
lease_machine& lease_machine::operator=(lease_machine&&) noexcept = default;

lease_state lease_machine::state() const
{
    return impl_->machine.state;
}

bool lease_machine::may_dispatch(common::time_point now) const
{
    return state() == lease_state::held && impl_->machine.runs(now);
}

lease_action lease_machine::claim()
{
    return detail::process(impl_->machine, claim_event{});
}

lease_action lease_machine::claim_read(bool valid,
                                       common::time_point appended_at)
{
    if (!valid)
        return detail::process(impl_->machine, claim_void_event{});
    impl_->machine.renewed_at = appended_at;
    return detail::process(impl_->machine, claim_valid_event{});
}

lease_action lease_machine::heartbeat_read(common::time_point appended_at,
                                           common::time_point now)
{
    auto& machine = impl_->machine;
    machine.renewed_at = std::max(machine.renewed_at, appended_at);
    return detail::process(machine, beat_event{now});
}

lease_action lease_machine::tick(common::time_point now)
{
    return detail::process(impl_->machine, tick_event{now});
}

lease_action lease_machine::replaced()
{
    return detail::process(impl_->machine, replaced_event{});
}

lease_action lease_machine::release()
{
    return detail::process(impl_->machine, release_event{});
}

lease_action lease_machine::release_read()
{
    return detail::process(impl_->machine, released_event{});
}

lease_action lease_machine::dropped()
{
    return detail::process(impl_->machine, dropped_event{});
}

} // namespace tanagertrack::state
