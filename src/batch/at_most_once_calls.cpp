#include "batch/at_most_once_calls.hpp"

#include "common/logging.hpp"
#include "common/result_code.hpp"
#include "common/timer_wait.hpp"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace tanagertrack::batch
{

using common::result_code;
using outcome = call_decision::outcome;
using state::intent_result;

/// A request that waits for its decision.
struct at_most_once_calls::pending
{
    explicit pending(boost::asio::io_context& context) : timer(context)
    {
    }

    std::string call;
    std::string content_hash;
    std::string attempt;
    decision_handler done;
    boost::asio::steady_timer timer;
    store::append_id intent_append = 0;

    /// True if there is an earlier intent: the call may have run.
    bool has_earlier_intent = false;
};

at_most_once_calls::at_most_once_calls(boost::asio::io_context& context,
                                       job_log& jobs)
    : context_(context), jobs_(jobs)
{
    job_listener listener;
    listener.changes.on_call_intent =
        [this](const proto::CallIntent& intent, intent_result result)
    {
        handle_intent(intent, result);
    };
    listener.changes.on_call_completed = [this](const std::string& call)
    {
        handle_completion(call);
    };
    jobs_.add_listener(std::move(listener));
}

void at_most_once_calls::request_run(const std::string& call,
                                     std::string content_hash,
                                     std::string attempt,
                                     common::time_point deadline,
                                     decision_handler done)
{
    const auto request = std::make_shared<pending>(context_);
    request->call = call;
    request->content_hash = std::move(content_hash);
    request->attempt = std::move(attempt);
    request->done = std::move(done);
    if (!jobs_.is_current() || !jobs_.reachable())
        return finish(request, {outcome::refused,
                                make_error_code(result_code::log_unavailable),
                                {}});
    common::wait_until(request->timer, deadline,
                       [this, request](const auto& ec)
                       {
                           if (!ec && request->done)
                               handle_timeout(request);
                       });
    append_intent(request);
}

void at_most_once_calls::append_intent(const pending_ptr& request)
{
    awaiting_intent_[request->attempt] = request;
    proto::JobRecord record;
    auto& intent = *record.mutable_call_intent();
    intent.set_call(request->call);
    intent.set_content_hash(request->content_hash);
    intent.set_member(jobs_.member());
    intent.set_attempt(request->attempt);
    intent.set_created_ms(common::unix_time_ms());
    request->intent_append =
        jobs_.append({record}, false,
                     [this, request](std::error_code ec, std::uint64_t)
                     {
                         if (ec && request->done)
                             return finish(request, {outcome::refused, ec, {}});
                         jobs_.read_soon();
                     });
}

void at_most_once_calls::handle_intent(const proto::CallIntent& intent,
                                       intent_result result)
{
    const auto found = awaiting_intent_.find(intent.attempt());
    if (found == awaiting_intent_.end())
    {
        // The request has already ended without running the call. Its intent is
        // undone, so that the key can be used again.
        if (result == intent_result::first && intent.member() == jobs_.member())
            report_not_run(intent.call(), intent.attempt());
        return;
    }
    const auto request = found->second;
    awaiting_intent_.erase(found);
    common::log_info("call_intent", {{"call", request->call},
                                     {"request_id", request->attempt},
                                     {"verdict", static_cast<int>(result)}});
    switch (result)
    {
    case intent_result::first:
        return finish(request, {outcome::run, {}, {}});
    case intent_result::conflict:
        return finish(request, {outcome::conflict, {}, {}});
    case intent_result::repeated:
    case intent_result::no_open_item:
        request->has_earlier_intent = true;
        return wait_for_outcome(request);
    }
}

void at_most_once_calls::wait_for_outcome(const pending_ptr& request)
{
    const auto* call = jobs_.table().find_call(request->call);
    if (call != nullptr && call->outcome_at)
        return read_outcome(request, *call->outcome_at);
    awaiting_outcome_.emplace(request->call, request);
}

void at_most_once_calls::handle_completion(const std::string& call)
{
    const auto [begin, end] = awaiting_outcome_.equal_range(call);
    std::vector<pending_ptr> ready;
    for (auto it = begin; it != end; ++it)
        ready.push_back(it->second);
    awaiting_outcome_.erase(begin, end);
    for (const auto& request : ready)
    {
        const auto* known = jobs_.table().find_call(call);
        if (!request->done)
            continue;
        if (known != nullptr && known->outcome_at)
            read_outcome(request, *known->outcome_at);
        else
        {
            // The call did not run and was forgotten: this request may be the
            // next one to run it.
            append_intent(request);
        }
    }
}

void at_most_once_calls::read_outcome(const pending_ptr& request,
                                      std::uint64_t offset)
{
    jobs_.read_record(
        offset,
        [this, request](std::error_code ec, const proto::JobRecord& record)
        {
            if (!request->done)
                return;

            // An answer with status 0: the call has run, and its response is
            // unknown.
            if (ec)
                return finish(request, {outcome::answered, {}, {}});
            const auto& stored = record.call_outcome();
            finish(request, {outcome::answered,
                             {},
                             {stored.http_status(), stored.content_type(),
                              stored.body()}});
        });
}

void at_most_once_calls::handle_timeout(const pending_ptr& request)
{
    std::erase_if(awaiting_outcome_, [&request](const auto& entry)
                  { return entry.second == request; });

    // The earlier request may have run the call, and its response is unknown.
    if (request->has_earlier_intent)
        return finish(request, {outcome::answered, {}, {}});
    const bool withdrawn = jobs_.withdraw(request->intent_append);
    finish(request,
           {outcome::refused,
            make_error_code(withdrawn ? result_code::log_unavailable
                                      : result_code::log_append_unknown),
            {}});
}

void at_most_once_calls::finish(const pending_ptr& request,
                                const call_decision& decision)
{
    request->timer.cancel();
    awaiting_intent_.erase(request->attempt);
    const auto done = std::exchange(request->done, nullptr);
    if (done)
        done(decision);
}

void at_most_once_calls::report(const std::string& call,
                                const call_answer& answer,
                                std::function<void(std::error_code)> recorded)
{
    proto::JobRecord record;
    auto& stored = *record.mutable_call_outcome();
    stored.set_call(call);
    stored.set_http_status(answer.status);
    stored.set_content_type(answer.content_type);
    stored.set_body(answer.body);
    jobs_.append({record}, true,
                 [recorded = std::move(recorded)](
                     std::error_code ec, std::uint64_t) { recorded(ec); });
}

void at_most_once_calls::report_not_run(const std::string& call,
                                        const std::string& attempt)
{
    proto::JobRecord record;
    auto& forgotten = *record.mutable_call_forgotten();
    forgotten.set_call(call);
    forgotten.set_attempt(attempt);
    jobs_.append(record);
}

} // namespace tanagertrack::batch
