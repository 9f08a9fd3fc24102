#include "standin/service_stand_in.hpp"

#include "common/clock.hpp"
#include "standin/answer_text.hpp"
#include "standin/notifier.hpp"
#include "standin/target_headers.hpp"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

#include <utility>

namespace tanagertrack::standin
{

namespace asio = boost::asio;
namespace json = boost::json;

service_stand_in::service_stand_in(std::string name, std::string id)
    : name_(std::move(name)), id_(std::move(id))
{
    faults().add("answer_delay_ms", answer_delay_ms_);
    faults().add("fail_next", fail_next_);
    faults().add("drop_answers", drop_answers_);
}

asio::awaitable<void> service_stand_in::handle(http_exchange& exchange)
{
    if (expects_other_target(exchange, id_))
    {
        exchange.add_header("X-Tanagertrack-Not-Executed", "1");
        co_await exchange.respond_json(421, json::object());
        co_return;
    }
    add_target_headers(exchange, id_, {});
    json::object answer;
    answer["service"] = name_;
    if (consume_one(fail_next_))
    {
        answer["error"] = "injected failure";
        co_await exchange.respond_json(500, answer);
        co_return;
    }
    record_execution(exchange);
    answer["execution"] = executions_;
    json::error_code ec;
    auto echo = json::parse(exchange.body(), ec);
    answer["echo"] = ec ? json::value(exchange.body()) : std::move(echo);
    if (answer_delay_ms_ > 0)
        co_await pause(std::chrono::milliseconds(answer_delay_ms_));
    if (consume_one(drop_answers_))
        exchange.drop_connection();
    else
        co_await exchange.respond_json(200, answer);
}

json::object service_stand_in::seen() const
{
    json::array executed;
    for (const auto& it : seen_)
    {
        json::object row;
        row["n"] = it.number;
        row["method"] = it.method;
        row["path"] = it.path;
        row["body_hash"] = it.body_hash;
        row["work_id"] = it.work_id;
        row["at_ms"] = it.at_ms;
        executed.push_back(std::move(row));
    }
    json::object out;
    out["executions"] = executions_;
    out["executed"] = std::move(executed);
    return out;
}

void service_stand_in::record_execution(const http_exchange& exchange)
{
    seen_.push_back({++executions_, std::string(exchange.method()),
                     std::string(exchange.path()), prompt_hash(exchange.body()),
                     exchange.header("X-Tanagertrack-Request-Id"),
                     common::unix_time_ms()});
    if (seen_.size() > max_seen)
        seen_.pop_front();
}

} // namespace tanagertrack::standin
