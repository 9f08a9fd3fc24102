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

/// Answer of a call that may not be repeated.
struct call_answer
{
    /// HTTP status; 0: the call may have run, and its answer is not known.
    unsigned status = 0;
    std::string content_type;
    std::string body;
};

/// What becomes of a request for such a call.
struct call_decision
{
    enum class outcome : std::uint8_t
    {
        /// The caller runs the call now, and reports its outcome.
        run,

        /// It ran before; `answer` is its outcome.
        answered,

        /// The key was used before with other content.
        conflict,

        /// The call can't be recorded: `ec`. It did not run, unless `ec` is
        /// `log_append_unknown`: then it will not run for this request.
        refused
    };

    outcome result = outcome::refused;
    std::error_code ec;
    call_answer answer;
};

/// Makes online calls that may not be repeated run at most once: the first
/// intent in the log runs, whoever asks. One thread.
class at_most_once_calls
{
public:
    using decision_handler = std::function<void(const call_decision&)>;

    at_most_once_calls(boost::asio::io_context& context, job_log& jobs);

    at_most_once_calls(const at_most_once_calls&) = delete;
    at_most_once_calls& operator=(const at_most_once_calls&) = delete;

    /// Asks to run a call. `call` identifies it, `content_hash` what it asks
    /// for, `attempt` this request. `done` is called once, by `deadline`.
    void request_run(const std::string& call, std::string content_hash,
                     std::string attempt, common::time_point deadline,
                     decision_handler done);

    /// Reports the outcome of a call that was permitted. `recorded` is called
    /// when the store has it, or can't take it.
    void report(const std::string& call, const call_answer& answer,
                std::function<void(std::error_code)> recorded);

    /// Reports that a call that was permitted certainly did not run: its key
    /// may be used again.
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

    /// Requests that wait for their intent, by attempt, and those that wait
    /// for the outcome of another one, by call.
    std::map<std::string, pending_ptr> awaiting_intent_;
    std::multimap<std::string, pending_ptr> awaiting_outcome_;
};

} // namespace tanagertrack::batch

#endif
