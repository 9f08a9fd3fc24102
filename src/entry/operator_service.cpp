#include "entry/operator_service.hpp"

#include "common/duty_thread.hpp"
#include "common/hash.hpp"
#include "config/ticket.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace tanagertrack::entry
{

namespace json = boost::json;
using common::result_code;
using state::ticket_verdict;
using state::ticket_verdict_kind;

namespace
{

constexpr std::string_view tickets_path = "/operator/tickets";

/// Bytes of a record beside the ticket's document.
constexpr std::size_t record_overhead_bytes = 1024;

result_code to_code(ticket_verdict_kind kind)
{
    switch (kind)
    {
    case ticket_verdict_kind::accepted:
    case ticket_verdict_kind::same_ticket:
        return result_code::ok;
    case ticket_verdict_kind::stale:
        return result_code::ticket_stale;
    case ticket_verdict_kind::conflict:
        return result_code::ticket_conflict;
    case ticket_verdict_kind::invalid:
        break;
    }
    return result_code::ticket_invalid;
}

std::string verdict_body(const ticket_verdict& verdict)
{
    json::object body;
    body["number"] = verdict.number;
    body["verdict"] = to_string(verdict.kind);
    body["offset"] = verdict.offset;
    if (!verdict.message.empty())
        body["message"] = verdict.message;
    return json::serialize(body);
}

json::object target_row(const proto::AgentStatus& it)
{
    json::object row;
    row["target"] = it.target();
    row["slots"] = it.slots();
    row["running_online"] = it.running_online();
    row["running_batch"] = it.running_batch();
    row["queued_online"] = it.queued_online();
    row["batch_credit"] = it.batch_credit();
    row["leaving"] = it.leaving();
    row["down"] = it.target_down();
    row["config_version"] = it.config_version();
    row["step_us"] = it.step_us();
    row["first_token_us"] = it.first_token_us();
    return row;
}

} // namespace

operator_service::operator_service(operator_environment environment)
    : env_(std::move(environment))
{
}

void operator_service::refuse(const http::http_exchange_ptr& http,
                              const http::rejection& why) const
{
    count_rejection(env_.metrics, why.code);
    http->refuse(why);
}

bool operator_service::is_permitted(const http::http_exchange_ptr& http) const
{
    // Hashes are compared: the time does not depend on equal leading bytes.
    const auto key = bearer_key(http->head().authorization());
    return common::hash128(key) == common::hash128(env_.settings.operators.key);
}

void operator_service::handle(const http::http_exchange_ptr& http)
{
    const auto& head = http->head();
    const auto path = head.path();
    if (path == "/healthz")
        return http->respond({}, R"({"status":"ok"})");
    if (!is_permitted(http))
    {
        // The code of the table speaks of teams.
        http::rejection why(result_code::invalid_team_key);
        why.message = "the operators' key is missing or wrong";
        return refuse(http, why);
    }
    const bool tickets = path == tickets_path;
    const bool get = head.method == "GET";
    const bool one_ticket = path.starts_with(tickets_path) &&
                            path.size() > tickets_path.size() &&
                            path[tickets_path.size()] == '/';
    const bool known = tickets || one_ticket || path == "/operator/targets" ||
                       path == "/operator/status";
    if (!known)
        return refuse(http, http::rejection(result_code::unknown_path));
    if (tickets ? head.method != "POST" : !get)
        return refuse(http, http::rejection(result_code::method_not_allowed));
    if (tickets)
        submit_ticket(http);
    else if (one_ticket)
        show_ticket(http, path.substr(tickets_path.size() + 1));
    else if (path == "/operator/targets")
        show_targets(http);
    else
        show_status(http);
}

void operator_service::submit_ticket(const http::http_exchange_ptr& http)
{
    const auto max_bytes = std::min(config::max_ticket_bytes,
                                    env_.settings.platform.max_record_bytes) -
                           record_overhead_bytes;
    http::read_whole_body(
        http, max_bytes,
        [this, http](std::error_code ec, std::string body)
        {
            if (ec)
                return refuse(http,
                              http::rejection(common::to_result_code(ec)));
            env_.follower.submit(std::move(body), "operator",
                                 [this, http](const ticket_outcome& outcome)
                                 { answer_ticket(http, outcome); });
        });
}

void operator_service::answer_ticket(const http::http_exchange_ptr& http,
                                     const ticket_outcome& outcome) const
{
    http::rejection why(common::to_result_code(outcome.error));
    if (!outcome.error)
    {
        why = http::rejection(to_code(outcome.verdict.kind));
        why.message = outcome.verdict.message;
    }
    if (why.code != result_code::ok)
        return refuse(http, why);
    http->respond({}, verdict_body(outcome.verdict));
}

void operator_service::show_ticket(const http::http_exchange_ptr& http,
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
    env_.follower.find_verdict(
        value,
        [this, http](const std::optional<ticket_verdict>& verdict)
        {
            if (verdict)
                return http->respond({}, verdict_body(*verdict));
            http::rejection why(result_code::unknown_path);
            why.message = "no verdict on a ticket of this number is known";
            refuse(http, why);
        });
}

void operator_service::show_targets(const http::http_exchange_ptr& http)
{
    auto work = [this, http]
    {
        json::array rows;
        for (const auto& it : env_.pool.statuses())
            rows.push_back(target_row(it));
        json::object body;
        body["targets"] = std::move(rows);
        http->respond({}, json::serialize(body));
    };
    if (!env_.peer_thread.post(std::move(work)))
        refuse(http, http::rejection(result_code::ring_full));
}

void operator_service::show_status(const http::http_exchange_ptr& http)
{
    const auto config = env_.config.current();
    json::object body;
    body["entry"] = env_.settings.name;
    body["ready"] = env_.front.is_ready();
    body["config_version"] = config ? config->version() : 0;
    body["requests_in_progress"] = env_.front.in_progress();
    body["uptime_s"] = std::chrono::duration_cast<std::chrono::seconds>(
                           common::clock::now() - started_)
                           .count();
    auto work = [this, http, body = std::move(body)]() mutable
    {
        json::array partitions;
        for (const auto& it : env_.pool.fences())
            partitions.push_back(it.partition());
        body["held_partitions"] = std::move(partitions);
        http->respond({}, json::serialize(body));
    };
    if (!env_.peer_thread.post(std::move(work)))
        refuse(http, http::rejection(result_code::ring_full));
}

} // namespace tanagertrack::entry
