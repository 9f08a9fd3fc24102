#include "entry/once_calls.hpp"

#include "common/hash.hpp"
#include "common/logging.hpp"
#include "common/result_code.hpp"
#include "entry/async_call.hpp"
#include "entry/service_rules.hpp"
#include "http/error_answer.hpp"

#include <utility>

// GCC 12 takes the allocator of inlined coroutine frames for a mismatch.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace tanagertrack::entry
{

using common::execution;
using common::result_code;
namespace asio = boost::asio;

namespace
{

/// Time that a call waits for the log before and after it runs.
constexpr std::chrono::seconds log_timeout{10};

/// Time after the deadline of an attempt in which its end must come.
constexpr std::chrono::seconds deadline_grace{2};

/// Room in an outcome for all but the body.
constexpr std::size_t outcome_overhead_bytes = 1024;

/// Calls in progress.
constexpr std::size_t max_running_calls = 4096;

} // namespace

once_calls::once_calls(std::shared_ptr<batch_core> core)
    : core_(std::move(core))
{
}

namespace
{

template<typename Answer>
Answer rejected(const exchange_ptr& request, result_code code, execution ran,
                std::string message = {})
{
    http::rejection why(code);
    why.ran = ran;
    why.message = std::move(message);
    auto whole = http::error_answer(why, request->head().request_id);
    Answer it;
    it.head.status = whole.head.status;
    it.head.content_type = whole.head.content_type;
    it.head.retry_after_s = static_cast<unsigned>(
        (whole.head.retry_after.count() + 999) / 1000);
    it.body = std::move(whole.body);
    return it;
}

} // namespace

asio::awaitable<void> once_calls::run(exchange_ptr request, std::string service,
                                      placed_id id)
{
    const auto self = shared_from_this();
    call_context it;
    it.service = std::move(service);
    it.id = std::move(id);
    it.claim = core_->owner(it.id.partition).claim_offset();
    it.deadline =
        common::clock::now() + core_->settings().front.request_timeout;
    for (bool end = false; !end;)
    {
        auto piece = co_await read_piece(request);
        if (piece.ec && piece.ec != result_code::body_too_large)
        {
            request->abort();
            co_return;
        }
        end = piece.end;
        if (piece.ec || it.body.size() + piece.data.size() >
                            core_->settings().front.max_body_bytes)
        {
            auto why = rejected<call_answer>(
                request, result_code::body_too_large, execution::not_run);
            request->respond(why.head, std::move(why.body));
            co_return;
        }
        it.body += piece.data;
    }
    it.content_hash = common::hash128(
        {request->head().method, request->head().target, it.body});
    auto result = co_await answer(request, std::move(it));
    request->respond(result.head, std::move(result.body));
}

asio::awaitable<once_calls::call_answer>
once_calls::answer(exchange_ptr request, call_context it)
{
    auto& owner = core_->owner(it.id.partition);
    if (!owner.is_held() || owner.claim_offset() != it.claim)
        co_return rejected<call_answer>(
            request, result_code::no_partition_holder, execution::not_run);

    // The call may be known: as running here, or from the log.
    const auto running = running_.find(it.id.id);
    const auto* known = owner.state().find_call(it.id.id);
    const std::string* hash = nullptr;
    if (running != running_.end())
        hash = &running->second.content_hash;
    else if (known != nullptr)
        hash = &known->content_hash;
    if (hash != nullptr && *hash != it.content_hash)
        co_return rejected<call_answer>(
            request, result_code::idempotency_conflict, execution::not_run);
    if (running != running_.end())
        co_return co_await wait_for(request, std::move(it));
    if (known != nullptr)
        co_return co_await replay(request, std::move(it));

    if (core_->is_stopping())
        co_return rejected<call_answer>(request, result_code::shutting_down,
                                        execution::not_run);
    if (!core_->control().log_is_up() || !core_->control().has_lease())
        co_return rejected<call_answer>(request, result_code::log_unavailable,
                                        execution::not_run);
    if (running_.size() >= max_running_calls)
        co_return rejected<call_answer>(request, result_code::overloaded,
                                        execution::not_run);
    const auto id = it.id.id;
    running_[id].content_hash = it.content_hash;
    auto result = co_await execute(request, std::move(it));
    auto node = running_.extract(id);
    for (const auto& waiting : node.mapped().waiting)
        waiting(result);
    co_return result;
}

asio::awaitable<once_calls::call_answer>
once_calls::wait_for(exchange_ptr request, call_context it)
{
    timed_result<call_answer> result(core_->context().get_executor());
    running_[it.id.id].waiting.push_back(result.setter());
    const auto* done = co_await result.wait(it.deadline);
    if (done != nullptr)
        co_return *done;
    co_return rejected<call_answer>(request, result_code::deadline_exceeded,
                                    execution::may_have_run);
}

asio::awaitable<once_calls::call_answer>
once_calls::replay(exchange_ptr request, call_context it)
{
    const auto place =
        core_->owner(it.id.partition).state().find_call(it.id.id)->outcome;
    if (place.offset == 0)
        co_return rejected<call_answer>(request, result_code::outcome_unknown,
                                        execution::may_have_run);
    auto got =
        co_await load_record(core_->cache(), it.id.partition, place.offset);
    if (got.ec)
        co_return rejected<call_answer>(
            request, result_code::log_unavailable, execution::may_have_run,
            "the call has an outcome that can't be read now");
    const auto& outcome =
        got.record->entries(static_cast<int>(place.entry)).outcome();
    if (outcome.status() == proto::ITEM_UNKNOWN)
        co_return rejected<call_answer>(request, result_code::outcome_unknown,
                                        execution::may_have_run);
    if (outcome.code() != 0 && outcome.http_status() == 0)
        co_return rejected<call_answer>(
            request, static_cast<result_code>(outcome.code()), execution::ran);
    call_answer result;
    result.head.status = outcome.http_status();
    result.head.content_type = outcome.content_type();
    result.body = outcome.body();
    co_return result;
}

asio::awaitable<once_calls::call_answer>
once_calls::execute(exchange_ptr request, call_context it)
{
    // The intent is read back before anything is sent.
    proto::PartitionEntry entry;
    auto& intent = *entry.mutable_intent();
    intent.set_call_id(it.id.id);
    intent.set_content_hash(it.content_hash);
    const auto done =
        co_await core_->record(it.id.partition, it.claim, std::move(entry),
                               common::clock::now() + log_timeout);
    auto& owner = core_->owner(it.id.partition);
    const auto* known = done.ec ? nullptr : owner.state().find_call(it.id.id);
    if (known == nullptr || owner.claim_offset() != it.claim)
        co_return rejected<call_answer>(request, result_code::log_unavailable,
                                        execution::not_run);
    const auto target = parse_service_target(request->head().target);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        it.deadline - common::clock::now());
    if (!target || left.count() <= 0)
    {
        co_await forget(it);
        co_return rejected<call_answer>(
            request, result_code::deadline_before_start, execution::not_run);
    }

    attempt_start start;
    start.model = it.service;
    auto& work = start.request;
    work.set_work_id(it.id.id);
    work.set_work_class(proto::WORK_ONLINE);
    work.set_team(request->head().team);
    work.set_method(request->head().method);
    work.set_path(target->path);
    work.set_content_type(request->head().content_type);
    work.set_body(it.body);
    work.set_deadline_ms(static_cast<std::uint32_t>(left.count()));
    work.set_partition(it.id.partition);
    work.set_claim_offset(it.claim);
    timed_result<attempt_end> end(core_->context().get_executor());
    const auto ticket = core_->gate().start(std::move(start), end.setter());
    const auto* ended = co_await end.wait(it.deadline + deadline_grace);
    if (ended != nullptr)
        co_return co_await finish(request, std::move(it), *ended);
    core_->gate().cancel(ticket, [] {});
    attempt_end lost;
    proto::WorkFailed failed;
    failed.set_may_have_run(true);
    lost.outcome = failed;
    co_return co_await finish(request, std::move(it), std::move(lost));
}

