#include "standin/log_stand_in.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace tanagertrack::standin
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t default_read_bytes = 1024 * 1024;
constexpr std::uint64_t max_wait_ms = 60000;

/// Stream name in "/streams/{s}/records"; nothing for another path.
std::optional<std::string> stream_name(std::string_view path)
{
    constexpr std::string_view prefix = "/streams/";
    constexpr std::string_view suffix = "/records";
    if (!path.starts_with(prefix) || !path.ends_with(suffix) ||
        path.size() <= prefix.size() + suffix.size())
        return std::nullopt;
    path.remove_prefix(prefix.size());
    path.remove_suffix(suffix.size());
    return std::string(path);
}

void append_big_endian(std::string& out, std::uint64_t value, int bytes)
{
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        out.push_back(static_cast<char>(value >> shift));
}

boost::json::object error_body(std::string_view text)
{
    boost::json::object out;
    out["error"] = text;
    return out;
}

} // namespace

log_stand_in::log_stand_in(const asio::any_io_executor& executor,
                           log_settings settings)
    : executor_(executor), settings_(settings), appended_(executor),
      budget_time_(clock::now()),
      budget_(static_cast<double>(settings.appends_per_second))
{
    faults().add("outage", outage_);
    faults().add("lose_append_answers", lose_append_answers_);
    faults().add("lose_before", lose_before_);
    faults().add("only_streams", only_streams_);
    faults().add("retain_records", settings_.retain_records);
    faults().add("retain_ms", settings_.retain_ms);
    faults().add("appends_per_second", settings_.appends_per_second);
    faults().on_change([this] { wake_readers(); });
}

asio::awaitable<void> log_stand_in::handle(http_exchange& exchange)
{
    const auto name = stream_name(exchange.path());
    if (!name)
        co_await exchange.respond_json(404, error_body("no such path"));
    else if (outage_)
        co_await respond_outage(exchange);
    else if (exchange.method() == "POST")
        co_await append(exchange, *name);
    else if (exchange.method() == "GET")
        co_await read(exchange, *name);
    else
        co_await exchange.respond_json(405, error_body("GET or POST"));
}

boost::json::object log_stand_in::seen() const
{
    boost::json::object streams;
    for (const auto& [name, it] : streams_)
    {
        boost::json::object row;
        row["appends"] = it.appends;
        row["bytes"] = it.bytes;
        row["first"] = it.first;
        row["next"] = it.next();
        streams[name] = std::move(row);
    }
    boost::json::object out;
    out["appends"] = appends_;
    out["bytes"] = bytes_;
    out["kept_bytes"] = kept_bytes_;
    out["refused"] = refused_;
    out["unavailable"] = unavailable_;
    out["lost_answers"] = lost_answers_;
    out["lost_before"] = lost_before_;
    out["reads"] = reads_;
    out["streams"] = std::move(streams);
    return out;
}

asio::awaitable<void> log_stand_in::append(http_exchange& exchange,
                                           const std::string& name)
{
    if (is_faulty(name) && take_one(lose_before_))
    {
        ++lost_before_;
        exchange.drop();
        co_return;
    }
    const auto size = static_cast<std::int64_t>(exchange.body().size());
    if (size > settings_.max_record_bytes)
    {
        co_await exchange.respond_json(413, error_body("record too large"));
        co_return;
    }
    const auto known = streams_.contains(name);
    if (!known &&
        static_cast<std::int64_t>(streams_.size()) >= settings_.max_streams)
    {
        co_await exchange.respond_json(507, error_body("too many streams"));
        co_return;
    }
    if (!take_append_budget())
    {
        ++refused_;
        co_await exchange.respond_json(429, error_body("append budget"));
        co_return;
    }

    // The append takes effect here, whatever becomes of its answer.
    auto& it = streams_[name];
    const auto offset = it.next();
    it.records.push_back({exchange.body(), clock::now()});
    ++it.appends;
    ++appends_;
    it.bytes += exchange.body().size();
    bytes_ += exchange.body().size();
    kept_bytes_ += size;
    expire(it);
    wake_readers();

    if (is_faulty(name) && take_one(lose_append_answers_))
    {
        ++lost_answers_;
        exchange.drop();
        co_return;
    }
    exchange.add_header("X-First-Offset", std::to_string(it.first));
    exchange.add_header("X-Next-Offset", std::to_string(it.next()));
    co_await exchange.respond(200,
                              "{\"offset\":" + std::to_string(offset) + "}");
}

