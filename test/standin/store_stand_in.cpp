#include "standin/store_stand_in.hpp"

#include "common/base64.hpp"

#include <boost/asio/use_awaitable.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

namespace tanagertrack::standin
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::size_t length_bytes = 4;
constexpr std::size_t offset_bytes = 8;
constexpr std::uint64_t max_wait_ms = 30000;
constexpr std::size_t max_newest_items = 500;
constexpr std::size_t default_read_kib = 1024;

json::object error_body(std::string_view text)
{
    return {{"error", text}};
}

/// Splits the body of an append: each record is preceded by its length, 4 bytes
/// in big-endian order. Returns std::nullopt if the body is malformed.
std::optional<std::vector<std::string>> split_records(std::string_view body)
{
    std::vector<std::string> records;
    while (!body.empty())
    {
        if (body.size() < length_bytes)
            return std::nullopt;
        const auto n = boost::endian::load_big_u32(
            reinterpret_cast<const unsigned char*>(body.data()));
        body.remove_prefix(length_bytes);
        if (body.size() < n)
            return std::nullopt;
        records.emplace_back(body.substr(0, n));
        body.remove_prefix(n);
    }
    return records;
}

void add_offset(std::string& out, std::uint64_t value)
{
    unsigned char bytes[offset_bytes];
    boost::endian::store_big_u64(bytes, value);
    out.append(reinterpret_cast<const char*>(bytes), offset_bytes);
}

/// Body of the answer to a read: the end and the first offset of the partition,
/// 8 bytes each, then the records in the format of an append.
std::string encode_read(const model_read_result& result)
{
    std::string out;
    add_offset(out, result.end);
    add_offset(out, result.first);
    for (const auto& it : result.records)
    {
        unsigned char length[length_bytes];
        boost::endian::store_big_u32(length,
                                     static_cast<std::uint32_t>(it.size()));
        out.append(reinterpret_cast<const char*>(length), length_bytes);
        out += it;
    }
    return out;
}

json::object parse_object(const std::string& body)
{
    boost::system::error_code ec;
    auto value = json::parse(body, ec);
    return !ec && value.is_object() ? value.as_object() : json::object();
}

std::string text_field(const json::object& from, std::string_view name)
{
    const auto* it = from.if_contains(name);
    return it != nullptr && it->is_string() ? std::string(it->as_string())
                                            : std::string();
}

std::uint64_t number_field(const json::object& from, std::string_view name)
{
    const auto* it = from.if_contains(name);
    return it != nullptr && it->is_number() ? it->to_number<std::uint64_t>()
                                            : 0;
}

json::object expired_body(std::uint64_t first)
{
    return {{"first", first}};
}

json::object key_to_json(const model_key& entry)
{
    return {{"key", entry.key},
            {"value", common::encode_base64(entry.value)},
            {"offset", entry.offset}};
}

/// Rows [topic, partition, committed], or [topic, partition, member, committed]
/// if `with_members` is true.
json::array shares_to_json(const std::vector<model_share>& shares,
                           bool with_members)
{
    json::array rows;
    for (const auto& it : shares)
    {
        json::array row{it.topic, it.partition};
        if (with_members)
            row.push_back(json::value(it.member));
        row.push_back(it.committed);
        rows.push_back(std::move(row));
    }
    return rows;
}

} // namespace

store_stand_in::store_stand_in(const asio::any_io_executor& executor,
                               store_limits limits)
    : executor_(executor), model_(limits), changed_(executor)
{
    faults().add("outage", outage_);
    faults().add("silent", silent_);
    faults().add("lose_answers", lose_answers_);
    faults().add("lose_before", lose_before_);
    faults().add("late_ms", late_ms_);
    faults().add("forget_history", forget_history_);
    faults().add("rebalance", rebalance_);
    faults().add("expire_sessions", expire_sessions_);
    faults().add("rewind", rewind_);
    faults().add("revoke", revoke_);
    faults().on_change([this] { apply_one_time_faults(); });
}

void store_stand_in::apply_one_time_faults()
{
    if (std::exchange(forget_history_, false))
        model_.forget_history();
    if (std::exchange(rebalance_, false))
        model_.rebalance();
    if (std::exchange(expire_sessions_, false))
        model_.expire_sessions();
    if (const auto n = std::exchange(rewind_, 0))
        model_.rewind(static_cast<std::uint64_t>(n));
    if (!revoke_.empty())
        model_.revoke(std::exchange(revoke_, {}));
    changed_.notify();
}

