#ifndef TANAGERTRACK_TARGETS_ATTEMPT_HPP
#define TANAGERTRACK_TARGETS_ATTEMPT_HPP

#include "http/event_splitter.hpp"
#include "targets/protocol.hpp"
#include "targets/target.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace tanagertrack::targets
{

/// What an attempt sends, and how its answer is read.
struct attempt_request
{
    routing::work_class work = routing::work_class::online;

    /// The whole request, as the target's protocol wants it.
    std::string request;
    std::string request_id;

    /// The answer has no body, as for HEAD.
    bool without_body = false;

    /// Longest rest of a connection that may be used. A connection that the
    /// target closes as the request comes leaves it open whether it ran.
    std::chrono::milliseconds max_idle_time{std::chrono::hours(1)};

    /// Successful answers are streams of numbered events, given on whole.
    bool events = false;

    /// Event after which the stream goes on.
    std::optional<std::uint64_t> after_event;
};

/// How an attempt ended.
struct attempt_end
{
    enum class outcome : std::uint8_t
    {
        /// The answer is complete.
        complete,

        /// The target certainly did not run the request.
        not_run,

        /// No complete answer; the request may have run.
        failed
    };

    outcome result = outcome::failed;

    /// Status of the answer; 0: none came.
    unsigned status = 0;

    /// Why it failed.
    std::error_code ec;

    /// Short word for the log.
    std::string_view reason;
};

/// Progress of an attempt. Exactly one call of `on_end`, unless it is
/// cancelled, and nothing after it.
struct attempt_hooks
{
    /// Head of the answer that belongs to the request.
    std::function<void(const http::response_head&)> on_head;

    /// A piece of the body: whole events of a stream, each with its number.
    std::function<void(std::string_view, std::optional<std::uint64_t>)>
        on_piece;
    std::function<void(const attempt_end&)> on_end;
};

/// One try of a request on one target. Counts in the target's load while it
/// is under way. One thread.
class attempt
    : public boost::intrusive_ref_counter<attempt, boost::thread_unsafe_counter>
{
public:
    /// `protocol` outlives the attempt.
    attempt(const target_protocol& protocol, target_ptr destination,
            attempt_request request, attempt_hooks hooks);
    ~attempt();

    attempt(const attempt&) = delete;
    attempt& operator=(const attempt&) = delete;

    /// Connects and sends. Call once.
    void start();

    /// Ends the attempt; the target drops the request when it sees that the
    /// connection is closed. No hook is called afterwards.
    void cancel();

    /// Ends the attempt because its target fell silent.
    void cancel_silent();

    /// Stops and restarts reading the answer.
    void pause(bool paused);

    const target_ptr& destination() const
    {
        return destination_;
    }

    /// Whether any byte of the request may have reached the target.
    bool may_have_run() const
    {
        return sent_;
    }

    /// Whether the head of the answer came.
    bool is_answered() const
    {
        return answered_;
    }

    /// When the attempt started, and when the last byte of its answer came.
    common::time_point started_at() const
    {
        return started_at_;
    }

    common::time_point last_progress() const
    {
        return last_progress_;
    }

private:
    void connected(std::error_code ec, acquired_connection acquired);
    void take_head(const http::response_head& head);
    void take_body(std::string_view piece);
    void take_event(const http::stream_event& event);
    void take_end(std::error_code ec);
    void finish(attempt_end end);
    void judge_target(const attempt_end& end);
    void leave_load();

    const target_protocol& protocol_;
    target_ptr destination_;
    attempt_request request_;
    attempt_hooks hooks_;
    http::client_connection_ptr connection_;
    http::event_splitter splitter_;
    common::time_point started_at_;
    common::time_point last_progress_;

    /// Number of the last event that was given on.
    std::optional<std::uint64_t> last_event_;
    unsigned status_ = 0;
    bool counted_ = false;
    bool first_on_connection_ = false;
    bool sent_ = false;
    bool answered_ = false;
    bool not_run_ = false;
    bool replaced_ = false;
    bool splits_events_ = false;
    bool ended_ = false;
};

using attempt_ptr = boost::intrusive_ptr<attempt>;

} // namespace tanagertrack::targets

#endif
