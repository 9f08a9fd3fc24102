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

struct stop_requested
{
};

struct callers_gone
{
};

struct idle
{
};

struct grace_expired
{
};

void call_if_set(const std::function<void()>& hook)
{
    if (hook)
        hook();
}

/// States and transitions of the machine.
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

    struct other_input_known
    {
        template<typename Event, typename Machine, typename Source,
                 typename Target>
        bool operator()(const Event&, Machine& it, Source&, Target&)
        {
            return it.one_input_known;
        }
    };

    struct record_first_input
    {
        template<typename Event, typename Machine, typename Source,
                 typename Target>
        void operator()(const Event&, Machine& it, Source&, Target&)
        {
            it.one_input_known = true;
        }
    };

    template<std::function<void()> lifecycle_hooks::*hook>
    struct notify
    {
        template<typename Event, typename Machine, typename Source,
                 typename Target>
        void operator()(const Event&, Machine& it, Source&, Target&)
        {
            call_if_set(it.hooks.*hook);
        }
    };

    using notify_serving = notify<&lifecycle_hooks::on_serving>;
    using notify_draining = notify<&lifecycle_hooks::on_draining>;
    using notify_closing = notify<&lifecycle_hooks::on_closing>;
    using notify_stopped = notify<&lifecycle_hooks::on_stopped>;

    // If two rows match, Boost.MSM tries the later one first. So whichever of
    // configuration and targets is known second leads to `serving`.
    struct transition_table
        : boost::mpl::vector<
              Row<starting, configuration_known, none, record_first_input,
                  none>,
              Row<starting, configuration_known, serving, notify_serving,
                  other_input_known>,
              Row<starting, targets_known, none, record_first_input, none>,
              Row<starting, targets_known, serving, notify_serving,
                  other_input_known>,
              Row<starting, stop_requested, draining, notify_draining, none>,
              Row<serving, stop_requested, draining, notify_draining, none>,
              Row<draining, callers_gone, closing, notify_closing, none>,
              Row<draining, grace_expired, stopped, notify_stopped, none>,
              Row<closing, idle, stopped, notify_stopped, none>,
              Row<closing, grace_expired, stopped, notify_stopped, none>>
    {
    };

    /// Ignores events that have no transition in the current phase.
    template<typename Event, typename Machine>
    void no_transition(const Event&, Machine&, int)
    {
    }

    lifecycle_hooks hooks;

    /// True if the configuration or the targets are known.
    bool one_input_known = false;
};

} // namespace

struct lifecycle::machine : msm::back::state_machine<lifecycle_def>
{
    // True once the event was processed; repeated ones are ignored.
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
    machine_->process_event(stop_requested());
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
    machine_->process_event(grace_expired());
}

phase lifecycle::current() const
{
    // Boost.MSM numbers the states in the order of their first use in the
    // transition table.
    constexpr std::array phases{phase::starting, phase::serving,
                                phase::draining, phase::closing,
                                phase::stopped};
    return phases[static_cast<std::size_t>(*machine_->current_state())];
}

} // namespace tanagertrack::entry
