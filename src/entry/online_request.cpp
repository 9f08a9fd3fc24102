#include "entry/online_request.hpp"

#include "common/logging.hpp"
#include "common/metrics.hpp"
#include "entry/caller_exchange.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <utility>

namespace tanagertrack::entry
{

using common::execution;
using common::result_code;
using std::chrono::milliseconds;

namespace
{

/// Unsent bytes of a streamed answer above which the attempt is paused, and
/// below which it goes on.
constexpr std::size_t pause_bytes = 64UL * 1024;
constexpr std::size_t resume_bytes = 16UL * 1024;

/// Text kept for a resume. A longer answer is not resumed.
constexpr std::size_t max_resume_bytes = 1024UL * 1024;

/// Time by which an agent's own report of a deadline may come late. The agent
/// knows whether the work was started.
constexpr auto deadline_grace = milliseconds(500);

constexpr std::string_view done_event = "data: [DONE]\n\n";

/// Whether the piece ends the text of an answer. Within a JSON text the
/// quotation marks would be escaped.
bool has_finish_reason(std::string_view data)
{
    return data.find(R"("finish_reason":")") != std::string_view::npos ||
           data.find(R"("finish_reason": ")") != std::string_view::npos;
}

result_code to_code(std::uint32_t number)
{
    const auto code = static_cast<result_code>(number);
    return number == 0 ? result_code::target_failed : common::info(code).code;
}

} // namespace

online_request::online_request(online_environment& shared, online_call call,
                               std::function<void()> done)
    : shared_(shared), call_(std::move(call)), done_(std::move(done)),
      deadline_timer_(shared.context)
{
}

void online_request::start()
{
    shared_.budget.add_request();
    deadline_timer_.expires_at(call_.deadline + deadline_grace);
    deadline_timer_.async_wait(
        [self = online_request_ptr(this)](const auto& ec)
        {
            if (!ec)
                self->deadline_passed();
        });
    start_attempt();
}

// ---- attempts ----

void online_request::start_attempt()
{
    const auto left = std::chrono::duration_cast<milliseconds>(
        call_.deadline - common::clock::now());
    if (left.count() <= 0)
        return fail(http::rejection(may_have_run_
                                        ? result_code::deadline_exceeded
                                        : result_code::deadline_before_start));
    call_.work.set_deadline_ms(static_cast<std::uint32_t>(left.count()));
    call_.work.set_resume_text(sent_text_);
    resumed_ = started_;
    const auto started =
        shared_.pool.start(call_.work, {call_.model, tried_}, make_hooks());
    if (started.id == 0)
        return fail(cause_);
    attempt_ = started.id;
    tried_.push_back(started.target);
    ++attempts_;
    paused_ = false;
}

attempt_hooks online_request::make_hooks()
{
    // The pool calls no hook after the end of an attempt or a cancel, and
    // this object cancels its attempt before it ends.
    attempt_hooks hooks;
    hooks.on_text = [this](const proto::WorkText& it)
    {
        online_request_ptr(this)->take_text(it);
    };
    hooks.on_finished = [this](const proto::WorkFinished& it)
    {
        online_request_ptr(this)->take_finished(it);
    };
    hooks.on_failed = [this](const proto::WorkFailed& it)
    {
        online_request_ptr(this)->take_failed(it);
    };
    hooks.on_preempted = [this](const proto::WorkPreempted&)
    {
        proto::WorkFailed failed;
        failed.set_code(static_cast<std::uint32_t>(result_code::preempted));
        failed.set_may_have_run(true);
        online_request_ptr(this)->take_failed(failed);
    };
    hooks.on_refused = [this](const proto::WorkRefused& it)
    {
        online_request_ptr(this)->take_refused(it);
    };
    return hooks;
}

void online_request::take_refused(const proto::WorkRefused& refused)
{
    attempt_ = 0;
    http::rejection why(to_code(refused.code()));
    why.retry_after = std::chrono::milliseconds(refused.retry_after_ms());
    why.ran = execution::not_run;
    try_again(std::move(why));
}

void online_request::take_failed(const proto::WorkFailed& failed)
{
    attempt_ = 0;
    may_have_run_ = may_have_run_ || failed.may_have_run();

    // All text has been sent; only the end mark is missing.
    if (text_complete_)
    {
        closing_ = closing::complete;
        unsent_ += done_event;
        return send();
    }
    http::rejection why(to_code(failed.code()));
    if (!failed.permanent())
        return try_again(std::move(why));
    if (!started_ && failed.http_status() != 0 && !failed.body().empty())
        return pass_through(failed.http_status(), "application/json",
                            failed.body());
    fail(std::move(why));
}

bool online_request::may_try_again()
{
    const bool possible = call_.work.repeatable() &&
                          attempts_ < shared_.settings.routing.max_attempts &&
                          common::clock::now() < call_.deadline &&
                          (!started_ || call_.resumable);
    return possible && shared_.budget.take();
}

void online_request::try_again(http::rejection cause)
{
    cause_ = std::move(cause);
    if (!may_try_again())
        return fail(cause_);
    (started_ ? shared_.resumes : shared_.retries).add();
    common::log_info("request_retried",
                     {{"request_id", call_.request->head().request_id},
                      {"target", tried_.back()},
                      {"cause", common::info(cause_.code).name}});
    start_attempt();
}

// ---- answer ----

void online_request::take_text(const proto::WorkText& text)
{
    const bool last = has_finish_reason(text.data());

    // An attempt that goes on with an answer starts its own stream; what
    // stands before its first text was sent by the first attempt.
    if (resumed_ && text.text().empty() && !last && !text_complete_)
        return;
    text_complete_ = text_complete_ || last;
    if (call_.resumable)
        sent_text_ += text.text();
    if (sent_text_.size() > max_resume_bytes)
    {
        call_.resumable = false;
        sent_text_ = std::string();
    }
    add_event(text.data());
    send();
    if (!paused_ && unsent_.size() > pause_bytes)
    {
        paused_ = true;
        shared_.pool.pause(attempt_, true);
    }
}

void online_request::add_event(std::string_view data)
{
    if (!std::exchange(started_, true))
    {
        exchange_answer head;
        head.content_type = "text/event-stream";
        call_.request->start_answer(std::move(head));
    }
    unsent_ += "data: ";
    unsent_ += data;
    unsent_ += "\n\n";
}

void online_request::take_finished(const proto::WorkFinished& finished)
{
    attempt_ = 0;
    const auto status = finished.http_status();
    if (call_.work.stream() && status == 200)
    {
        if (!std::exchange(started_, true))
        {
            exchange_answer head;
            head.content_type = "text/event-stream";
            call_.request->start_answer(std::move(head));
        }
        closing_ = closing::complete;
        unsent_ += done_event;
        return send();
    }
    if (started_)
    {
        http::rejection why(result_code::target_failed);
        return fail(std::move(why));
    }
    pass_through(status, finished.content_type(), finished.body());
}

void online_request::pass_through(unsigned status, std::string content_type,
                                  std::string body)
{
    exchange_answer head;
    head.status = status;
    if (!content_type.empty())
        head.content_type = std::move(content_type);
    call_.request->respond(std::move(head), std::move(body));
    end();
}

void online_request::fail(http::rejection why)
{
    if (ended_ || closing_ != closing::none)
        return;

    // The account covers all attempts, not only the last one.
    if (may_have_run_ && why.ran == execution::not_run)
        why.ran = execution::may_have_run;
    count_rejection(shared_.metrics, why.code);
    common::log_warning("request_failed",
                        {{"request_id", call_.request->head().request_id},
                         {"code", common::info(why.code).name},
                         {"execution", to_string(why.ran)},
                         {"attempts", attempts_}});
    if (!started_)
    {
        refuse(*call_.request, why);
        return end();
    }
    add_event(http::error_body(why, call_.request->head().request_id));
    closing_ = closing::cut;
    send();
}

void online_request::send()
{
    if (writing_ || ended_)
        return;
    const bool last = closing_ != closing::none;
    if (!unsent_.empty())
    {
        writing_ = !last;
        call_.request->write(std::exchange(unsent_, {}),
                             last ? nullptr : written_hook);
    }
    if (!last)
        return;
    if (closing_ == closing::complete)
        call_.request->finish();
    else
        call_.request->abort();
    end();
}

void online_request::written(std::error_code ec)
{
    writing_ = false;
    if (ec)
        return abandon();
    send();
    if (paused_ && !ended_ && unsent_.size() < resume_bytes)
    {
        paused_ = false;
        shared_.pool.pause(attempt_, false);
    }
}

// ---- end ----

void online_request::abandon()
{
    if (ended_)
        return;
    common::log_info("request_abandoned",
                     {{"request_id", call_.request->head().request_id}});
    call_.request->abort();
    end();
}

void online_request::deadline_passed()
{
    if (ended_)
        return;

    // Work that was sent and not refused may run by now.
    if (attempt_ != 0)
    {
        shared_.pool.cancel(std::exchange(attempt_, 0));
        may_have_run_ = true;
    }
    fail(http::rejection(result_code::deadline_exceeded));
}

void online_request::end()
{
    if (std::exchange(ended_, true))
        return;
    if (attempt_ != 0)
        shared_.pool.cancel(std::exchange(attempt_, 0));
    deadline_timer_.cancel();
    call_.request.reset();
    done_();
}

} // namespace tanagertrack::entry