asio::awaitable<void> store_stand_in::handle(http_exchange& exchange)
{
    const auto path = exchange.path();
    if (path == "/control/put")
    {
        co_await put(exchange);
        co_return;
    }
    ++calls_;
    if (silent_)
        co_await withhold_answer(exchange);
    else if (outage_)
    {
        ++refused_;
        co_await exchange.respond_json(503, error_body("injected outage"));
    }
    else if (path == "/tanagertrack/log-append")
        co_await append(exchange);
    else if (path == "/tanagertrack/log-read")
        co_await read(exchange);
    else if (path == "/tanagertrack/log-newest")
        co_await newest(exchange);
    else if (path == "/tanagertrack/log-join")
        co_await join(exchange);
    else if (path == "/tanagertrack/log-owners")
        co_await owners(exchange);
    else if (path == "/tanagertrack/log-leave" ||
             path == "/tanagertrack/log-commit")
        co_await leave_or_commit(exchange);
    else if (path == "/tanagertrack/log-trim")
    {
        model_.trim(exchange.query_text("topic"),
                    static_cast<std::uint32_t>(exchange.query("part", 0)),
                    exchange.query("before", 0));
        co_await exchange.respond_json(200, json::object());
    }
    else
        co_await exchange.respond_json(
            404, error_body("unknown path " + std::string(path)));
}

json::object store_stand_in::seen() const
{
    json::object out;
    out["calls"] = calls_;
    out["appends"] = appends_;
    out["reads"] = reads_;
    out["lost_answers"] = lost_answers_;
    out["refused"] = refused_;
    out["bytes"] = model_.bytes();
    return out;
}

asio::awaitable<void> store_stand_in::withhold_answer(http_exchange& exchange)
{
    while (silent_ && !exchange.is_client_disconnected())
    {
        asio::steady_timer timer(executor_, std::chrono::milliseconds(20));
        co_await timer.async_wait(asio::use_awaitable);
    }
    exchange.drop_connection();
}

asio::awaitable<void> store_stand_in::append(http_exchange& exchange)
{
    ++appends_;
    auto records = split_records(exchange.body());
    if (!records)
    {
        co_await exchange.respond_json(
            400, error_body("malformed records: the body ends "
                            "within a record"));
        co_return;
    }
    model_append call;
    call.topic = exchange.query_text("topic");
    call.partition = static_cast<std::uint32_t>(exchange.query("part", 0));
    call.records = std::move(*records);
    if (!exchange.query_text("at").empty())
        call.expected_end = exchange.query("at", 0);
    call.producer = exchange.query_text("producer");
    call.epoch = exchange.query("epoch", 0);
    call.sequence = exchange.query("seq", 0);
    if (call.topic == "keyed.op" || call.topic == "keyed.servers")
    {
        co_await exchange.respond_json(
            403, error_body("topic \"" + call.topic +
                            "\" is read-only for clients"));
        co_return;
    }
    if (consume_one(lose_before_))
    {
        ++lost_answers_;
        exchange.drop_connection();
        co_return;
    }
    if (lose_answers_ > 0 && late_ms_ > 0)
    {
        consume_one(lose_answers_);
        ++lost_answers_;
        append_delayed(std::move(call));
        exchange.drop_connection();
        co_return;
    }

    // The append takes effect here, also if its answer is lost below.
    const auto result = model_.append(call, clock::now());
    changed_.notify();
    if (consume_one(lose_answers_))
    {
        ++lost_answers_;
        exchange.drop_connection();
        co_return;
    }
    json::object body;
    body["offset"] = result.offset;
    body["end"] = result.end;
    if (!result.conflict.empty())
        body["why"] = result.conflict;
    if (result.conflict == "seq")
        body["seq"] = result.expected_sequence;
    co_await exchange.respond_json(result.status, body);
}

void store_stand_in::append_delayed(model_append call)
{
    const auto timer = std::make_shared<asio::steady_timer>(
        executor_, std::chrono::milliseconds(late_ms_));
    timer->async_wait(
        [this, timer, call = std::move(call)](const auto& ec)
        {
            if (ec)
                return;
            model_.append(call, clock::now());
            changed_.notify();
        });
}

