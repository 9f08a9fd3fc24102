#include "api/service_calls.hpp"

#include "common/hash.hpp"
#include "common/logging.hpp"
#include "online/request.hpp"

#include <utility>

namespace tanagertrack::api
{

using common::execution;
using common::result_code;
using outcome = batch::call_decision::outcome;

namespace
{

/// Bytes of a record beside the body of an outcome.
constexpr std::size_t outcome_overhead_bytes = 1024;

std::string make_call_id(std::string_view team, std::string_view service,
                         std::string_view key)
{
    return "call-" + common::to_hex(common::hash128({team, service, key}));
}

/// Answers with the outcome of a call.
void answer(const caller_request& request, const batch::call_answer& known)
{
    if (known.status == 0)
    {
        http::rejection why(result_code::outcome_unknown);
        request.observer->first_answer(common::info(why.code).http_status);
        return request.http->refuse(why);
    }
    http::answer_head head;
    head.status = known.status;
    head.content_type = known.content_type;
    request.observer->first_answer(head.status);
    request.http->respond(std::move(head), known.body);
}

void refuse(const caller_request& request, const http::rejection& why)
{
    request.observer->first_answer(common::info(why.code).http_status);
    request.http->refuse(why);
}

} // namespace

/// A call under way.
struct service_calls::running
{
    caller_request request;
    std::string id;
    online::call call;

    /// Answer of the target as it comes.
    batch::call_answer answer;
};

service_calls::service_calls(entry::entry_core& core) : core_(core)
{
}

void service_calls::run(const caller_request& request,
                        const std::string& service, online::call call)
{
    const auto it = std::make_shared<running>();
    it->request = request;
    it->id = make_call_id(request.team, service,
                          request.http->head().idempotency_key());
    it->call = std::move(call);
    auto content =
        common::hash128({it->call.method, it->call.target, it->call.body});
    core_.calls().request_run(it->id, std::move(content), it->call.id,
                              it->call.deadline,
                              [this, it](const batch::call_decision& decision)
                              { take_permit(it, decision); });
}

void service_calls::take_permit(const std::shared_ptr<running>& it,
                                const batch::call_decision& decision)
{
    switch (decision.result)
    {
    case outcome::run:
        return start(it);
    case outcome::answered:
        return answer(it->request, decision.answer);
    case outcome::conflict:
        return refuse(it->request,
                      http::rejection(result_code::idempotency_conflict));
    case outcome::refused:
        return refuse(it->request,
                      http::rejection(common::to_result_code(decision.ec)));
    }
}

void service_calls::start(const std::shared_ptr<running>& it)
{
    online::answer_hooks hooks;
    hooks.refuse = [this, it](const http::rejection& why)
    {
        take_refusal(it, why);
    };
    hooks.respond = [this, it](const http::answer_head& head, std::string body)
    {
        it->answer.status = head.status;
        it->answer.content_type = head.headers.find("Content-Type");
        it->answer.body = std::move(body);
        take_answer(it, true);
    };
    hooks.start = [it](const http::answer_head& head)
    {
        it->answer.status = head.status;
        it->answer.content_type = head.headers.find("Content-Type");
    };
    hooks.write = [it](const std::string& piece, auto written)
    {
        it->answer.body += piece;
        written({});
    };
    hooks.finish = [this, it]
    {
        take_answer(it, true);
    };
    hooks.abort = [this, it]
    {
        take_answer(it, false);
    };
    const online::request_ptr request(new online::request(
        core_.online(), std::move(it->call), std::move(hooks)));
    request->start();
}

void service_calls::take_refusal(const std::shared_ptr<running>& it,
                                 const http::rejection& why)
{
    if (why.ran != execution::not_run)
        return take_answer(it, false);

    // Certainly not run: the key may be used again.
    core_.calls().report_not_run(it->id, it->request.http->head().request_id);
    refuse(it->request, why);
}

void service_calls::take_answer(const std::shared_ptr<running>& it,
                                bool complete)
{
    const auto limit =
        core_.settings().store.max_record_bytes - outcome_overhead_bytes;
    if (!complete)
        it->answer = {};
    auto recorded = it->answer;
    if (recorded.body.size() > limit)
        recorded = {};

    // The caller gets the answer in any case; without a record, a later call
    // with the same key is told that it may have run.
    core_.calls().report(
        it->id, recorded,
        [it](std::error_code ec)
        {
            if (ec)
                common::log_warning("outcome_not_recorded",
                                    {{"call", it->id}, {"what", ec.message()}});
        });
    answer(it->request, it->answer);
}

} // namespace tanagertrack::api