asio::awaitable<void> log_stand_in::read(http_exchange& exchange,
                                         const std::string& name)
{
    ++reads_;
    const auto from = std::max<std::uint64_t>(exchange.query("from", 1), 1);
    const auto max_bytes = exchange.query("max_bytes", default_read_bytes);
    const auto wait = std::min(exchange.query("wait_ms", 0), max_wait_ms);
    const auto deadline = clock::now() + std::chrono::milliseconds(wait);

    // A stream that nobody appended to reads as empty.
    const stream none;
    const auto find = [&]() -> const stream&
    {
        const auto it = streams_.find(name);
        if (it == streams_.end())
            return none;
        expire(it->second);
        return it->second;
    };

    // Long poll: a timer wakes this reader too when its wait is over.
    if (find().next() <= from && wait > 0)
    {
        asio::steady_timer timer(executor_, deadline);
        timer.async_wait(
            [this](const boost::system::error_code& ec)
            {
                if (!ec)
                    wake_readers();
            });
        while (find().next() <= from && clock::now() < deadline && !outage_)
            co_await appended_.wait();
    }
    if (outage_)
    {
        co_await respond_outage(exchange);
        co_return;
    }

    const auto& it = find();
    exchange.add_header("X-First-Offset", std::to_string(it.first));
    exchange.add_header("X-Next-Offset", std::to_string(it.next()));
    if (from < it.first)
    {
        co_await exchange.respond(
            410, "{\"first\":" + std::to_string(it.first) + "}");
        co_return;
    }
    std::string out;
    for (auto n = from; n < it.next(); ++n)
    {
        const auto& data = it.records[n - it.first].data;
        if (!out.empty() && out.size() + data.size() > max_bytes)
            break;
        append_big_endian(out, n, 8);
        append_big_endian(out, data.size(), 4);
        out.append(data);
    }
    co_await exchange.respond(200, std::move(out), "application/octet-stream");
}

asio::awaitable<void> log_stand_in::respond_outage(http_exchange& exchange)
{
    ++unavailable_;
    exchange.add_header("X-First-Offset", "0");
    exchange.add_header("X-Next-Offset", "0");
    co_await exchange.respond_json(503, error_body("outage"));
}

bool log_stand_in::take_append_budget()
{
    const auto rate = static_cast<double>(settings_.appends_per_second);
    const std::chrono::duration<double> elapsed = clock::now() - budget_time_;
    budget_time_ = clock::now();
    budget_ = std::min(rate, budget_ + elapsed.count() * rate);
    if (budget_ < 1)
        return false;
    budget_ -= 1;
    return true;
}

void log_stand_in::expire(stream& it)
{
    const auto oldest =
        clock::now() - std::chrono::milliseconds(settings_.retain_ms);
    while (!it.records.empty() &&
           (it.records.front().appended < oldest ||
            kept_bytes_ > settings_.max_bytes ||
            static_cast<std::int64_t>(it.records.size()) >
                settings_.retain_records))
        drop_oldest(it);
}

void log_stand_in::drop_oldest(stream& it)
{
    kept_bytes_ -= static_cast<std::int64_t>(it.records.front().data.size());
    it.records.pop_front();
    ++it.first;
}

bool log_stand_in::is_faulty(std::string_view name) const
{
    return name.starts_with(only_streams_);
}

void log_stand_in::wake_readers()
{
    appended_.notify();
}

} // namespace tanagertrack::standin
