#include "api/operator_api.hpp"

#include "api/fleet_index.hpp"
#include "common/hash.hpp"
#include "config/ticket.hpp"
#include "entry/request_observer.hpp"

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

/// Bytes of a record beside the ticket's document.
constexpr std::size_t record_overhead_bytes = 1024;

/// Time after which an operator is told that the store did not answer.
constexpr auto ticket_time = std::chrono::seconds(10);

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

std::string verdict_body(const ticket_result& result)
{
    json::object body;
    body["number"] = result.number;
    body["verdict"] = to_string(result.kind);
    body["offset"] = result.offset;
    if (!result.message.empty())
        body["message"] = result.message;
    return json::serialize(body);
}

json::object target_row(const targets::target& it)
{
    const auto& load = it.load;
    json::object row;
    row["target"] = it.id();
    row["address"] = to_string(it.announced().address);
    row["data_centre"] = it.announced().data_centre;
    row["slots"] = load.slots;
    row["running_online"] = load.online();
    row["running_batch"] = load.batch();
    row["reported_running"] = load.reported.running;
    row["reported_waiting"] = load.reported.waiting;
    row["slowdown"] = load.reported.slowdown;
    row["avoided"] = load.health.is_avoided(common::clock::now());
    row["connections_made"] = it.connections_made();
    return row;
}

} // namespace

operator_api::operator_api(entry::entry_core& core, ticket_log& tickets,
                           std::function<bool()> is_ready,
                           std::function<std::size_t()> in_progress)
    : core_(core), tickets_(tickets), is_ready_(std::move(is_ready)),
      in_progress_(std::move(in_progress))
{
}

void operator_api::refuse(const http::http_exchange_ptr& http,
                          const http::rejection& why) const
{
    entry::count_rejection(core_.metrics(), why.code);
    http->refuse(why);
}

bool operator_api::is_permitted(const http::http_exchange_ptr& http) const
{
    // Hashes are compared: the time does not depend on equal leading bytes.
    const auto key = bearer_key(http->head().authorization());
    return common::hash128(key) ==
           common::hash128(core_.settings().operators.key);
}

void operator_api::handle(const http::http_exchange_ptr& http)
{
    if (!is_permitted(http))
    {
        http::rejection why(result_code::invalid_team_key);
        why.message = "the operators' key is missing or wrong";
        return refuse(http, why);
    }
    const auto& head = http->head();
    const auto path = head.path();
    const bool tickets = path == tickets_path;
    const bool one_ticket = path.starts_with(tickets_path) &&
                            path.size() > tickets_path.size() &&
                            path[tickets_path.size()] == '/';
    const bool job = path.starts_with(jobs_prefix);
    const bool known = tickets || one_ticket || job ||
                       path == "/operator/targets" ||
                       path == "/operator/status";
    if (!known)
        return refuse(http, http::rejection(result_code::unknown_path));
    if (head.method != (tickets ? "POST" : "GET"))
        return refuse(http, http::rejection(result_code::method_not_allowed));
    if (tickets)
        submit_ticket(http);
    else if (one_ticket)
        show_ticket(http, path.substr(tickets_path.size() + 1));
    else if (job)
        show_job(http, std::string(path.substr(jobs_prefix.size())));
    else if (path == "/operator/targets")
        show_targets(http);
    else
        show_status(http);
}

void operator_api::submit_ticket(const http::http_exchange_ptr& http)
{
    const auto max_bytes = std::min(config::max_ticket_bytes,
                                    core_.settings().store.max_record_bytes) -
                           record_overhead_bytes;
    http::read_whole_body(
        http, max_bytes,
        [this, http](std::error_code ec, const std::string& body)
        {
            if (ec)
                return refuse(http,
                              http::rejection(common::to_result_code(ec)));
            tickets_.submit(body, "operator", ticket_time,
                            [this, http](const ticket_outcome& outcome)
                            { answer_ticket(http, outcome); });
        });
}

void operator_api::answer_ticket(const http::http_exchange_ptr& http,
                                 const ticket_outcome& outcome) const
{
    http::rejection why(common::to_result_code(outcome.error));
    if (!outcome.error)
    {
        why = http::rejection(to_code(outcome.result.kind));
        why.message = outcome.result.message;
    }
    if (why.code != result_code::ok)
        return refuse(http, why);
    http->respond({}, verdict_body(outcome.result));
}

void operator_api::show_ticket(const http::http_exchange_ptr& http,
                               std::string_view number)
{
    std::uint64_t value = 0;
    const auto* end = number.data() + number.size();
    const auto result = std::from_chars(number.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end)
    {
        http::rejection why(result_code::invalid_request);
        why.message = "expected the number of a ticket";
        return refuse(http, why);
    }
    if (const auto known = tickets_.find_result(value))
        return http->respond({}, verdict_body(*known));
    http::rejection why(result_code::unknown_path);
    why.message = "no verdict on a ticket of this number is known";
    refuse(http, why);
}

void operator_api::show_job(const http::http_exchange_ptr& http,
                            const std::string& job) const
{
    core_.results().find(
        job,
        [this, http](std::error_code ec, const state::batch_job* it)
        {
            if (!ec && it == nullptr)
                ec = result_code::unknown_job;
            if (ec)
                return refuse(http,
                              http::rejection(common::to_result_code(ec)));
            const auto* runner = core_.jobs().table().find_member(it->runner);
            json::object body;
            body["id"] = it->id;
            body["team"] = it->team;
            body["runner"] = it->runner;
            body["runner_host"] = runner == nullptr ? "" : runner->host;
            body["accepted_at"] = it->accepted_at;
            body["items"] = it->items.size();
            body["results"] = it->results.size();
            body["ended"] = it->cancelled;
            http->respond({}, json::serialize(body));
        });
}

void operator_api::show_targets(const http::http_exchange_ptr& http) const
{
    json::array rows;
    core_.targets().for_each([&rows](const targets::target& it)
                             { rows.push_back(target_row(it)); });
    json::object body;
    body["targets"] = std::move(rows);
    http->respond({}, json::serialize(body));
}

void operator_api::show_status(const http::http_exchange_ptr& http) const
{
    const auto counts = core_.items().counts();
    json::object body;
    body["entry"] = core_.settings().name;
    body["ready"] = is_ready_();
    body["config_version"] = tickets_.current()->version();
    body["requests_in_progress"] = in_progress_();
    body["uptime_s"] = std::chrono::duration_cast<std::chrono::seconds>(
                           common::clock::now() - started_)
                           .count();
    body["batch_leader"] = core_.membership().is_leader();
    body["pending_items"] = counts.pending;
    body["running_items"] = counts.running;
    http->respond({}, json::serialize(body));
}

} // namespace tanagertrack::api
