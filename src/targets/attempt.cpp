#include "targets/attempt.hpp"

#include "common/result_code.hpp"
#include "http/status.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <utility>

namespace tanagertrack::targets
{

using common::result_code;
using outcome = attempt_end::outcome;

namespace
{

/// Maximum size of one event of a stream in bytes.
constexpr std::size_t max_event_bytes = 1024UL * 1024;

/// A longer measurement of the time between events is reported before its
/// stream ends, so that a change of a target's speed is noticed soon.
constexpr auto max_measurement = std::chrono::milliseconds(500);

/// Events of a measurement; with fewer, their times are too uncertain.
constexpr unsigned min_measured_events = 5;

/// Load reports of this age or older do not tell how many requests run.
constexpr auto max_running_age = std::chrono::milliseconds(300);

attempt_result result_of(const attempt_end& end, bool content_received)
{
    if (end.result == outcome::complete)
        return attempt_result::complete;
    if (end.result == outcome::not_run)
        return attempt_result::not_run;
    if (end.ec == result_code::protocol_error ||
        end.ec == result_code::answer_too_large)
        return attempt_result::invalid;
    return content_received ? attempt_result::lost_midway
                            : attempt_result::lost_at_start;
}

} // namespace

attempt::attempt(const target_protocol& protocol, target_ptr destination,
                 attempt_request request, attempt_hooks hooks)
    : protocol_(protocol), destination_(std::move(destination)),
      request_(std::move(request)), hooks_(std::move(hooks)),
      splitter_(max_event_bytes, [this](const http::stream_event& event)
                { handle_event(event); }),
      last_event_(request_.after_event)
{
}

attempt::~attempt()
{
    remove_from_load();
}

void attempt::start()
{
    BOOST_ASSERT(!counted_in_load_ && !ended_);
    counted_in_load_ = true;
    destination_->add_request(request_.work);
    started_at_ = common::clock::now();
    last_progress_ = started_at_;
    measured_running_ = running_requests();
    delayed_ = destination_->load.total() > destination_->load.slots;
    destination_->acquire_connection(
        request_.max_idle_time,
        [self = attempt_ptr(this)](std::error_code ec,
                                   acquired_connection acquired)
        { self->handle_connection(ec, std::move(acquired)); });
}

void attempt::handle_connection(std::error_code ec,
                                acquired_connection acquired)
{
    if (ended_)
    {
        // The attempt was cancelled in the meantime. Nothing was sent, so that
        // the connection can be used by another request.
        if (!ec)
            destination_->release_connection(acquired.connection);
        return;
    }
    if (ec)
        return finish({outcome::not_run, 0, ec, "connect_failed"});
    connection_ = std::move(acquired.connection);
    first_on_connection_ = !acquired.reused;
    sent_ = true;

    const attempt_ptr self(this);
    http::response_hooks hooks;
    hooks.on_head = [self](const http::response_head& head)
    {
        self->handle_head(head);
    };
    hooks.on_body = [self](std::string_view piece)
    {
        self->handle_body(piece);
    };
    hooks.on_end = [self](std::error_code result)
    {
        self->handle_answer_end(result);
    };
    connection_->send(std::move(request_.request), std::move(hooks),
                      request_.without_body);
}

void attempt::handle_head(const http::response_head& head)
{
    last_progress_ = common::clock::now();
    const auto kind =
        protocol_.classify(head, {request_.request_id, first_on_connection_});
    if (kind == answer_kind::foreign || kind == answer_kind::invalid)
        return fail_invalid(0, kind == answer_kind::foreign ? "foreign_answer"
                                                            : "invalid_answer");

    if (auto report = protocol_.read_load(head))
    {
        report->received_at = last_progress_;
        report->received_directly = true;
        destination_->load.reported = *report;
        reported_slowdown_ = report->slowdown;
        delayed_ = delayed_ || report->waiting != 0;
    }
    status_ = head.status;
    answered_ = true;
    signed_ = kind == answer_kind::answer;
    replaced_ = kind == answer_kind::replaced;
    if (!replaced_ && protocol_.is_leaving(head))
        destination_->hooks().on_leaving(*destination_);
    not_run_ = replaced_ || kind == answer_kind::not_run;
    splits_events_ = request_.events && http::is_success(status_);
    ends_with_connection_ = !head.headers.contains("Content-Length") &&
                            !head.headers.contains("Transfer-Encoding");
    if (!not_run_ && hooks_.on_head)
        hooks_.on_head(head);
}

void attempt::handle_body(std::string_view piece)
{
    if (not_run_ || ended_)
        return;
    if (!splits_events_)
    {
        last_progress_ = common::clock::now();
        if (http::is_success(status_))
            handle_content();
        return pass_on(piece, std::nullopt);
    }
    if (!splitter_.feed(piece) && !ended_)
        fail_invalid(status_, "event_too_large");
}

void attempt::handle_event(const http::stream_event& event)
{
    if (ended_)
        return;
    if (event.id && last_event_ && *event.id != *last_event_ + 1)
        return fail_invalid(status_, "event_out_of_order");
    if (event.id && ++events_ > request_.max_events)
        return fail_invalid(status_, "too_many_events");
    if (event.id || http::has_event_data(event.bytes))
        handle_content();
    if (event.id)
    {
        last_event_ = event.id;
        last_progress_ = common::clock::now();
        unnumbered_bytes_ = 0;
        measure_event();
    }
    else
        count_unnumbered(event.bytes.size());
    if (!ended_)
        pass_on(event.bytes, event.id);
}

void attempt::count_unnumbered(std::size_t bytes)
{
    unnumbered_bytes_ += bytes;
    if (unnumbered_bytes_ > request_.max_unnumbered_bytes)
        fail_invalid(status_, "events_without_numbers");
}

void attempt::pass_on(std::string_view piece,
                      std::optional<std::uint64_t> event)
{
    if (hooks_.on_piece)
        hooks_.on_piece(piece, event);
    if (too_large_ && !ended_)
        finish({outcome::failed, 0,
                make_error_code(result_code::answer_too_large),
                "answer_too_large"});
}

void attempt::refuse_large_answer()
{
    too_large_ = true;
}

void attempt::handle_answer_end(std::error_code ec)
{
    if (ended_)
        return;
    if (not_run_)
        return finish({outcome::not_run,
                       status_,
                       {},
                       replaced_ ? "target_replaced" : "refused_by_target"});
    if (ec)
        return finish({outcome::failed, status_, ec,
                       answered_ ? "answer_cut" : "no_answer"});
    if (splits_events_ && splitter_.pending() != 0)
        return fail_invalid(status_, "event_cut");

    // A target that crashes at the start of its answer ends the connection too.
    if (splits_events_ && ends_with_connection_ && !content_received_)
        return finish({outcome::failed, status_,
                       make_error_code(result_code::connection_lost),
                       "no_events"});
    finish({outcome::complete, status_, {}, "complete", signed_});
}

void attempt::fail_invalid(unsigned status, std::string_view reason)
{
    finish({outcome::failed, status,
            make_error_code(result_code::protocol_error), reason});
}

void attempt::finish(attempt_end end)
{
    const attempt_ptr self(this);
    ended_ = true;
    if (end.result == outcome::complete && http::is_success(status_))
        measure_end();
    remove_from_load();
    record_target_health(end);
    report_end(result_of(end, content_received_));
    if (auto connection = std::exchange(connection_, nullptr))
        destination_->release_connection(connection);
    auto hooks = std::exchange(hooks_, {});
    if (hooks.on_end)
        hooks.on_end(end);
}

void attempt::record_target_health(const attempt_end& end)
{
    using routing::target_failure;
    if (end.ec == result_code::answer_too_large)
        return;
    if (end.result == outcome::failed)
        return destination_->record_failure(target_failure::unanswered);
    if (replaced_)
        return destination_->record_failure(target_failure::replaced);
    if (end.result == outcome::not_run && !sent_)
        return destination_->record_failure(target_failure::unreachable);

    // A refusal, a server error that the request itself may have caused, and an
    // answer that may not be the target's change nothing.
    if (end.is_signed && status_ < http::first_server_error)
        destination_->record_success();
}

void attempt::handle_content()
{
    if (!std::exchange(content_received_, true))
        destination_->hooks().on_answer_begun(request_.prompt);
}

double attempt::running_requests() const
{
    const auto& load = destination_->load;
    const bool is_fresh =
        load.reported.running != 0 &&
        common::clock::now() - load.reported.received_at < max_running_age;
    const auto n = is_fresh ? load.reported.running : load.total();
    return std::clamp<std::uint32_t>(n, 1, load.slots);
}

void attempt::measure_event()
{
    if (measured_events_++ == 0)
    {
        measured_from_ = last_progress_;
        measured_running_ = running_requests();
        return;
    }
    if (measured_events_ < min_measured_events ||
        last_progress_ - measured_from_ < max_measurement)
        return;
    report_timing(routing::timing_kind::event, measured_from_,
                  measured_events_ - 1);
    measured_events_ = 1;
    measured_from_ = last_progress_;
    measured_running_ = running_requests();
}

void attempt::measure_end()
{
    using routing::timing_kind;
    if (splits_events_)
    {
        if (measured_events_ >= min_measured_events)
            report_timing(timing_kind::event, measured_from_,
                          measured_events_ - 1);
        return;
    }

    // Part of a body has no known amount of work, and a wait at the target
    // tells nothing about its speed.
    if (delayed_ || request_.after_event)
        return;
    const auto round_trip = std::chrono::duration<double, std::milli>(
        routing::round_trip_ms[static_cast<unsigned>(
            destination_->load.proximity)]);
    report_timing(
        request_.work == routing::work_class::online ? timing_kind::online_call
                                                     : timing_kind::batch_call,
        started_at_ + std::chrono::duration_cast<common::duration>(round_trip),
        1);
}

void attempt::report_timing(routing::timing_kind kind, common::time_point begin,
                            double units)
{
    const double running = (measured_running_ + running_requests()) / 2;
    destination_->hooks().on_timing(
        *destination_,
        {kind, begin, last_progress_, units, running, reported_slowdown_});
}

void attempt::report_end(attempt_result result)
{
    destination_->hooks().on_attempt_end(*destination_,
                                         {request_.work, request_.request_id,
                                          request_.prompt, result, answered_});
}

void attempt::cancel_silent()
{
    if (ended_)
        return;
    destination_->record_failure(routing::target_failure::unanswered);
    report_end(content_received_ ? attempt_result::lost_midway
                                 : attempt_result::lost_at_start);
    cancel();
}

void attempt::cancel()
{
    if (std::exchange(ended_, true))
        return;
    const attempt_ptr self(this);
    remove_from_load();
    hooks_ = {};
    if (auto connection = std::exchange(connection_, nullptr))
        connection->close();
}

void attempt::pause(bool paused)
{
    // Events that were not read in time do not show the target's speed.
    measured_events_ = 0;
    delayed_ = true;
    if (connection_)
        connection_->pause(paused);
}

void attempt::remove_from_load()
{
    if (std::exchange(counted_in_load_, false))
        destination_->remove_request(request_.work);
}

} // namespace tanagertrack::targets
