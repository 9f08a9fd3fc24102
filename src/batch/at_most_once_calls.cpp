#include "batch/at_most_once_calls.hpp"

#include "common/logging.hpp"
#include "common/result_code.hpp"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace tanagertrack::batch
{

using common::result_code;
using outcome = call_decision::outcome;
using state::intent_result;

/// A request for a call.
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

    /// There is an earlier intent: the call may have run.
    bool repeated = false;
};

at_most_once_calls::at_most_once_calls(boost::asio::io_context& context,
                                       job_log& jobs)
    : context_(context), jobs_(jobs)
{
    job_listener listener;
    listener.changes.on_call_intent =
        [this](const proto::CallIntent& intent, intent_result result)
    {
        take_intent(intent, result);
    };
    listener.changes.on_call_completed = [this](const std::string& call)
    {
        take_ended(call);
    };
    jobs_.add_listener(std::move(listener));
}

void at_most_once_calls::request_run(const std::string& call,
                                     std::string content_hash,
                                     std::string attempt,
                                     common::time_point deadline,
                                     decision_handler done)
{
    const auto it = std::make_shared<pending>(context_);
    it->call = call;
    it->content_hash = std::move(content_hash);
    it->attempt = std::move(attempt);
    it->done = std::move(done);
    if (!jobs_.is_current() || !jobs_.reachable())
        return end(it, {outcome::refused,
                        make_error_code(result_code::log_unavailable),
                        {}});
    it->timer.expires_at(deadline);
    it->timer.async_wait(
        [this, it](const auto& ec)
        {
            if (!ec && it->done)
                time_out(it);
        });
    append_intent(it);
}

void at_most_once_calls::append_intent(const pending_ptr& it)
{
    asked_[it->attempt] = it;
    proto::JobRecord record;
    auto& intent = *record.mutable_call_intent();
    intent.set_call(it->call);
    intent.set_content_hash(it->content_hash);
    intent.set_member(jobs_.member());
    intent.set_attempt(it->attempt);
    intent.set_created_ms(common::unix_time_ms());
    it->intent_append = jobs_.append(
        {record}, false,
        [this, it](std::error_code ec, std::uint64_t)
        {
            if (ec && it->done)
                return end(it, {outcome::refused, ec, {}});
            jobs_.confirm(std::chrono::milliseconds(0), [](std::error_code) {});
        });
}

void at_most_once_calls::take_intent(const proto::CallIntent& intent,
                                     intent_result result)
{
    const auto found = asked_.find(intent.attempt());
    if (found == asked_.end())
    {
        // The request was told that the call does not run.
        if (result == intent_result::first && intent.member() == jobs_.member())
            report_not_run(intent.call(), intent.attempt());
        return;
    }
    const auto it = found->second;
    asked_.erase(found);
    common::log_info("call_intent", {{"call", it->call},
                                     {"request_id", it->attempt},
                                     {"verdict", static_cast<int>(result)}});
    switch (result)
    {
    case intent_result::first:
        return end(it, {outcome::run, {}, {}});
    case intent_result::conflict:
        return end(it, {outcome::conflict, {}, {}});
    case intent_result::repeated:
    case intent_result::no_open_item:
        it->repeated = true;
        return wait_for_outcome(it);
    }
}

void at_most_once_calls::wait_for_outcome(const pending_ptr& it)
{
    const auto* call = jobs_.table().find_call(it->call);
    if (call != nullptr && call->outcome_at)
        return read_outcome(it, *call->outcome_at);
    waiting_.emplace(it->call, it);
}

void at_most_once_calls::take_ended(const std::string& call)
{
    const auto [begin, end_of_range] = waiting_.equal_range(call);
    std::vector<pending_ptr> ready;
    for (auto at = begin; at != end_of_range; ++at)
        ready.push_back(at->second);
    waiting_.erase(begin, end_of_range);
    for (const auto& it : ready)
    {
        const auto* known = jobs_.table().find_call(call);
        if (!it->done)
            continue;
        if (known != nullptr && known->outcome_at)
            read_outcome(it, *known->outcome_at);
        else
            append_intent(it);
    }
}

void at_most_once_calls::read_outcome(const pending_ptr& it,
                                      std::uint64_t offset)
{
    jobs_.read_record(
        offset,
        [this, it](std::error_code ec, const proto::JobRecord& record)
        {
            if (!it->done)
                return;
            if (ec)
                return end(it, {outcome::answered, {}, {}});
            const auto& stored = record.call_outcome();
            end(it,
                {outcome::answered,
                 {},
                 {stored.http_status(), stored.content_type(), stored.body()}});
        });
}

void at_most_once_calls::time_out(const pending_ptr& it)
{
    std::erase_if(waiting_,
                  [&it](const auto& entry) { return entry.second == it; });

    // The other request may have run the call.
    if (it->repeated)
        return end(it, {outcome::answered, {}, {}});
    const bool withdrawn = jobs_.withdraw(it->intent_append);
    end(it, {outcome::refused,
             make_error_code(withdrawn ? result_code::log_unavailable
                                       : result_code::log_append_unknown),
             {}});
}

void at_most_once_calls::end(const pending_ptr& it,
                             const call_decision& decision)
{
    it->timer.cancel();
    asked_.erase(it->attempt);
    const auto done = std::exchange(it->done, nullptr);
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
