#include "api/operator_api.hpp"

#include "api/fleet_index.hpp"
#include "common/hash.hpp"
#include "config/ticket.hpp"
#include "entry/request_observer.hpp"
#include "http/syntax.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace tanagertrack::api
{

namespace json = boost::json;
using common::result_code;
using state::ticket_result;
using state::ticket_result_kind;

namespace
{

constexpr std::string_view tickets_path = "/operator/tickets";
constexpr std::string_view jobs_prefix = "/operator/jobs/";

/// Upper bound for the bytes that a record has in addition to the ticket's
/// document.
constexpr std::size_t record_overhead_bytes = 1024;

/// Time after which the submission of a ticket fails if its result is still
/// unknown because the store has not answered.
constexpr auto ticket_timeout = std::chrono::seconds(10);

result_code to_code(ticket_result_kind kind)
{
    switch (kind)
    {
    case ticket_result_kind::accepted:
    case ticket_result_kind::same_ticket:
        return result_code::ok;
    case ticket_result_kind::stale:
        return result_code::ticket_stale;
    case ticket_result_kind::conflict:
        return result_code::ticket_conflict;
    case ticket_result_kind::invalid:
        break;
    }
    return result_code::ticket_invalid;
}

std::string result_body(const ticket_result& result)
{
    json::object body;
    body["number"] = result.number;
    body["verdict"] = to_string(result.kind);
    body["offset"] = result.offset;
    if (!result.message.empty())
        body["message"] = result.message;
    return json::serialize(body);
}

json::object target_row(const targets::target& target)
{
    const auto& load = target.load;
    json::object row;
    row["target"] = target.id();
    row["address"] = to_string(target.announced().address);
    row["data_centre"] = target.announced().data_centre;
    row["slots"] = load.slots;
    row["running_online"] = load.online();
    row["running_batch"] = load.batch();
    row["reported_running"] = load.reported.running;
    row["reported_waiting"] = load.reported.waiting;
    row["slowdown"] = load.reported.slowdown;
    row["avoided"] = load.health.is_avoided(common::clock::now());
    row["connections_made"] = target.connections_made();
    return row;
}

} // namespace

operator_api::operator_api(entry::entry_core& core, ticket_log& tickets,
                           std::function<bool()> is_ready,
                           std::function<std::size_t()> in_progress)
    : core_(core), ticket_log_(tickets), is_ready_(std::move(is_ready)),
      in_progress_(std::move(in_progress))
{
}

void operator_api::refuse(const http::http_exchange_ptr& exchange,
                          const http::rejection& rejection) const
{
    entry::count_rejection(core_.metrics(), rejection.code);
    exchange->refuse(rejection);
}

bool operator_api::has_operator_key(
    const http::http_exchange_ptr& exchange) const
{
    // Hashes are compared, so that the time doesn't depend on how many leading
    // bytes of the keys are equal.
    const auto key = http::bearer_credentials(exchange->head().authorization());
    return common::hash128(key) ==
           common::hash128(core_.settings().operators.key);
}

void operator_api::handle(const http::http_exchange_ptr& exchange)
{
    if (!has_operator_key(exchange))
    {
        http::rejection rejection(result_code::invalid_team_key);
        rejection.message = "the operators' key is missing or wrong";
        return refuse(exchange, rejection);
    }
    const auto& head = exchange->head();
    const auto path = head.path();
    const bool is_submission = path == tickets_path;
    const bool is_ticket = path.starts_with(tickets_path) &&
                           path.size() > tickets_path.size() &&
                           path[tickets_path.size()] == '/';
    const bool is_job = path.starts_with(jobs_prefix);
    const bool is_known_path = is_submission || is_ticket || is_job ||
                               path == "/operator/targets" ||
                               path == "/operator/status";
    if (!is_known_path)
        return refuse(exchange, http::rejection(result_code::unknown_path));
    if (head.method != (is_submission ? "POST" : "GET"))
        return refuse(exchange,
                      http::rejection(result_code::method_not_allowed));
    if (is_submission)
        submit_ticket(exchange);
    else if (is_ticket)
        show_ticket(exchange, path.substr(tickets_path.size() + 1));
    else if (is_job)
        show_job(exchange, std::string(path.substr(jobs_prefix.size())));
    else if (path == "/operator/targets")
        show_targets(exchange);
    else
        show_status(exchange);
}

void operator_api::submit_ticket(const http::http_exchange_ptr& exchange)
{
    const auto max_bytes = std::min(config::max_ticket_bytes,
                                    core_.settings().store.max_record_bytes) -
                           record_overhead_bytes;
    http::read_whole_body(
        exchange, max_bytes,
        [this, exchange](std::error_code ec, const std::string& body)
        {
            if (ec)
                return refuse(exchange,
                              http::rejection(common::to_result_code(ec)));
            ticket_log_.submit(body, "operator", ticket_timeout,
                               [this, exchange](const ticket_outcome& outcome)
                               { answer_ticket(exchange, outcome); });
        });
}

void operator_api::answer_ticket(const http::http_exchange_ptr& exchange,
                                 const ticket_outcome& outcome) const
{
    http::rejection rejection(common::to_result_code(outcome.error));
    if (!outcome.error)
    {
        rejection = http::rejection(to_code(outcome.result.kind));
        rejection.message = outcome.result.message;
    }
    if (rejection.code != result_code::ok)
        return refuse(exchange, rejection);
    exchange->respond({}, result_body(outcome.result));
}

void operator_api::show_ticket(const http::http_exchange_ptr& exchange,
                               std::string_view number)
{
    std::uint64_t value = 0;
    const auto* end = number.data() + number.size();
    const auto result = std::from_chars(number.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end)
    {
        http::rejection rejection(result_code::invalid_request);
        rejection.message =
            "path: expected the number of a ticket after /operator/tickets/";
        return refuse(exchange, rejection);
    }
    if (const auto known = ticket_log_.find_result(value))
        return exchange->respond({}, result_body(*known));
    http::rejection rejection(result_code::unknown_path);
    rejection.message = "no result is known for a ticket with the number " +
                        std::to_string(value);
    refuse(exchange, rejection);
}

void operator_api::show_job(const http::http_exchange_ptr& exchange,
                            const std::string& job_id) const
{
    core_.results().find_current(
        job_id, common::clock::now(),
        [this, exchange](std::error_code ec, const state::batch_job* job)
        {
            if (!ec && job == nullptr)
                ec = result_code::unknown_job;
            if (ec)
                return refuse(exchange,
                              http::rejection(common::to_result_code(ec)));
            const auto* runner = core_.jobs().table().find_member(job->runner);
            json::object body;
            body["id"] = job->id;
            body["team"] = job->team;
            body["runner"] = job->runner;
            body["runner_host"] = runner == nullptr ? "" : runner->host;
            body["accepted_at"] = job->accepted_at;
            body["items"] = job->items.size();
            body["results"] = job->results.size();
            body["ended"] = job->cancelled;
            exchange->respond({}, json::serialize(body));
        });
}

void operator_api::show_targets(const http::http_exchange_ptr& exchange) const
{
    json::array rows;
    core_.targets().for_each([&rows](const targets::target& it)
                             { rows.push_back(target_row(it)); });
    json::object body;
    body["targets"] = std::move(rows);
    exchange->respond({}, json::serialize(body));
}

void operator_api::show_status(const http::http_exchange_ptr& exchange) const
{
    const auto counts = core_.items().counts();
    json::object body;
    body["entry"] = core_.settings().name;
    body["ready"] = is_ready_();
    body["config_version"] = ticket_log_.current()->version();
    body["requests_in_progress"] = in_progress_();
    body["uptime_s"] = std::chrono::duration_cast<std::chrono::seconds>(
                           common::clock::now() - started_)
                           .count();
    body["batch_leader"] = core_.membership().is_leader();
    body["pending_items"] = counts.pending;
    body["running_items"] = counts.running;
    exchange->respond({}, json::serialize(body));
}

} // namespace tanagertrack::api
