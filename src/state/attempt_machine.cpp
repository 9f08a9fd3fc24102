#include "state/attempt_machine.hpp"

#include "state/machine_support.hpp"

namespace tanagertrack::state
{

namespace
{

using detail::answer;
using detail::state_of;
using detail::transition;

struct accepted_event
{
};

struct text_event
{
};

struct finished_event
{
};

struct failed_event
{
};

struct preempted_event
{
};

struct refused_event
{
};

struct cancel_event
{
};

struct attempt_front
    : detail::machine_base<attempt_front, attempt_state, attempt_action>
{
    using starting = state_of<attempt_state::starting>;
    using accepted = state_of<attempt_state::accepted>;
    using finished = state_of<attempt_state::finished>;
    using failed = state_of<attempt_state::failed>;
    using preempted = state_of<attempt_state::preempted>;
    using refused = state_of<attempt_state::refused>;
    using cancelled = state_of<attempt_state::cancelled>;
    using initial_state = starting;

    using accepted_a = answer<attempt_action::report_accepted>;
    using text_a = answer<attempt_action::report_text>;
    using finished_a = answer<attempt_action::report_finished>;
    using failed_a = answer<attempt_action::report_failed>;
    using preempted_a = answer<attempt_action::report_preempted>;
    using refused_a = answer<attempt_action::report_refused>;
    using reset_a = answer<attempt_action::reset_stream>;
    using stay = detail::msm::front::none;

    // Text and an end may come without `accepted` from an agent that answers
    // at once. An agent does not refuse what it has accepted; such an event
    // is taken as a failure after the work was handed over.
    // clang-format off
    using transition_table = detail::mpl::vector<
        transition<starting, accepted_event,  accepted,  accepted_a>,
        transition<starting, text_event,      accepted,  text_a>,
        transition<starting, finished_event,  finished,  finished_a>,
        transition<starting, failed_event,    failed,    failed_a>,
        transition<starting, preempted_event, preempted, preempted_a>,
        transition<starting, refused_event,   refused,   refused_a>,
        transition<starting, cancel_event,    cancelled, reset_a>,
        transition<accepted, text_event,      stay,      text_a>,
        transition<accepted, finished_event,  finished,  finished_a>,
        transition<accepted, failed_event,    failed,    failed_a>,
        transition<accepted, preempted_event, preempted, preempted_a>,
        transition<accepted, refused_event,   failed,    failed_a>,
        transition<accepted, cancel_event,    cancelled, reset_a>>;
    // clang-format on
};

} // namespace

struct attempt_machine::impl
{
    detail::msm::back::state_machine<attempt_front> machine;
    bool sent = false;
    bool may_have_run = false;

    template<typename Event>
    attempt_action process(const Event& event, bool may_run)
    {
        const auto action = detail::process(machine, event);
        if (action != attempt_action::nothing)
            may_have_run = may_run;
        return action;
    }
};

attempt_machine::attempt_machine() : impl_(std::make_unique<impl>())
{
    impl_->machine.start();
}

attempt_machine::~attempt_machine() = default;
attempt_machine::attempt_machine(attempt_machine&&) noexcept = default;
attempt_machine&
attempt_machine::operator=(attempt_machine&&) noexcept = default;

attempt_state attempt_machine::state() const
{
    return impl_->machine.state;
}

bool attempt_machine::may_have_run() const
{
    if (ended())
        return impl_->may_have_run;
    return impl_->sent || state() == attempt_state::accepted;
}

bool attempt_machine::ended() const
{
    return state() != attempt_state::starting &&
           state() != attempt_state::accepted;
}

void attempt_machine::sent()
{
    impl_->sent = true;
}

attempt_action attempt_machine::accepted()
{
    return impl_->process(accepted_event{}, true);
}

attempt_action attempt_machine::text()
{
    return impl_->process(text_event{}, true);
}

attempt_action attempt_machine::finished()
{
    return impl_->process(finished_event{}, true);
}

attempt_action attempt_machine::failed(bool may_have_run)
{
    // Work that the target was handed may have run whatever the agent says.
    const bool handed_over = state() == attempt_state::accepted;
    return impl_->process(failed_event{}, may_have_run || handed_over);
}

attempt_action attempt_machine::preempted()
{
    return impl_->process(preempted_event{}, true);
}

attempt_action attempt_machine::refused()
{
    const bool handed_over = state() == attempt_state::accepted;
    return impl_->process(refused_event{}, handed_over);
}

attempt_action attempt_machine::lost()
{
    if (state() == attempt_state::starting && !impl_->sent)
        return refused();
    return failed(true);
}

attempt_action attempt_machine::cancel()
{
    const bool may_run = may_have_run();
    return impl_->process(cancel_event{}, may_run);
}

} // namespace tanagertrack::state
