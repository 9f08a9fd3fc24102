#ifndef TANAGERTRACK_TARGETS_ATTEMPT_HPP
#define TANAGERTRACK_TARGETS_ATTEMPT_HPP

#include "http/event_splitter.hpp"
#include "routing/prompt.hpp"
#include "targets/protocol.hpp"
#include "targets/target.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace tanagertrack::targets
{

/// Value of `attempt_request::max_unnumbered_bytes` for streams that may be
/// continued: room for the comments with which a target keeps a connection
/// open.
constexpr std::size_t unnumbered_bytes_limit = 64UL * 1024;

/// What an attempt sends, and how its response is read.
struct attempt_request
{
    /// Class of work as which the attempt is counted in the target's load.
    routing::work_class work = routing::work_class::online;

    /// Complete HTTP request in the target's protocol.
    std::string request;

    /// Id in `request`; the response must carry the same one.
    std::string request_id;

    /// True for HEAD requests, whose responses have no body.
    bool without_body = false;

    /// A connection that was idle for longer is not reused. If the target
    /// closes an idle connection while the request is sent, it is unknown
    /// whether the request ran.
    std::chrono::milliseconds max_idle_time{std::chrono::hours(1)};

    /// True if a successful response is a stream of numbered events. The events
    /// are then passed on one by one, each when it is complete.
    bool events = false;

    /// Number of the event after which the stream continues, if any.
    std::optional<std::uint64_t> after_event;

    /// Numbered events after which a further one is an error of the target.
    std::uint64_t max_events = std::numeric_limits<std::uint64_t>::max();

    /// Bytes without a numbered event after which a stream of events fails: the
    /// recipient needs the numbers to continue the stream at another target.
    std::size_t max_unnumbered_bytes = std::numeric_limits<std::size_t>::max();

    /// Parts of the request's prompt.
    routing::prompt prompt;
};

/// Result of an attempt.
struct attempt_end
{
    enum class outcome : std::uint8_t
    {
        /// The response was received completely, with any status.
        complete,

        /// The target has certainly not run the request.
        not_run,

        /// No complete response was received; the request may have run.
        failed
    };

    outcome result = outcome::failed;

    /// HTTP status of the response; 0 if none was received.
    unsigned status = 0;

    /// Error of the connection or of the response; empty for a complete
    /// response and for a refusal.
    std::error_code ec;

    /// Short name of the result, for logs and error messages.
    std::string_view reason;

    /// True if the response certainly comes from the target.
    bool is_signed = false;
};

/// Callbacks of an attempt. `on_end` is called exactly once, after all other
/// callbacks. After a cancellation no callback is called.
struct attempt_hooks
{
    /// Called with the head of the response. Not called for a response to
    /// another request or for a refusal.
    std::function<void(const http::response_head&)> on_head;

    /// Called for each piece of the body, without a number. For a stream of
    /// events, called for each complete event, with its number if it has one.
    std::function<void(std::string_view, std::optional<std::uint64_t>)>
        on_piece;
    std::function<void(const attempt_end&)> on_end;
};

/// Sends a request to one target and reads the response. Counts in the target's
/// load while it runs. Not thread-safe: all calls are made on the thread of the
/// io_context.
class attempt
    : public boost::intrusive_ref_counter<attempt, boost::thread_unsafe_counter>
{
public:
    /// `protocol` must outlive the attempt.
    attempt(const target_protocol& protocol, target_ptr destination,
            attempt_request request, attempt_hooks hooks);
    ~attempt();

    attempt(const attempt&) = delete;
    attempt& operator=(const attempt&) = delete;

    /// Connects to the target and sends the request. Call once.
    void start();

    /// Cancels the attempt and closes its connection, upon which the target
    /// cancels the request. No hook is called afterwards.
    void cancel();

    /// Cancels the attempt because its target has stopped sending, and records
    /// this as a failure of the target.
    void cancel_silent();

    /// Ends the attempt with `answer_too_large` once the running `on_piece` has
    /// returned. This is no failure of the target: the request may have asked
    /// for that much.
    void refuse_large_answer();

    /// Stops reading the response if `paused` is true, resumes it otherwise.
    void pause(bool paused);

    const target_ptr& destination() const
    {
        return destination_;
    }

    /// Returns true if any byte of the request may have reached the target.
    bool may_have_run() const
    {
        return sent_;
    }

    /// Returns true if the head of the response was received.
    bool is_answered() const
    {
        return answered_;
    }

    /// Time of the call of `start`.
    common::time_point started_at() const
    {
        return started_at_;
    }

    /// Time at which the last part of the response was received; at first, the
    /// time of the start. Of a stream of events, only the head and whole
    /// numbered events count.
    common::time_point last_progress() const
    {
        return last_progress_;
    }

private:
    void handle_connection(std::error_code ec, acquired_connection acquired);
    void handle_head(const http::response_head& head);
    void handle_body(std::string_view piece);
    void handle_event(const http::stream_event& event);

    /// Counts the bytes since the last numbered event and ends the attempt if
    /// there are too many.
    void count_unnumbered(std::size_t bytes);

    /// Calls `on_piece`.
    void pass_on(std::string_view piece, std::optional<std::uint64_t> event);
    void handle_answer_end(std::error_code ec);

    /// Ends the attempt because the response is not valid. `status` is that of
    /// the response, or 0 if it is not one to the request.
    void fail_invalid(unsigned status, std::string_view reason);

    /// Ends the attempt and calls `on_end`.
    void finish(attempt_end end);

    /// Counts an event and calls the hook of the process with the time between
    /// events, several times for a long stream.
    void measure_event();

    /// Calls the hook of the process with the measurement of a complete
    /// response.
    void measure_end();

    /// Calls the hook of the process with a measurement that ends now.
    void report_timing(routing::timing_kind kind, common::time_point begin,
                       double units);

    /// Returns the number of requests that the target runs now, as far as
    /// known.
    double running_requests() const;

    /// Calls the hook of the process for the first content of a successful
    /// response.
    void handle_content();

    /// Records the result in the target's health.
    void record_target_health(const attempt_end& end);

    /// Calls the hook of the process for ended attempts.
    void report_end(attempt_result result);

    /// Removes the attempt from the target's load, if it is counted there.
    void remove_from_load();

    const target_protocol& protocol_;
    target_ptr destination_;
    attempt_request request_;
    attempt_hooks hooks_;
    http::client_connection_ptr connection_;
    http::event_splitter splitter_;
    common::time_point started_at_;
    common::time_point last_progress_;

    /// Number of the last event that was passed on; at first,
    /// `attempt_request::after_event`.
    std::optional<std::uint64_t> last_event_;
    unsigned status_ = 0;

    /// Numbered events that were received.
    std::uint64_t events_ = 0;

    /// Bytes of the events since the last numbered one.
    std::size_t unnumbered_bytes_ = 0;

    /// Start of the current measurement of the time between events, and the
    /// events since then, including the first one.
    common::time_point measured_from_;
    unsigned measured_events_ = 0;

    /// Running requests at the start of the measurement.
    double measured_running_ = 0;

    /// Slowdown that the response reports; 0 if it does not.
    double reported_slowdown_ = 0;

    /// True if the reading of the response was paused, or if the request waited
    /// at the target.
    bool delayed_ = false;

    /// True while the attempt counts in the target's load.
    bool counted_in_load_ = false;
    bool first_on_connection_ = false;

    /// True once sending the request has begun.
    bool sent_ = false;

    /// True once the head of the response was received.
    bool answered_ = false;

    /// True once content of a successful response was received.
    bool content_received_ = false;

    /// True if the response says that the target did not run the request.
    bool not_run_ = false;

    /// True if another process responds at the target's address.
    bool replaced_ = false;

    /// True if the response has no length and ends with its connection.
    bool ends_with_connection_ = false;

    /// True once `refuse_large_answer` was called.
    bool too_large_ = false;

    /// True if the head of the response has the target's signature.
    bool signed_ = false;

    /// True if the body is passed on event by event.
    bool splits_events_ = false;
    bool ended_ = false;
};

using attempt_ptr = boost::intrusive_ptr<attempt>;

} // namespace tanagertrack::targets

#endif
