#ifndef TANAGERTRACK_ONLINE_REQUEST_HPP
#define TANAGERTRACK_ONLINE_REQUEST_HPP

#include "http/error_answer.hpp"
#include "http/http_message.hpp"
#include "online/call.hpp"
#include "online/environment.hpp"
#include "targets/attempt.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::online
{

/// Callbacks that write the response to the caller. One of these sequences is
/// called: `refuse`; `respond`; or `start`, any number of `write`, and `finish`
/// or `abort`. It may stop at any point if the request is abandoned.
struct answer_hooks
{
    /// Sends an error response.
    std::function<void(const http::rejection&)> refuse;

    /// Sends a complete response.
    std::function<void(http::answer_head, std::string body)> respond;

    /// Sends the head of a response whose body follows in pieces.
    std::function<void(http::answer_head)> start;

    /// Writes a piece of the body. Its handler is called with the error, if
    /// any, when the next piece may be written.
    std::function<void(std::string, std::function<void(std::error_code)>)>
        write;

    /// Marks the end of a complete response.
    std::function<void()> finish;

    /// Ends the response in a way that the caller can tell from a complete
    /// one.
    std::function<void()> abort;
};

/// Executes one online request: chooses targets, makes attempts one after the
/// other, and relays the response to the caller. Not thread-safe: all calls are
/// made on the thread of `environment::context`. Holds references to itself
/// until it has ended.
class request
    : public boost::intrusive_ref_counter<request, boost::thread_unsafe_counter>
{
public:
    /// `env` must outlive the request. The hooks are released when the request
    /// ends.
    request(environment& env, call details, answer_hooks answer);

    request(const request&) = delete;
    request& operator=(const request&) = delete;

    /// Starts the first attempt, or refuses the request. Call once.
    void start();

    /// Cancels the request because the caller has disconnected. No hook is
    /// called afterwards.
    void abandon();

    const call& details() const
    {
        return call_;
    }

private:
    /// Cause that is reported if no further attempt is made.
    struct failure
    {
        common::result_code code;
        std::string_view reason;
    };

    /// Sends the request to the target that the placement chooses, or, before
    /// the first send, refuses it if the estimated wait is too long. Fails the
    /// request with `last_failure` if no target or too little time is left, and
    /// for its prompt if that crashes targets.
    void try_next_target(failure last_failure);

    /// Returns the targets of the service that were not tried yet.
    std::vector<targets::target_ptr> candidates() const;
    void send_to(const targets::target_ptr& destination,
                 std::chrono::milliseconds wait);
    targets::attempt_hooks make_attempt_hooks();
    void handle_head(const http::response_head& head);
    void handle_piece(std::string_view piece,
                      std::optional<std::uint64_t> event);

    /// Returns true if the received part of the response is not written yet, so
    /// that another target can still answer in place of this one.
    bool is_held() const;
    void handle_attempt_end(const targets::attempt_end& end);
    void handle_not_run(const targets::attempt_end& end);
    void handle_attempt_failure(const targets::attempt_end& end);

    /// Cancels the running attempt and treats it as failed for this reason.
    void leave_target(const targets::attempt_end& reason);

    /// Returns true if the answer with this head can follow the part of the
    /// answer that the caller has already received.
    bool continues_answer(const http::response_head& head) const;

    /// Returns true if the started answer is a stream that another target can
    /// continue after the last event.
    bool is_resumable_answer() const;
    void finish_answer();
    void start_answer();

    /// Writes buffered bytes, or the end of a complete response, unless a write
    /// is pending.
    void flush();

    void handle_write(std::error_code ec);
    void refuse(failure cause, std::chrono::milliseconds retry_after);

    /// Ends the request because it would crash its target.
    void refuse_prompt(std::chrono::milliseconds retry_after);

    /// Ends the request without a complete response: aborts the response if it
    /// was started, refuses the request otherwise.
    void fail_request(failure cause);

    /// Ends the request: cancels the attempt, releases the hooks and logs
    /// `result`.
    void finish_request(std::string_view result);

    /// Returns true if a target may have run the request.
    bool may_have_run() const;

    /// Returns true if the request may run on one more target.
    bool may_run_again() const;
    bool is_stream() const;

    /// Returns the time at which the request is moved to another target if the
    /// current one makes no progress until then; time_point::max() if it can't
    /// be moved.
    common::time_point silence_timeout_at() const;

    void arm_timer();
    void handle_timeout();
    void log_end(std::string_view result) const;

    environment& environment_;
    call call_;
    answer_hooks answer_;
    boost::asio::steady_timer timer_;

    /// Earlier of the route's timeout and the caller's deadline.
    common::time_point timeout_at_;
    bool ended_ = false;

    /// True once the request has passed `caller_hooks::admit`.
    bool admitted_ = false;

    // Attempts.
    std::string service_;
    targets::attempt_ptr attempt_;

    /// Ids of the targets that were tried.
    std::vector<std::string> tried_targets_;

    /// Number of targets that may have run the request.
    std::uint32_t runs_ = 0;

    /// Number of attempts, including those that were refused.
    std::uint32_t sends_ = 0;

    // Response.
    http::response_head head_;

    /// Bytes of the body that were received and not yet written.
    std::string unsent_;

    /// Number of the last complete event that was received; at first,
    /// `call::after_event`.
    std::optional<std::uint64_t> last_event_;
    std::uint32_t event_count_ = 0;
    std::optional<common::time_point> first_event_at_;

    /// True once the head was sent: the request can't be refused any more.
    bool answer_started_ = false;
    bool write_pending_ = false;

    /// True once the target has sent a complete response.
    bool answer_complete_ = false;
};

using request_ptr = boost::intrusive_ptr<request>;

} // namespace tanagertrack::online

#endif
