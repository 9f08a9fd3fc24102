#include "agent/work_session.hpp"

#include "agent/agent_metrics.hpp"
#include "agent/completion_json.hpp"
#include "agent/work_dispatcher.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <utility>

namespace tanagertrack::agent
{

using common::result_code;
using std::chrono::milliseconds;

namespace
{

/// Time for work that states no deadline.
constexpr milliseconds default_deadline{120000};

/// Text kept for the resume of a batch item; an item with more is stopped.
constexpr std::size_t max_text_bytes = 1024UL * 1024;

constexpr std::size_t max_path_bytes = 4096;
constexpr std::size_t max_field_bytes = 256;

/// Whether the text can stand in a line of an HTTP header.
bool is_header_text(std::string_view text, std::size_t max_bytes)
{
    return text.size() <= max_bytes &&
           std::ranges::all_of(text, [](unsigned char c)
                               { return c >= 0x20 && c != 0x7f; });
}

bool is_method(std::string_view text)
{
    return !text.empty() && text.size() <= 16 &&
           std::ranges::all_of(text,
                               [](char c) { return c >= 'A' && c <= 'Z'; });
}

bool is_path(std::string_view text)
{
    return text.starts_with('/') && is_header_text(text, max_path_bytes) &&
           text.find(' ') == std::string_view::npos;
}

double seconds_between(common::time_point from, common::time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

/// Events closer together than this arrived together and say nothing about
/// the time of a step.
constexpr double min_step_seconds = 0.0002;

constexpr unsigned too_many_requests = 429;

} // namespace

work_session::work_session(work_dispatcher& owner, std::uint64_t id,
                           transport::message_stream_ptr stream)
    : owner_(owner), id_(id), connection_id_(stream->connection_id()),
      stream_(std::move(stream))
{
}

work_session::~work_session()
{
    if (run_)
        run_->cancel();
}

common::time_point work_session::now() const
{
    return common::clock::now();
}

result_code work_session::parse(std::string_view message,
                                common::time_point now)
{
    if (!request_.ParseFromArray(message.data(),
                                 static_cast<int>(message.size())))
        return result_code::protocol_error;
    received_ = now;
    const milliseconds wanted(request_.deadline_ms());
    deadline_ = now + (wanted.count() != 0 ? wanted : default_deadline);
    const bool valid =
        is_method(request_.method()) && is_path(request_.path()) &&
        is_header_text(request_.content_type(), max_field_bytes) &&
        is_header_text(request_.work_id(), max_field_bytes);
    return valid ? result_code::ok : result_code::invalid_request;
}

// ---- run ----

bool work_session::run(common::time_point now)
{
    started_ = now;
    text_ = preemptible() ? request_.resume_text() : std::string();
    owner_.metrics().of(kind()).queue_wait.record(
        seconds_between(received_, now));

    auto call = make_call(now);
    const bool extract = call.stream && owner_.is_engine();
    auto& owner = owner_;
    const auto id = id_;
    // The dispatcher forgets a session that has ended, so hooks look it up.
    const auto on = [&owner, id](auto step)
    {
        if (auto* it = owner.find(id))
            step(*it);
    };
    target_run_hooks hooks;
    hooks.on_sent = [on]
    {
        on([](auto& it) { it.on_sent(); });
    };
    hooks.on_event = [on](const target_event& event)
    {
        on([&](auto& it) { it.on_event(event); });
    };
    hooks.on_finished = [on](const services::target_answer& answer)
    {
        on([&](auto& it) { it.on_finished(answer); });
    };
    hooks.on_failed = [on](std::error_code ec)
    {
        on([&](auto& it) { it.on_failed(ec); });
    };
    run_ = owner_.runner().start(std::move(call), extract, std::move(hooks));
    return run_ != nullptr;
}

services::target_request work_session::make_call(common::time_point now)
{
    services::target_request call;
    call.method = request_.method();
    call.path = request_.path();
    call.content_type = request_.content_type();
    call.work_id = request_.work_id();
    call.repeatable = request_.repeatable();
    call.stream = request_.stream();
    call.timeout =
        std::max(milliseconds(1),
                 std::chrono::duration_cast<milliseconds>(deadline_ - now));

    // The body is needed once: a session runs at most one call.
    call.body = std::move(*request_.mutable_body());
    const bool completion =
        owner_.is_engine() && is_completion_path(request_.path());
    assembled_ = completion && preemptible() && !request_.stream() &&
                 can_be_assembled(call.body);
    if (completion && (assembled_ || !request_.resume_text().empty()))
    {
        const bool stream = assembled_ || request_.stream();
        auto body = with_resume(call.body, request_.resume_text(), stream);
        if (body)
            call.body = std::move(*body);
        call.stream = stream;
    }
    return call;
}

// ---- events of the call ----

void work_session::on_sent()
{
    sent_ = true;
    owner_.target_reached();
    proto::WorkEvent event;
    event.mutable_accepted();
    stream_->send(event);
}

void work_session::on_event(const target_event& event)
{
    take_times(now());
    if (!event.text.empty())
        ++events_with_text_;
    owner_.progress(id_, event.text.size());
    if (preemptible())
        text_ += event.text;
    if (assembled_)
        last_data_ = event.data;
    if (text_.size() > max_text_bytes)
    {
        stop(result_code::target_failed);
        return;
    }
    if (!request_.stream())
        return;

    proto::WorkEvent out;
    out.mutable_text()->set_data(event.data);
    out.mutable_text()->set_text(event.text);
    // An entry that reads this slowly has given its caller up long ago.
    if (!stream_->send(out) &&
        stream_->queued_bytes() > owner_.max_unread_bytes())
        stop(result_code::cancelled);
}

void work_session::take_times(common::time_point now)
{
    auto& metrics = owner_.metrics().of(kind());
    auto& limit = owner_.limit();
    const bool online = kind() == work_class::online;
    if (last_event_ == common::time_point())
    {
        const auto seconds = seconds_between(started_, now);
        metrics.first_token.record(seconds);
        if (online)
            limit.online_first_token(seconds, now);
    }
    else
    {
        const auto seconds = seconds_between(last_event_, now);
        metrics.step.record(seconds);
        if (seconds >= min_step_seconds)
            limit.step(seconds, online, now);
    }
    last_event_ = now;
}

void work_session::on_finished(const services::target_answer& answer)
{
    const auto status = answer.http_status;
    const bool batch = kind() == work_class::batch;
    // An engine that is full says so before it runs anything.
    if (status == too_many_requests && owner_.is_engine())
        refuse(result_code::target_refused);
    else if (status >= 500)
        fail(result_code::target_failed, answer, false);
    else if (status == too_many_requests && batch)
        fail(result_code::target_rejected, answer, false);
    else if (status >= 400 && batch)
        fail(result_code::target_rejected, answer, true);
    else
        finish(answer);
}

void work_session::finish(const services::target_answer& answer)
{
    proto::WorkEvent event;
    auto& finished = *event.mutable_finished();
    finished.set_http_status(answer.http_status);
    finished.set_tokens(events_with_text_);
    const bool streamed = assembled_ && answer.body.empty();
    finished.set_content_type(streamed ? "application/json"
                                       : answer.content_type);
    finished.set_body(streamed ? assembled_answer(request_.path(), last_data_,
                                                  text_, events_with_text_)
                               : answer.body);
    owner_.metrics().of(kind()).finished.add();
    run_.reset();
    end(std::move(event));
}

void work_session::on_failed(std::error_code ec)
{
    const auto code = common::to_result_code(ec);
    const bool not_sent = code == result_code::no_target ||
                          code == result_code::deadline_before_start;
    if (code == result_code::no_target)
        owner_.target_refused();
    if (not_sent)
        refuse(code);
    else
        fail(code, {}, false);
}

// ---- end ----

void work_session::preempt()
{
    owner_.metrics().preemptions.add();
    proto::WorkEvent event;
    event.mutable_preempted()->set_text(text_);
    end(std::move(event));
}

void work_session::refuse(result_code code)
{
    owner_.metrics().refused(code);
    proto::WorkEvent event;
    auto& refused = *event.mutable_refused();
    refused.set_code(static_cast<std::uint32_t>(code));
    refused.set_message(std::string(common::info(code).text));
    end(std::move(event));
}

void work_session::stop(result_code code)
{
    fail(code, {}, false);
}

void work_session::fail(result_code code, const services::target_answer& answer,
                        bool permanent)
{
    owner_.metrics().of(kind()).failed.add();
    proto::WorkEvent event;
    auto& failed = *event.mutable_failed();
    failed.set_code(static_cast<std::uint32_t>(code));
    failed.set_http_status(answer.http_status);
    failed.set_body(answer.body);
    failed.set_permanent(permanent);
    // The request may be on its way although `on_sent` was not seen yet.
    failed.set_may_have_run(true);
    end(std::move(event));
}

void work_session::end(proto::WorkEvent event)
{
    // The destructor cancels the call; the status counts without this work.
    const auto self = owner_.forget(id_);
    if (self && self->run_)
        std::exchange(self->run_, nullptr)->cancel();
    owner_.fill_status(*event.mutable_status(), connection_id_);
    stream_->send(event);
    stream_->finish();
    owner_.changed();
}

} // namespace tanagertrack::agent
