#include "entry/lifecycle.hpp"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>
#include <utility>

namespace tanagertrack::entry
{

namespace
{

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

// Events.

struct configuration_known
{
};

struct targets_known
{
};

struct stop_asked
{
};

struct callers_gone
{
};

struct idle
{
};

struct grace_over
{
};

void call(const std::function<void()>& hook)
{
    if (hook)
        hook();
}

/// Table of the machine.
struct lifecycle_def : msm::front::state_machine_def<lifecycle_def>
{
    struct starting : msm::front::state<>
    {
    };

    struct serving : msm::front::state<>
    {
    };

    struct draining : msm::front::state<>
    {
    };

    struct closing : msm::front::state<>
    {
    };

    struct stopped : msm::front::state<>
    {
    };

    using initial_state = starting;

    // Guards and actions.

    struct other_is_known
    {
        template<typename Event, typename Machine, typename Source,
                 typename Target>
        bool operator()(const Event&, Machine& it, Source&, Target&)
        {
            return it.one_is_known;
        }
    };

    struct remember_one
    {
        template<typename Event, typename Machine, typename Source,
                 typename Target>
        void operator()(const Event&, Machine& it, Source&, Target&)
        {
            it.one_is_known = true;
        }
    };

    template<std::function<void()> lifecycle_hooks::*hook>
    struct tell
    {
        template<typename Event, typename Machine, typename Source,
                 typename Target>
        void operator()(const Event&, Machine& it, Source&, Target&)
        {
            call(it.hooks.*hook);
        }
    };

    using tell_serving = tell<&lifecycle_hooks::on_serving>;
    using tell_draining = tell<&lifecycle_hooks::on_draining>;
    using tell_closing = tell<&lifecycle_hooks::on_closing>;
    using tell_stopped = tell<&lifecycle_hooks::on_stopped>;

    // Of two rows that fit, the later one is tried first.
    struct transition_table
        : boost::mpl::vector<
              Row<starting, configuration_known, none, remember_one, none>,
              Row<starting, configuration_known, serving, tell_serving,
                  other_is_known>,
              Row<starting, targets_known, none, remember_one, none>,
              Row<starting, targets_known, serving, tell_serving,
                  other_is_known>,
              Row<starting, stop_asked, draining, tell_draining, none>,
              Row<serving, stop_asked, draining, tell_draining, none>,
              Row<draining, callers_gone, closing, tell_closing, none>,
              Row<draining, grace_over, stopped, tell_stopped, none>,
              Row<closing, idle, stopped, tell_stopped, none>,
              Row<closing, grace_over, stopped, tell_stopped, none>>
    {
    };

    /// Events that mean nothing in a phase are ignored.
    template<typename Event, typename Machine>
    void no_transition(const Event&, Machine&, int)
    {
    }

    lifecycle_hooks hooks;
    bool one_is_known = false;
};

} // namespace

struct lifecycle::machine : msm::back::state_machine<lifecycle_def>
{
    bool configuration = false;
    bool targets = false;
};

lifecycle::lifecycle(lifecycle_hooks hooks)
    : machine_(std::make_unique<machine>())
{
    machine_->hooks = std::move(hooks);
    machine_->start();
}

lifecycle::~lifecycle() = default;

void lifecycle::handle_configuration()
{
    if (!std::exchange(machine_->configuration, true))
        machine_->process_event(configuration_known());
}

void lifecycle::handle_targets_known()
{
    if (!std::exchange(machine_->targets, true))
        machine_->process_event(targets_known());
}

void lifecycle::stop()
{
    machine_->process_event(stop_asked());
}

void lifecycle::handle_callers_gone()
{
    machine_->process_event(callers_gone());
}

void lifecycle::handle_idle()
{
    machine_->process_event(idle());
}

void lifecycle::handle_grace_expired()
{
    machine_->process_event(grace_over());
}

phase lifecycle::current() const
{
    // States are numbered in the order in which the table names them.
    constexpr std::array phases{phase::starting, phase::serving,
                                phase::draining, phase::closing,
                                phase::stopped};
    return phases[static_cast<std::size_t>(*machine_->current_state())];
}

} // namespace tanagertrack::entry
