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

/// Upper bound for the bytes that an outcome's record has in addition to the
/// body of the response.
constexpr std::size_t outcome_overhead_bytes = 1024;

/// Maximum size of the body of a response. The whole response is held until it
/// is complete, and a target in trouble may send one without end.
constexpr std::size_t max_answer_bytes = 8UL * 1024 * 1024;

std::string make_call_id(std::string_view team, std::string_view service,
                         std::string_view key)
{
    return "call-" + common::to_hex(common::hash128({team, service, key}));
}

/// Answers the request with the response to a call; with `outcome_unknown` if
/// its status is 0.
void respond(const caller_request& request, const batch::call_answer& answer)
{
    if (answer.status == 0)
    {
        http::rejection rejection(result_code::outcome_unknown);
        request.observer->record_first_answer(
            common::info(rejection.code).http_status);
        return request.exchange->refuse(rejection);
    }
    http::answer_head head;
    head.status = answer.status;
    head.content_type = answer.content_type;
    request.observer->record_first_answer(head.status);
    request.exchange->respond(std::move(head), answer.body);
}

void refuse(const caller_request& request, const http::rejection& rejection)
{
    request.observer->record_first_answer(
        common::info(rejection.code).http_status);
    request.exchange->refuse(rejection);
}

} // namespace

/// A request for a call that has not been answered yet.
struct service_calls::pending_call
{
    caller_request request;
    std::string id;
    online::call call;

    /// Part of the target's response that has been received.
    batch::call_answer answer;
};

service_calls::service_calls(entry::entry_core& core) : core_(core)
{
}

void service_calls::run(const caller_request& request,
                        const std::string& service, online::call call)
{
    const auto pending = std::make_shared<pending_call>();
    pending->request = request;
    pending->id = make_call_id(request.team, service,
                               request.exchange->head().idempotency_key());
    pending->call = std::move(call);
    auto content = common::hash128(
        {pending->call.method, pending->call.target, pending->call.body});
    core_.calls().request_run(
        pending->id, std::move(content), pending->call.id,
        pending->call.deadline,
        [this, pending](const batch::call_decision& decision)
        { handle_decision(pending, decision); });
}

void service_calls::handle_decision(
    const std::shared_ptr<pending_call>& pending,
    const batch::call_decision& decision)
{
    switch (decision.result)
    {
    case outcome::run:
        return start(pending);
    case outcome::answered:
        return respond(pending->request, decision.answer);
    case outcome::conflict:
        return refuse(pending->request,
                      http::rejection(result_code::idempotency_conflict));
    case outcome::refused:
        return refuse(pending->request,
                      http::rejection(common::to_result_code(decision.ec)));
    }
}

void service_calls::start(const std::shared_ptr<pending_call>& pending)
{
    online::answer_hooks hooks;
    hooks.refuse = [this, pending](const http::rejection& rejection)
    {
        handle_refusal(pending, rejection);
    };
    hooks.respond =
        [this, pending](const http::answer_head& head, std::string body)
    {
        pending->answer.status = head.status;
        pending->answer.content_type = head.headers.find("Content-Type");
        pending->answer.body = std::move(body);
        handle_answer(pending, true);
    };
    hooks.start = [pending](const http::answer_head& head)
    {
        pending->answer.status = head.status;
        pending->answer.content_type = head.headers.find("Content-Type");
    };
    hooks.write = [this, pending](const std::string& piece, auto written)
    {
        pending->answer.body += piece;
        if (pending->answer.body.size() <= max_answer_bytes)
            return written({});

        // The error ends the request at its target and calls no further hook.
        handle_answer(pending, false);
        written(make_error_code(result_code::answer_too_large));
    };
    hooks.finish = [this, pending]
    {
        handle_answer(pending, true);
    };
    hooks.abort = [this, pending]
    {
        handle_answer(pending, false);
    };
    const online::request_ptr request(new online::request(
        core_.online(), std::move(pending->call), std::move(hooks)));
    request->start();
}

void service_calls::handle_refusal(const std::shared_ptr<pending_call>& pending,
                                   const http::rejection& rejection)
{
    if (rejection.ran != execution::not_run)
        return handle_answer(pending, false);

    // The call certainly did not run: release its key.
    core_.calls().report_not_run(pending->id,
                                 pending->request.exchange->head().request_id);
    refuse(pending->request, rejection);
}

void service_calls::handle_answer(const std::shared_ptr<pending_call>& pending,
                                  bool complete)
{
    const auto max_body_bytes =
        core_.settings().store.max_record_bytes - outcome_overhead_bytes;

    // An empty answer, with status 0, stands for an unknown outcome. It is also
    // recorded for a response that is too large for a record.
    if (!complete)
        pending->answer = {};
    auto recorded = pending->answer;
    if (recorded.body.size() > max_body_bytes)
        recorded = {};

    // The caller gets the response even if it can't be recorded. Without a
    // record, a later request with the same key gets `outcome_unknown`.
    core_.calls().report(pending->id, recorded,
                         [pending](std::error_code ec)
                         {
                             if (ec)
                                 common::log_warning("outcome_not_recorded",
                                                     {{"call", pending->id},
                                                      {"what", ec.message()}});
                         });
    respond(pending->request, pending->answer);
}

} // namespace tanagertrack::api