asio::awaitable<void> store_stand_in::read(http_exchange& exchange)
{
    ++reads_;
    const auto topic = exchange.query_text("topic");
    const auto partition =
        static_cast<std::uint32_t>(exchange.query("part", 0));
    const auto from = exchange.query("from", 0);
    const auto max_bytes = exchange.query("maxKb", default_read_kib) * 1024;
    const auto wait = std::min(exchange.query("waitMs", 0), max_wait_ms);
    const auto deadline = clock::now() + std::chrono::milliseconds(wait);
    const auto read_now = [&]
    {
        return model_.read(topic, partition, from, max_bytes, clock::now());
    };
    auto result = read_now();
    if (wait != 0)
    {
        // Wakes the coroutine at the deadline if no record arrives by then.
        asio::steady_timer timer(executor_, deadline);
        timer.async_wait(
            [this](const boost::system::error_code& ec)
            {
                if (!ec)
                    changed_.notify();
            });
        while (result.status == 200 && result.records.empty() &&
               clock::now() < deadline && !outage_ && !silent_)
        {
            co_await changed_.wait();
            result = read_now();
        }
    }
    if (silent_)
        co_await withhold_answer(exchange);
    else if (outage_)
        co_await exchange.respond_json(503, error_body("injected outage"));
    else if (result.status == 410)
        co_await exchange.respond_json(410, expired_body(result.first));
    else
        co_await exchange.respond(200, encode_read(result),
                                  "application/octet-stream");
}

asio::awaitable<void> store_stand_in::newest(http_exchange& exchange)
{
    std::uint64_t end = 0;
    const auto keys = model_.newest(
        exchange.query_text("topic"),
        static_cast<std::uint32_t>(exchange.query("part", 0)), end);
    const auto after = exchange.query_text("after");
    json::array items;
    bool more = false;
    for (const auto& it : keys)
    {
        if (!after.empty() && it.key <= after)
            continue;
        if (items.size() >= max_newest_items)
        {
            more = true;
            break;
        }
        items.push_back(key_to_json(it));
    }
    json::object body;
    body["items"] = std::move(items);
    body["hasMore"] = more;
    body["end"] = end;
    co_await exchange.respond_json(200, body);
}

asio::awaitable<void> store_stand_in::join(http_exchange& exchange)
{
    const auto body = parse_object(exchange.body());
    std::vector<std::string> topics;
    if (const auto* list = body.if_contains("topics"))
    {
        for (const auto& it : list->as_array())
            topics.emplace_back(it.as_string());
    }
    std::vector<model_share> share;
    const auto generation = model_.join(
        text_field(body, "group"), text_field(body, "member"), topics,
        std::chrono::milliseconds(number_field(body, "ttlMs")), clock::now(),
        share);
    json::object answer;
    answer["generation"] = generation;
    answer["parts"] = shares_to_json(share, false);
    co_await exchange.respond_json(200, answer);
}

asio::awaitable<void> store_stand_in::owners(http_exchange& exchange)
{
    const auto rows = model_.owners(exchange.query_text("group"), clock::now());
    json::object answer;
    answer["parts"] = shares_to_json(rows, true);
    co_await exchange.respond_json(200, answer);
}

asio::awaitable<void> store_stand_in::leave_or_commit(http_exchange& exchange)
{
    const auto body = parse_object(exchange.body());
    const auto group = text_field(body, "group");
    const auto member = text_field(body, "member");
    unsigned status = 200;
    if (exchange.path().ends_with("leave"))
        model_.leave(group, member, clock::now());
    else
        status = model_.commit(
            group, member, number_field(body, "generation"),
            text_field(body, "topic"),
            static_cast<std::uint32_t>(number_field(body, "part")),
            number_field(body, "offset"), clock::now());
    co_await exchange.respond_json(status, json::object());
}

asio::awaitable<void> store_stand_in::put(http_exchange& exchange)
{
    const auto body = parse_object(exchange.body());
    const auto* value = body.if_contains("value");
    std::optional<std::string> text;
    if (value != nullptr && value->is_string())
        text = std::string(value->as_string());
    else if (value != nullptr && !value->is_null())
        text = json::serialize(*value);
    model_.put(text_field(body, "topic"), text_field(body, "key"), text,
               clock::now());
    changed_.notify();
    co_await exchange.respond_json(200, json::object());
}

} // namespace tanagertrack::standin
