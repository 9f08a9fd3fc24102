#include "online/request.hpp"

#include "common/logging.hpp"

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

/// Shortest time left for which a request is still sent.
constexpr auto min_time_left = milliseconds(20);

/// Statuses from which on a target's answer is a failure of its own.
constexpr unsigned first_server_error = 500;

std::int64_t ms_between(common::time_point from, common::time_point to)
{
    return duration_cast<milliseconds>(to - from).count();
}

/// Age of a target's report; -1 if there is none.
std::int64_t report_age_ms(const routing::load_report& report,
                           common::time_point now)
{
    const bool known = report.received_at != common::time_point();
    return known ? ms_between(report.received_at, now) : -1;
}

} // namespace

request::request(environment& shared, call details, answer_hooks answer)
    : shared_(shared), call_(std::move(details)), answer_(std::move(answer)),
      timer_(shared.context),
      timeout_at_(
          std::min(call_.received + call_.route->timeout, call_.deadline)),
      last_event_(call_.after_event)
{
}

void request::start()
{
    const auto& shares = call_.route->services;
    std::size_t total = 0;
    for (const auto& it : shares)
        total += it.weight;
    if (total == 0)
        return refuse({result_code::no_target, "no_service"},
                      shared_.settings.retry_after);

    auto drawn = shared_.random(total);
    for (const auto& it : shares)
    {
        service_ = it.service;
        if (drawn < it.weight)
            break;
        drawn -= it.weight;
    }
    try_target({result_code::no_target, "no_target"});
}

std::vector<targets::target_ptr> request::candidates() const
{
    std::vector<targets::target_ptr> usable;
    for (const auto& it : shared_.targets.of_service(service_))
    {
        if (std::ranges::find(excluded_, it->id()) == excluded_.end())
            usable.push_back(it);
    }
    return usable;
}

void request::try_target(failure after)
{
    const auto now = common::clock::now();
    const auto usable = candidates();
    if (usable.empty() || timeout_at_ - now < min_time_left)
        return give_up(after);

    std::vector<const routing::target_load*> loads;
    loads.reserve(usable.size());
    for (const auto& it : usable)
        loads.push_back(&it->load);
    const auto choice = shared_.placement.choose_online(loads, now);
    const auto limit = std::chrono::duration<double, std::milli>(
        shared_.settings.max_wait *
        static_cast<double>(call_.route->objective.count()));
    if (sends_ == 0 && choice->wait > limit)
    {
        const auto spread = shared_.random(static_cast<std::size_t>(
            shared_.settings.retry_after_spread.count()));
        return refuse({result_code::overloaded, "wait_too_long"},
                      shared_.settings.retry_after + milliseconds(spread));
    }
    send_to(usable[choice->index], choice->wait);
}