asio::awaitable<once_calls::call_answer>
once_calls::finish(exchange_ptr request, call_context it, attempt_end end)
{
    const auto* finished = std::get_if<proto::WorkFinished>(&end.outcome);
    const auto* failed = std::get_if<proto::WorkFailed>(&end.outcome);
    const bool preempted =
        std::holds_alternative<proto::WorkPreempted>(end.outcome);
    if (finished == nullptr && !preempted &&
        (failed == nullptr || !failed->may_have_run()))
    {
        // Certainly not run: the key may be used again.
        auto code = result_code::no_target;
        if (const auto* refused = std::get_if<proto::WorkRefused>(&end.outcome))
            code = common::info(static_cast<result_code>(refused->code())).code;
        co_await forget(it);
        co_return rejected<call_answer>(request, code, execution::not_run);
    }

    proto::Outcome outcome;
    call_answer result;
    if (finished != nullptr)
    {
        const auto limit = core_->settings().platform.max_record_bytes -
                           outcome_overhead_bytes;
        outcome.set_status(finished->http_status() < 400 ? proto::ITEM_SUCCEEDED
                                                         : proto::ITEM_FAILED);
        result.head.status = finished->http_status();
        result.head.content_type = finished->content_type();
        result.body = finished->body();
        if (result.body.size() < limit)
        {
            outcome.set_http_status(finished->http_status());
            outcome.set_content_type(finished->content_type());
            outcome.set_body(finished->body());
        }
        else
        {
            outcome.set_code(
                static_cast<std::uint32_t>(result_code::body_too_large));
        }
    }
    else
    {
        outcome.set_status(proto::ITEM_UNKNOWN);
        outcome.set_code(
            static_cast<std::uint32_t>(result_code::outcome_unknown));
        result = rejected<call_answer>(request, result_code::outcome_unknown,
                                       execution::may_have_run);
    }
    // The caller gets the answer in any case; without a record, a later call
    // with the same key is told that it may have run.
    const bool recorded = co_await record_outcome(it, std::move(outcome));
    if (!recorded)
        common::log_warning(
            "outcome_not_recorded",
            {{"call", it.id.id}, {"request_id", request->head().request_id}});
    co_return result;
}

asio::awaitable<bool> once_calls::record_outcome(const call_context& it,
                                                 proto::Outcome outcome)
{
    proto::PartitionEntry entry;
    outcome.set_call_id(it.id.id);
    *entry.mutable_outcome() = std::move(outcome);
    const auto done =
        co_await core_->record(it.id.partition, it.claim, std::move(entry),
                               common::clock::now() + log_timeout);
    co_return !done.ec;
}

asio::awaitable<void> once_calls::forget(const call_context& it)
{
    proto::PartitionEntry entry;
    entry.mutable_job_forget()->set_job_id(it.id.id);
    co_await core_->record(it.id.partition, it.claim, std::move(entry),
                           common::clock::now() + log_timeout);
}

} // namespace tanagertrack::entry
