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

/// Where the answer of a request goes. The answer is either one rejection, or
/// a whole answer, or a start, pieces, and an end or a break.
struct answer_hooks
{
    std::function<void(const http::rejection&)> refuse;
    std::function<void(http::answer_head, std::string body)> respond;
    std::function<void(http::answer_head)> start;

    /// Writes a piece; `written` is called when the next one may follow.
    std::function<void(std::string, std::function<void(std::error_code)>)>
        write;
    std::function<void()> finish;

    /// Breaks the answer off, so that it does not look complete.
    std::function<void()> abort;
};

/// One online request: its placement, its attempts one after the other, and
/// the relay of the answer. One thread. Keeps itself alive until it has ended.
class request
    : public boost::intrusive_ref_counter<request, boost::thread_unsafe_counter>
{
public:
    /// `shared` outlives the request. The hooks are dropped at its end.
    request(environment& shared, call details, answer_hooks answer);

    request(const request&) = delete;
    request& operator=(const request&) = delete;

    /// Starts the first attempt, or refuses.
    void start();

    /// The caller is gone.
    void abandon();

    const call& details() const
    {
        return call_;
    }

private:
    /// Why no further attempt is made, or why none was made at all.
    struct failure
    {
        common::result_code code;
        std::string_view reason;
    };

    void try_target(failure after);
    std::vector<targets::target_ptr> candidates() const;
    void send_to(const targets::target_ptr& destination,
                 std::chrono::milliseconds wait);
    targets::attempt_hooks make_hooks();
    void take_head(const http::response_head& head);
    void take_piece(std::string_view piece, std::optional<std::uint64_t> event);
    void take_end(const targets::attempt_end& end);
    void take_not_run(const targets::attempt_end& end);
    void take_failed(const targets::attempt_end& end);
    void finish_answer();
    void start_answer();
    void flush();
    void written(std::error_code ec);
    void refuse(failure why, std::chrono::milliseconds retry_after);
    void give_up(failure why);
    void end(std::string_view outcome);
    bool may_run_again() const;
    bool is_stream() const;
    common::time_point end_of_patience() const;
    void arm_timer();
    void timer_fired();
    void log_end(std::string_view outcome) const;

    environment& shared_;
    call call_;
    answer_hooks answer_;
    boost::asio::steady_timer timer_;
    common::time_point timeout_at_;
    bool ended_ = false;

    // Attempts.
    std::string service_;
    targets::attempt_ptr attempt_;
    std::vector<std::string> excluded_;

    /// Targets on which the request may have run, and all sends.
    std::uint32_t runs_ = 0;
    std::uint32_t sends_ = 0;

    // Answer.
    http::response_head head_;
    std::string unsent_;
    std::optional<std::uint64_t> last_event_;
    std::uint32_t events_ = 0;
    std::optional<common::time_point> first_event_at_;
    bool started_ = false;
    bool writing_ = false;
    bool complete_ = false;
};

using request_ptr = boost::intrusive_ptr<request>;

} // namespace tanagertrack::online

#endif