void request::send_to(const targets::target_ptr& destination, milliseconds wait)
{
    if (destination->load.free_slots() == 0)
        shared_.preempt_for_online(*destination);
    const auto now = common::clock::now();
    ++sends_;
    common::log_info(
        "request_sent",
        {{"request_id", call_.id},
         {"route", call_.route->name},
         {"version", call_.configuration->version()},
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
    to_send.request = shared_.protocol.write(outgoing);
    to_send.request_id = call_.id;
    to_send.without_body = call_.method == "HEAD";
    to_send.events = is_stream();
    to_send.after_event = last_event_;

    // A late answer to an earlier request, or the target's close, would leave
    // it open whether a request that may not be repeated ran.
    if (call_.repeats == fleet::repetition::once)
        to_send.max_idle_time = milliseconds(0);

    attempt_ = new targets::attempt(shared_.protocol, destination,
                                    std::move(to_send), make_hooks());
    arm_timer();
    attempt_->start();
}

targets::attempt_hooks request::make_hooks()
{
    const request_ptr self(this);
    targets::attempt_hooks hooks;
    hooks.on_head = [self](const http::response_head& head)
    {
        self->take_head(head);
    };
    hooks.on_piece =
        [self](std::string_view piece, std::optional<std::uint64_t> event)
    {
        self->take_piece(piece, event);
    };
    hooks.on_end = [self](const targets::attempt_end& end)
    {
        self->take_end(end);
    };
    return hooks;
}

void request::take_head(const http::response_head& head)
{
    // A stream that goes on keeps the head of its first target.
    if (!started_)
        head_ = head;
}

void request::take_piece(std::string_view piece,
                         std::optional<std::uint64_t> event)
{
    unsent_ += piece;
    if (event)
    {
        last_event_ = event;
        ++events_;
    }
    const bool first_event = event && !first_event_at_;
    if (first_event)
        first_event_at_ = common::clock::now();
    const bool held = !is_stream() || head_.status >= first_server_error;
    if (!started_ && held &&
        unsent_.size() <= shared_.settings.held_answer_bytes)
        return;
    flush();

    // From now on pauses are watched, which end sooner.
    if (first_event)
        arm_timer();
    if (unsent_.size() > shared_.settings.max_unsent_bytes && attempt_)
        attempt_->pause(true);
}

void request::take_end(const targets::attempt_end& end)
{
    if (ended_)
        return;
    const auto destination = attempt_->destination();
    const bool ran = attempt_->may_have_run() && end.result != outcome::not_run;
    attempt_ = nullptr;
    if (ran)
        ++runs_;
    excluded_.push_back(destination->id());
    if (end.result == outcome::not_run)
        return take_not_run(end);

    const bool refused = end.result == outcome::complete && !started_ &&
                         end.status >= first_server_error && may_run_again();
    if (end.result == outcome::complete && !refused)
        return finish_answer();
    take_failed(end);
}

void request::take_not_run(const targets::attempt_end& end)
{
    common::log_info("request_not_run", {{"request_id", call_.id},
                                         {"target", excluded_.back()},
                                         {"status", end.status},
                                         {"reason", end.reason}});
    const failure why{result_code::target_refused, end.reason};
    const auto most =
        call_.route->max_attempts + shared_.settings.max_refused_sends;
    if (sends_ >= most)
        return give_up(why);
    try_target(why);
}

void request::take_failed(const targets::attempt_end& end)
{
    common::log_info("request_attempt_failed", {{"request_id", call_.id},
                                                {"target", excluded_.back()},
                                                {"status", end.status},
                                                {"reason", end.reason},
                                                {"what", end.ec.message()},
                                                {"events", events_}});
    if (!started_)
        unsent_.clear();
    const failure why{result_code::target_failed, end.reason};
    const bool resumable = call_.repeats == fleet::repetition::resumable;
    if (!may_run_again() || (started_ && !(resumable && last_event_)))
        return give_up(why);
    try_target(why);
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
    complete_ = true;
    if (started_)
        return flush();

    // The whole answer is here: it goes out with its length.
    http::answer_head head;
    head.status = head_.status;
    head.content_type.clear();
    http::copy_end_to_end(head_.headers, head.headers);
    auto hooks = std::exchange(answer_, {});
    hooks.respond(std::move(head), std::move(unsent_));
    end("answered");
}

void request::start_answer()
{
    started_ = true;
    http::answer_head head;
    head.status = head_.status;
    head.content_type.clear();
    http::copy_end_to_end(head_.headers, head.headers);
    answer_.start(std::move(head));
}

void request::flush()
{
    if (ended_ || writing_)
        return;
    if (!started_)
        start_answer();
    if (unsent_.empty())
    {
        if (!complete_)
            return;
        auto hooks = std::exchange(answer_, {});
        hooks.finish();
        return end("answered");
    }
    writing_ = true;
    answer_.write(std::exchange(unsent_, {}),
                  [self = request_ptr(this)](std::error_code ec)
                  { self->written(ec); });
}

void request::written(std::error_code ec)
{
    writing_ = false;
    if (ended_)
        return;
    if (ec)
        return abandon();
    if (attempt_)
        attempt_->pause(false);
    if (!unsent_.empty() || complete_)
        flush();
}

void request::give_up(failure why)
{
    if (started_)
    {
        auto hooks = std::exchange(answer_, {});
        hooks.abort();
        return end("broken_off");
    }
    if (runs_ == 0)
    {
        const auto spread = shared_.random(static_cast<std::size_t>(
            shared_.settings.retry_after_spread.count()));
        return refuse(why, shared_.settings.retry_after + milliseconds(spread));
    }
    refuse({result_code::target_failed, why.reason}, milliseconds(0));
}

void request::refuse(failure why, milliseconds retry_after)
{
    http::rejection rejection(why.code);
    rejection.ran = runs_ == 0 ? common::execution::not_run
                               : common::execution::may_have_run;
    rejection.message = why.reason;
    rejection.retry_after = retry_after;
    auto hooks = std::exchange(answer_, {});
    hooks.refuse(rejection);
    end(common::info(why.code).name);
}

void request::abandon()
{
    if (!ended_)
        end("abandoned");
}

common::time_point request::end_of_patience() const
{
    // Silence means something only where another target may take over.
    const bool replaceable = attempt_ && unsent_.empty() && is_stream() &&
                             call_.repeats == fleet::repetition::resumable &&
                             runs_ + 1 < call_.route->max_attempts;
    if (!replaceable)
        return common::time_point::max();
    if (!first_event_at_)
        return attempt_->started_at() + shared_.settings.first_event_timeout;
    const auto gap = call_.route->gap_objective.count() == 0
                         ? shared_.settings.default_gap
                         : call_.route->gap_objective;
    return attempt_->last_progress() +
           duration_cast<common::duration>(gap *
                                           shared_.settings.gap_timeout_share);
}

void request::arm_timer()
{
    timer_.expires_at(std::min(timeout_at_, end_of_patience()));
    timer_.async_wait(
        [self = request_ptr(this)](const auto& ec)
        {
            if (!ec && !self->ended_)
                self->timer_fired();
        });
}

void request::timer_fired()
{
    const auto now = common::clock::now();
    if (now >= timeout_at_)
    {
        const bool may_have_run =
            runs_ > 0 || (attempt_ && attempt_->may_have_run());
        runs_ += may_have_run ? 1 : 0;
        if (started_)
            return give_up({result_code::deadline_exceeded, "timeout"});
        return refuse({result_code::deadline_exceeded, "timeout"},
                      milliseconds(0));
    }
    if (now < end_of_patience())
        return arm_timer();

    // The old target drops the request when its connection closes.
    const auto silent = std::exchange(attempt_, nullptr);
    silent->cancel_silent();
    ++runs_;
    excluded_.push_back(silent->destination()->id());
    take_failed({outcome::failed, 0,
                 make_error_code(result_code::deadline_exceeded), "silent"});
    if (!ended_)
        arm_timer();
}

void request::end(std::string_view how)
{
    const request_ptr self(this);
    ended_ = true;
    timer_.cancel();
    if (auto under_way = std::exchange(attempt_, nullptr))
        under_way->cancel();
    answer_ = {};
    log_end(how);
}

void request::log_end(std::string_view how) const
{
    const auto now = common::clock::now();
    common::log_info(
        "request_ended",
        {{"request_id", call_.id},
         {"outcome", how},
         {"status", head_.status},
         {"sends", sends_},
         {"runs", runs_},
         {"events", events_},
         {"first_event_ms",
          first_event_at_ ? ms_between(call_.received, *first_event_at_) : -1},
         {"total_ms", ms_between(call_.received, now)}});
}

} // namespace tanagertrack::online
