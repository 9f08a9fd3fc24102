#include "online/request.hpp"

#include "common/logging.hpp"
#include "http/status.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace tanagertrack::online
{

using common::result_code;
using outcome = targets::attempt_end::outcome;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace
{

/// A request is not sent to a target with less time left than this.
constexpr auto min_time_left = milliseconds(20);

std::int64_t ms_between(common::time_point from, common::time_point to)
{
    return duration_cast<milliseconds>(to - from).count();
}

/// Returns the age of a target's load report in ms; -1 if there is none.
std::int64_t report_age_ms(const routing::load_report& report,
                           common::time_point now)
{
    const bool known = report.received_at != common::time_point();
    return known ? ms_between(report.received_at, now) : -1;
}

} // namespace

request::request(environment& env, call details, answer_hooks answer)
    : environment_(env), call_(std::move(details)), answer_(std::move(answer)),
      timer_(env.context),
      timeout_at_(
          std::min(call_.received + call_.route->timeout, call_.deadline)),
      last_event_(call_.after_event)
{
}

void request::start()
{
    if (const auto refusal = environment_.callers.admit(call_))
        return refuse({refusal->code, common::info(refusal->code).name},
                      refusal->retry_after);
    admitted_ = true;
    const auto& shares = call_.route->services;
    std::size_t total_weight = 0;
    for (const auto& it : shares)
        total_weight += it.weight;
    if (total_weight == 0)
        return refuse({result_code::no_target, "no_service"},
                      environment_.settings.retry_after);

    // Chooses a service at random in proportion to the weights.
    auto remaining = environment_.random(total_weight);
    for (const auto& it : shares)
    {
        service_ = it.service;
        if (remaining < it.weight)
            break;
        remaining -= it.weight;
    }
    try_next_target({result_code::no_target, "no_target"});
}

std::vector<targets::target_ptr> request::candidates() const
{
    std::vector<targets::target_ptr> usable;
    for (const auto& it : environment_.targets.of_service(service_))
    {
        if (std::ranges::find(tried_targets_, it->id()) == tried_targets_.end())
            usable.push_back(it);
    }
    return usable;
}

void request::try_next_target(failure last_failure)
{
    const auto now = common::clock::now();
    const auto usable = candidates();
    if (usable.empty() || timeout_at_ - now < min_time_left)
        return fail_request(last_failure);
    if (const auto retry_after = environment_.time_refused(call_.prompt))
        return refuse_prompt(*retry_after);
    if (const auto code = environment_.callers.revalidate(call_))
        return fail_request({*code, common::info(*code).name});

    std::vector<const routing::target_load*> loads;
    loads.reserve(usable.size());
    for (const auto& it : usable)
        loads.push_back(&it->load);
    const bool may_repeat = call_.repeats != fleet::repetition::once &&
                            runs_ + 1 < call_.route->max_attempts;
    const auto choice =
        environment_.placement.choose_online(loads, now, may_repeat);
    const auto max_wait = std::chrono::duration<double, std::milli>(
        environment_.settings.max_wait *
        static_cast<double>(call_.route->objective.count()));
    const auto shared = sends_ == 0
                            ? environment_.callers.share(call_, choice->wait)
                            : wait_decision();
    if (sends_ == 0 &&
        (shared.is_refused || choice->wait > max_wait * shared.max_wait))
    {
        const auto spread = environment_.random(static_cast<std::size_t>(
            environment_.settings.retry_after_spread.count()));
        return refuse({result_code::overloaded, shared.is_refused
                                                    ? "above_fair_share"
                                                    : "wait_too_long"},
                      environment_.settings.retry_after + milliseconds(spread));
    }
    send_to(usable[choice->index], choice->wait);
}

void request::send_to(const targets::target_ptr& destination, milliseconds wait)
{
    if (destination->load.free_slots() == 0)
        environment_.preempt_for_online(*destination);
    const auto now = common::clock::now();
    ++sends_;
    common::log_info(
        "request_sent",
        {{"request_id", call_.id},
         {"route", call_.route->name},
         {"version", call_.configuration->version()},
         {"parts", routing::list_parts(call_.prompt.shared)},
         {"target", destination->id()},
         {"send", sends_},
         {"wait_ms", wait.count()},
         {"online", destination->load.online()},
         {"batch", destination->load.batch()},
         {"slots", destination->load.slots},
         {"slowdown", destination->load.reported.slowdown},
         {"report_age_ms", report_age_ms(destination->load.reported, now)}});

    const targets::outgoing_request outgoing{
        call_.id,          call_.method,
        call_.target,      call_.host,
        call_.headers,     call_.body,
        destination->id(), duration_cast<milliseconds>(call_.deadline - now),
        last_event_};
    targets::attempt_request to_send;
    to_send.request = environment_.protocol.write(outgoing);
    to_send.request_id = call_.id;
    to_send.without_body = call_.method == "HEAD";
    to_send.events = is_stream();
    to_send.after_event = last_event_;
    if (call_.repeats == fleet::repetition::resumable)
        to_send.max_unnumbered_bytes = targets::unnumbered_bytes_limit;
    to_send.prompt = call_.prompt;

    // An idle connection may still deliver a late response to an earlier
    // request, or may be closed by the target while this request is sent. It
    // would then be unknown whether the request ran. A request that may run
    // only once therefore always gets a new connection.
    if (call_.repeats == fleet::repetition::once)
        to_send.max_idle_time = milliseconds(0);

    attempt_ = new targets::attempt(environment_.protocol, destination,
                                    std::move(to_send), make_attempt_hooks());
    arm_timer();
    attempt_->start();
}

targets::attempt_hooks request::make_attempt_hooks()
{
    const request_ptr self(this);
    targets::attempt_hooks hooks;
    hooks.on_head = [self](const http::response_head& head)
    {
        self->handle_head(head);
    };
    hooks.on_piece =
        [self](std::string_view piece, std::optional<std::uint64_t> event)
    {
        self->handle_piece(piece, event);
    };
    hooks.on_end = [self](const targets::attempt_end& end)
    {
        self->handle_attempt_end(end);
    };
    return hooks;
}

void request::handle_head(const http::response_head& head)
{
    if (!answer_started_)
    {
        head_ = head;
        return;
    }

    // The caller already has the head from the first target.
    if (!continues_answer(head))
        leave_target({outcome::failed, head.status,
                      make_error_code(result_code::protocol_error),
                      "stream_not_continued"});
}

bool request::continues_answer(const http::response_head& head) const
{
    const auto is_same = [&](std::string_view name)
    {
        return head.headers.find(name) == head_.headers.find(name);
    };
    return head.status == head_.status && is_same("Content-Type") &&
           is_same("Content-Encoding");
}

void request::handle_piece(std::string_view piece,
                           std::optional<std::uint64_t> event)
{
    unsent_ += piece;
    if (event)
    {
        last_event_ = event;
        ++event_count_;
    }
    const bool first_event = event && !first_event_at_;
    if (first_event)
        first_event_at_ = common::clock::now();
    if (is_held())
        return;
    flush();

    // From the first event on, the timeout between events applies, which ends
    // sooner.
    if (first_event)
        arm_timer();
    if (unsent_.size() > environment_.settings.max_unsent_bytes && attempt_)
        attempt_->pause(true);
}

bool request::is_held() const
{
    if (answer_started_ ||
        unsent_.size() > environment_.settings.held_answer_bytes)
        return false;
    if (!is_stream() || head_.status >= http::first_server_error)
        return true;

    // With a comment, the caller would have the head of a target that may never
    // send an event, and no event after which another one could continue.
    return call_.repeats == fleet::repetition::resumable &&
           http::is_success(head_.status) && !first_event_at_;
}

void request::handle_attempt_end(const targets::attempt_end& end)
{
    if (ended_)
        return;
    const auto destination = attempt_->destination();
    const bool ran = attempt_->may_have_run() && end.result != outcome::not_run;
    attempt_ = nullptr;
    if (ran)
        ++runs_;
    tried_targets_.push_back(destination->id());
    if (end.result == outcome::not_run)
        return handle_not_run(end);

    const bool retry_server_error =
        end.result == outcome::complete && !answer_started_ &&
        end.status >= http::first_server_error && may_run_again();
    if (end.result == outcome::complete && !retry_server_error)
        return finish_answer();
    handle_attempt_failure(end);
}

void request::handle_not_run(const targets::attempt_end& end)
{
    common::log_info("request_not_run", {{"request_id", call_.id},
                                         {"target", tried_targets_.back()},
                                         {"status", end.status},
                                         {"reason", end.reason}});
    const failure cause{result_code::target_refused, end.reason};
    const auto max_sends =
        call_.route->max_attempts + environment_.settings.max_refused_sends;
    if (sends_ >= max_sends)
        return fail_request(cause);
    try_next_target(cause);
}

void request::handle_attempt_failure(const targets::attempt_end& end)
{
    common::log_info("request_attempt_failed",
                     {{"request_id", call_.id},
                      {"target", tried_targets_.back()},
                      {"status", end.status},
                      {"reason", end.reason},
                      {"what", end.ec.message()},
                      {"events", event_count_}});
    if (!answer_started_)
        unsent_.clear();
    const failure cause{result_code::target_failed, end.reason};
    if (!may_run_again() || (answer_started_ && !is_resumable_answer()))
        return fail_request(cause);
    try_next_target(cause);
}

void request::leave_target(const targets::attempt_end& reason)
{
    // The target cancels the request when its connection is closed.
    const auto left = std::exchange(attempt_, nullptr);
    left->cancel();
    ++runs_;
    tried_targets_.push_back(left->destination()->id());
    handle_attempt_failure(reason);
    if (!ended_)
        arm_timer();
}

bool request::is_resumable_answer() const
{
    return call_.repeats == fleet::repetition::resumable && last_event_ &&
           http::is_success(head_.status);
}

bool request::may_run_again() const
{
    return call_.repeats != fleet::repetition::once &&
           runs_ < call_.route->max_attempts;
}

bool request::is_stream() const
{
    return call_.route->kind == fleet::route_kind::stream;
}

void request::finish_answer()
{
    answer_complete_ = true;
    if (answer_started_)
        return flush();

    // The body is complete, so the response gets a Content-Length.
    http::answer_head head;
    head.status = head_.status;
    head.content_type.clear(); // the target's own is in `headers`, if any
    http::copy_end_to_end(head_.headers, head.headers);
    auto hooks = std::exchange(answer_, {});
    hooks.respond(std::move(head), std::move(unsent_));
    finish_request("answered");
}

void request::start_answer()
{
    answer_started_ = true;
    http::answer_head head;
    head.status = head_.status;
    head.content_type.clear(); // the target's own is in `headers`, if any
    http::copy_end_to_end(head_.headers, head.headers);
    answer_.start(std::move(head));
}

void request::flush()
{
    if (ended_ || write_pending_)
        return;
    if (!answer_started_)
        start_answer();
    if (unsent_.empty())
    {
        if (!answer_complete_)
            return;
        auto hooks = std::exchange(answer_, {});
        hooks.finish();
        return finish_request("answered");
    }
    write_pending_ = true;
    answer_.write(std::exchange(unsent_, {}),
                  [self = request_ptr(this)](std::error_code ec)
                  { self->handle_write(ec); });
}

void request::handle_write(std::error_code ec)
{
    write_pending_ = false;
    if (ended_)
        return;
    if (ec)
        return abandon();
    if (attempt_)
        attempt_->pause(false);
    if (!unsent_.empty() || answer_complete_)
        flush();
}

void request::fail_request(failure cause)
{
    if (answer_started_)
    {
        auto hooks = std::exchange(answer_, {});
        hooks.abort();
        return finish_request("broken_off");
    }
    if (runs_ == 0)
    {
        const auto spread = environment_.random(static_cast<std::size_t>(
            environment_.settings.retry_after_spread.count()));
        return refuse(cause,
                      environment_.settings.retry_after + milliseconds(spread));
    }
    refuse({result_code::target_failed, cause.reason}, milliseconds(0));
}

void request::refuse(failure cause, milliseconds retry_after)
{
    http::rejection rejection(cause.code);
    rejection.ran = runs_ == 0 ? common::execution::not_run
                               : common::execution::may_have_run;
    rejection.message = cause.reason;
    rejection.retry_after = retry_after;
    auto hooks = std::exchange(answer_, {});
    hooks.refuse(rejection);
    finish_request(common::info(cause.code).name);
}

void request::refuse_prompt(milliseconds retry_after)
{
    common::log_info("request_quarantined",
                     {{"request_id", call_.id},
                      {"parts", routing::list_parts(call_.prompt.shared)},
                      {"runs", runs_},
                      {"retry_after_ms", retry_after.count()}});
    const failure cause{result_code::prompt_quarantined, "prompt_quarantined"};
    if (runs_ == 0 && !answer_started_)
        return refuse(cause, retry_after);
    fail_request(cause);
}

void request::abandon()
{
    if (!ended_)
        finish_request("abandoned");
}

common::time_point request::silence_timeout_at() const
{
    // A silent target matters only if another one may continue the stream.
    // While bytes wait for the caller, the target may wait too.
    const bool is_waited_for = unsent_.empty() || !answer_started_;
    const bool can_be_moved = attempt_ && is_waited_for && is_stream() &&
                              call_.repeats == fleet::repetition::resumable &&
                              (!answer_started_ || is_resumable_answer()) &&
                              runs_ + 1 < call_.route->max_attempts;
    if (!can_be_moved)
        return common::time_point::max();
    if (!first_event_at_)
        return attempt_->started_at() +
               environment_.settings.first_event_timeout;
    const auto gap = call_.route->gap_objective.count() == 0
                         ? environment_.settings.default_gap
                         : call_.route->gap_objective;
    return attempt_->last_progress() +
           duration_cast<common::duration>(
               gap * environment_.settings.gap_timeout_share);
}

void request::arm_timer()
{
    timer_.expires_at(std::min(timeout_at_, silence_timeout_at()));
    timer_.async_wait(
        [self = request_ptr(this)](const auto& ec)
        {
            if (!ec && !self->ended_)
                self->handle_timeout();
        });
}

void request::handle_timeout()
{
    const auto now = common::clock::now();
    if (now >= timeout_at_)
    {
        runs_ += may_have_run() ? 1 : 0;
        if (answer_started_)
            return fail_request({result_code::deadline_exceeded, "timeout"});
        return refuse({result_code::deadline_exceeded, "timeout"},
                      milliseconds(0));
    }
    if (now < silence_timeout_at())
        return arm_timer();

    attempt_->cancel_silent();
    leave_target({outcome::failed, 0,
                  make_error_code(result_code::deadline_exceeded), "silent"});
}

bool request::may_have_run() const
{
    return runs_ > 0 || (attempt_ && attempt_->may_have_run());
}

void request::finish_request(std::string_view result)
{
    // The references that are released here may be the last ones.
    const request_ptr self(this);
    ended_ = true;
    timer_.cancel();
    if (admitted_ && !may_have_run())
        environment_.callers.give_back(call_);
    if (auto current = std::exchange(attempt_, nullptr))
        current->cancel();
    answer_ = {};
    log_end(result);
}

void request::log_end(std::string_view result) const
{
    const auto now = common::clock::now();
    common::log_info(
        "request_ended",
        {{"request_id", call_.id},
         {"outcome", result},
         {"status", head_.status},
         {"sends", sends_},
         {"runs", runs_},
         {"events", event_count_},
         {"first_event_ms",
          first_event_at_ ? ms_between(call_.received, *first_event_at_) : -1},
         {"total_ms", ms_between(call_.received, now)}});
}

} // namespace tanagertrack::online
