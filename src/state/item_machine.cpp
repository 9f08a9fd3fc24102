#include "state/item_machine.hpp"

#include "state/machine_support.hpp"

#include <boost/assert.hpp>

namespace tanagertrack::state
{

namespace
{

using detail::answer;
using detail::state_of;
using detail::transition;

// Events, each with one meaning after the guards of `item_machine`.
struct dispatch_event
{
};

struct need_intent_event
{
};

struct unknown_event
{
};

struct succeeded_event
{
};

struct failed_event
{
};

struct again_event
{
};

struct recorded_event
{
};

struct cancel_event
{
};

struct item_front : detail::machine_base<item_front, item_state, item_action>
{
    using pending = state_of<item_state::pending>;
    using intent_pending = state_of<item_state::intent_pending>;
    using running = state_of<item_state::running>;
    using unrecorded = state_of<item_state::result_unrecorded>;
    using done = state_of<item_state::done>;
    using initial_state = pending;

    using intent_a = answer<item_action::append_intent>;
    using dispatch_a = answer<item_action::dispatch>;
    using requeue_a = answer<item_action::requeue>;
    using success_a = answer<item_action::record_success>;
    using failure_a = answer<item_action::record_failure>;
    using unknown_a = answer<item_action::record_unknown>;
    using reset_a = answer<item_action::reset_attempt>;
    using remove_a = answer<item_action::remove>;

    // A result that is on its way to the log when the job is cancelled is
    // still recorded: it did finish.
    // clang-format off
    using transition_table = detail::mpl::vector<
        transition<pending,        need_intent_event, intent_pending, intent_a>,
        transition<pending,        dispatch_event,    running,        dispatch_a>,
        transition<pending,        unknown_event,     unrecorded,     unknown_a>,
        transition<pending,        recorded_event,    done,           remove_a>,
        transition<pending,        cancel_event,      done,           remove_a>,
        transition<intent_pending, dispatch_event,    running,        dispatch_a>,
        transition<intent_pending, unknown_event,     unrecorded,     unknown_a>,
        transition<intent_pending, recorded_event,    done,           remove_a>,
        transition<intent_pending, cancel_event,      done,           remove_a>,
        transition<running,        succeeded_event,   unrecorded,     success_a>,
        transition<running,        failed_event,      unrecorded,     failure_a>,
        transition<running,        unknown_event,     unrecorded,     unknown_a>,
        transition<running,        again_event,       pending,        requeue_a>,
        transition<running,        recorded_event,    done,           reset_a>,
        transition<running,        cancel_event,      done,           reset_a>,
        transition<unrecorded,     recorded_event,    done,           remove_a>>;
    // clang-format on
};

} // namespace

struct item_machine::impl
{
    explicit impl(item_traits initial) : traits(initial)
    {
        machine.start();
    }

    template<typename Event>
    item_action process(const Event& event)
    {
        return detail::process(machine, event);
    }

    detail::msm::back::state_machine<item_front> machine;
    item_traits traits;

    /// Whether an intent of this holder was read back as valid and no attempt
    /// under it may have run.
    bool may_use_intent = false;
};

item_machine::item_machine(item_traits traits)
    : impl_(std::make_unique<impl>(traits))
{
    BOOST_ASSERT(traits.max_attempts > 0);
}

item_machine::~item_machine() = default;
item_machine::item_machine(item_machine&&) noexcept = default;
item_machine& item_machine::operator=(item_machine&&) noexcept = default;

item_state item_machine::state() const
{
    return impl_->machine.state;
}

std::uint32_t item_machine::attempts() const
{
    return impl_->traits.attempts;
}

item_action item_machine::start()
{
    if (state() != item_state::pending)
        return item_action::nothing;
    const auto& traits = impl_->traits;
    if (!traits.not_repeatable || impl_->may_use_intent)
    {
        ++impl_->traits.attempts;
        return impl_->process(dispatch_event{});
    }
    if (traits.has_intent)
        return impl_->process(unknown_event{});
    return impl_->process(need_intent_event{});
}

item_action item_machine::intent_read(intent_verdict verdict)
{
    if (state() != item_state::intent_pending)
        return item_action::nothing;
    switch (verdict)
    {
    case intent_verdict::valid:
        impl_->traits.has_intent = true;
        impl_->may_use_intent = true;
        ++impl_->traits.attempts;
        return impl_->process(dispatch_event{});
    case intent_verdict::repeated:
        return impl_->process(unknown_event{});
    default:
        // Finished, cancelled or forgotten: nothing is left to do.
        return impl_->process(cancel_event{});
    }
}

item_action item_machine::attempt_ended(attempt_end end)
{
    if (state() != item_state::running)
        return item_action::nothing;
    auto& traits = impl_->traits;
    switch (end)
    {
    case attempt_end::succeeded:
        return impl_->process(succeeded_event{});
    case attempt_end::failed_for_good:
        return impl_->process(failed_event{});
    case attempt_end::not_run:
        --traits.attempts;
        return impl_->process(again_event{});
    case attempt_end::preempted:
        --traits.attempts;
        if (traits.not_repeatable)
            return impl_->process(unknown_event{});
        return impl_->process(again_event{});
    case attempt_end::failed:
        break;
    }
    if (traits.not_repeatable)
        return impl_->process(unknown_event{});
    if (traits.attempts >= traits.max_attempts)
        return impl_->process(failed_event{});
    return impl_->process(again_event{});
}

item_action item_machine::result_read()
{
    return impl_->process(recorded_event{});
}

item_action item_machine::cancel()
{
    return impl_->process(cancel_event{});
}

} // namespace tanagertrack::state
