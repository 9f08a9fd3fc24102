#ifndef TANAGERTRACK_BATCH_AT_MOST_ONCE_CALLS_HPP
#define TANAGERTRACK_BATCH_AT_MOST_ONCE_CALLS_HPP

#include "batch/job_log.hpp"
#include "common/clock.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>

namespace tanagertrack::batch
{

/// Response to a call that must not run more than once.
struct call_answer
{
    /// HTTP status; 0: the call may have run, and its response is unknown.
    unsigned status = 0;
    std::string content_type;
    std::string body;
};

/// Decision on a request to run such a call.
struct call_decision
{
    enum class outcome : std::uint8_t
    {
        /// The requester runs the call now and reports its outcome.
        run,

        /// The call ran before, or may have; `answer` is its outcome.
        answered,

        /// The key was used before with other content.
        conflict,

        /// The call can't be recorded: `ec`. It does not run for this request.
        /// If `ec` is `log_append_unknown`, its intent may have been appended
        /// all the same; otherwise the call did not run.
        refused
    };

    outcome result = outcome::refused;
    std::error_code ec;
    call_answer answer;
};

/// Ensures that each online call passed to `request_run` runs at most once:
/// only the request whose intent is the first one in the log runs the call,
/// whichever process received it. Not thread-safe: all calls are made on the
/// thread of the io_context.
class at_most_once_calls
{
public:
    using decision_handler = std::function<void(const call_decision&)>;

    at_most_once_calls(boost::asio::io_context& context, job_log& jobs);

    at_most_once_calls(const at_most_once_calls&) = delete;
    at_most_once_calls& operator=(const at_most_once_calls&) = delete;

    /// Requests to run a call. `call` identifies the call, `content_hash` its
    /// content and `attempt` this request. `done` is called once, at `deadline`
    /// at the latest.
    void request_run(const std::string& call, std::string content_hash,
                     std::string attempt, common::time_point deadline,
                     decision_handler done);

    /// Records the outcome of a call whose decision was `run`. `recorded` is
    /// called when the store has the record, or with an error.
    void report(const std::string& call, const call_answer& answer,
                std::function<void(std::error_code)> recorded);

    /// Records that a call whose decision was `run` certainly did not run: its
    /// key may be used again.
    void report_not_run(const std::string& call, const std::string& attempt);

private:
    struct pending;
    using pending_ptr = std::shared_ptr<pending>;

    void append_intent(const pending_ptr& request);
    void handle_intent(const proto::CallIntent& intent,
                       state::intent_result result);
    void handle_completion(const std::string& call);
    void wait_for_outcome(const pending_ptr& request);
    void read_outcome(const pending_ptr& request, std::uint64_t offset);
    void handle_timeout(const pending_ptr& request);
    void finish(const pending_ptr& request, const call_decision& decision);

    boost::asio::io_context& context_;
    job_log& jobs_;

    /// Requests whose intent was not read back yet, by attempt, and those that
    /// wait for the outcome of an earlier request, by call.
    std::map<std::string, pending_ptr> awaiting_intent_;
    std::multimap<std::string, pending_ptr> awaiting_outcome_;
};

} // namespace tanagertrack::batch

#endif
