#include "services/http_log.hpp"

#include "common/clock.hpp"
#include "common/result_code.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/assert.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <charconv>
#include <deque>
#include <memory>
#include <optional>
#include <utility>

namespace tanagertrack::services
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using common::result_code;

namespace
{

/// Calls that wait for a connection; further ones fail as not appended.
constexpr std::size_t max_waiting_calls = 1024;

/// Room in an answer beyond the bytes asked for: a read always gives at least
/// one record, and 16 MiB is the largest that settings permit.
constexpr std::size_t answer_slack_bytes = 17 * 1024 * 1024;

/// Bytes before the data of a record in the answer to a read.
constexpr std::size_t record_header_bytes = 12;

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

/// One connection to the log.
struct log_connection
{
    explicit log_connection(asio::io_context& context) : stream(context)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool used = false;
};

/// Outcome of one HTTP call.
struct call_outcome
{
    std::optional<http_response> response;

    /// Whether the log can have received any part of the request.
    bool written = false;
};

using outcome_handler = std::function<void(call_outcome)>;

/// A call that waits for a connection or runs.
struct log_call
{
    http_request request;
    std::size_t max_answer_bytes = 0;
    std::chrono::milliseconds timeout{0};
    common::time_point start_before;

    /// Whether the call may be repeated on another connection.
    bool repeatable = false;
    outcome_handler handler;
};

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return value;
}

std::uint64_t header_number(const http_response& response,
                            std::string_view name, std::uint64_t fallback)
{
    const auto it = response.find({name.data(), name.size()});
    if (it == response.end())
        return fallback;
    const std::string_view text(it->value().data(), it->value().size());
    return parse_number(text).value_or(fallback);
}

std::uint64_t read_big_endian(std::string_view data, std::size_t size)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < size; ++i)
        value = value << 8 | static_cast<unsigned char>(data[i]);
    return value;
}

/// Splits the answer to a read. False when it is malformed.
bool parse_records(std::string_view data, std::uint64_t from,
                   std::vector<log_record>& out)
{
    while (!data.empty())
    {
        if (data.size() < record_header_bytes)
            return false;
        const auto offset = read_big_endian(data, 8);
        const auto size = read_big_endian(data.substr(8), 4);
        data.remove_prefix(record_header_bytes);
        if (offset != from + out.size() || size > data.size())
            return false;
        out.push_back({offset, std::string(data.substr(0, size))});
        data.remove_prefix(size);
    }
    return true;
}

/// Member `name` of a JSON object that is a positive integer.
std::optional<std::uint64_t> json_number(std::string_view text,
                                         std::string_view name)
{
    boost::json::error_code ec;
    const auto value = boost::json::parse({text.data(), text.size()}, ec);
    if (ec || !value.is_object())
        return std::nullopt;
    const auto* member =
        value.get_object().if_contains({name.data(), name.size()});
    if (member == nullptr)
        return std::nullopt;
    const auto number = boost::json::try_value_to<std::uint64_t>(*member);
    if (!number)
        return std::nullopt;
    return *number;
}

/// Bounded connections with a bounded queue of calls that wait for one.
class log_connection_pool
    : public std::enable_shared_from_this<log_connection_pool>
{
public:
    log_connection_pool(asio::io_context& context, http_log_settings settings)
        : context_(context), settings_(std::move(settings))
    {
    }

    /// Runs the call, at once or when a connection is free.
    void submit(log_call call)
    {
        if (running_ < settings_.max_connections)
        {
            ++running_;
            asio::co_spawn(context_,
                           run_calls(shared_from_this(), std::move(call)),
                           asio::detached);
            return;
        }
        if (waiting_.size() < max_waiting_calls)
        {
            waiting_.push_back(std::move(call));
            return;
        }
        asio::post(context_,
                   [handler = std::move(call.handler)] { handler({}); });
    }

private:
    using connection_ptr = std::unique_ptr<log_connection>;

    /// Runs a call and those that wait, one after the other.
    static asio::awaitable<void>
    run_calls(std::shared_ptr<log_connection_pool> self, log_call first)
    {
        std::optional<log_call> call(std::move(first));
        while (call)
        {
            call_outcome outcome;
            if (common::clock::now() < call->start_before)
                outcome = co_await self->run_call(*call);
            call->handler(std::move(outcome));
            call.reset();
            if (!self->waiting_.empty())
            {
                call.emplace(std::move(self->waiting_.front()));
                self->waiting_.pop_front();
            }
        }
        --self->running_;
    }

    /// Runs one call; a repeatable one again if an idle connection broke.
    asio::awaitable<call_outcome> run_call(log_call& call)
    {
        call_outcome outcome;
        bool again = true;
        while (again)
        {
            connection_ptr connection = take_idle();
            const bool was_used = connection->used;
            outcome = co_await exchange(*connection, call);
            again = was_used && call.repeatable && !outcome.response &&
                    common::clock::now() < call.start_before;
            if (outcome.response && outcome.response->keep_alive())
                idle_.push_back(std::move(connection));
        }
        co_return outcome;
    }

    connection_ptr take_idle()
    {
        if (idle_.empty())
            return std::make_unique<log_connection>(context_);
        auto connection = std::move(idle_.back());
        idle_.pop_back();
        return connection;
    }

    asio::awaitable<call_outcome> exchange(log_connection& connection,
                                           log_call& call)
    {
        call_outcome outcome;
        connection.stream.expires_after(call.timeout);
        if (!connection.used)
        {
            const tcp::endpoint peer(
                asio::ip::make_address(settings_.address.address),
                settings_.address.port);
            const auto [ec] =
                co_await connection.stream.async_connect(peer, use_tuple);
            if (ec)
                co_return outcome;
            beast::error_code ignored;
            connection.stream.socket().set_option(tcp::no_delay(true), ignored);
            connection.used = true;
        }

        const auto [write_ec, bytes] = co_await http::async_write(
            connection.stream, call.request, use_tuple);
        outcome.written = !write_ec || bytes > 0;
        if (write_ec)
            co_return outcome;

        http::response_parser<http::string_body> parser;
        parser.body_limit(call.max_answer_bytes);
        const auto [read_ec, read_bytes] = co_await http::async_read(
            connection.stream, connection.buffer, parser, use_tuple);
        if (!read_ec)
            outcome.response.emplace(parser.release());
        co_return outcome;
    }

    asio::io_context& context_;
    http_log_settings settings_;
    std::size_t running_ = 0;
    std::deque<log_call> waiting_;
    std::vector<connection_ptr> idle_;
};

void finish_append(const call_outcome& outcome,
                   const log_append_handler& handler)
{
    if (!outcome.response)
    {
        handler(outcome.written ? result_code::log_append_unknown
                                : result_code::log_unavailable,
                0);
        return;
    }
    const auto status = outcome.response->result();
    if (status == http::status::too_many_requests ||
        status == http::status::service_unavailable)
    {
        handler(result_code::log_unavailable, 0);
        return;
    }
    const auto offset = json_number(outcome.response->body(), "offset");
    if (status != http::status::ok || !offset)
    {
        handler(result_code::log_append_unknown, 0);
        return;
    }
    handler({}, *offset);
}

void finish_read(const call_outcome& outcome, std::uint64_t from,
                 const log_read_handler& handler)
{
    log_read_result result;
    if (!outcome.response)
    {
        handler(result_code::log_unavailable, std::move(result));
        return;
    }
    const auto& response = *outcome.response;
    result.first_offset = header_number(response, "X-First-Offset", 1);
    result.next_offset = header_number(response, "X-Next-Offset", from);
    if (response.result() == http::status::gone)
    {
        const auto first = json_number(response.body(), "first");
        result.first_offset = first.value_or(result.first_offset);
        handler(result_code::log_offset_expired, std::move(result));
        return;
    }
    if (response.result() != http::status::ok ||
        !parse_records(response.body(), from, result.records))
    {
        result.records.clear();
        handler(result_code::log_unavailable, std::move(result));
        return;
    }
    handler({}, std::move(result));
}

} // namespace

log_service make_http_log(boost::asio::io_context& context,
                          http_log_settings settings)
{
    BOOST_ASSERT(settings.max_connections > 0);
    const auto timeout = settings.timeout;
    const auto host = common::to_string(settings.address);
    // Reads that wait have connections of their own, so that they never hold
    // up an append.
    auto calls = std::make_shared<log_connection_pool>(context, settings);
    auto waits = std::make_shared<log_connection_pool>(context, settings);

    log_service service;
    service.append = [calls, host, timeout](std::string stream,
                                            std::string data,
                                            log_append_handler handler)
    {
        log_call call;
        call.request =
            http_request(http::verb::post, "/streams/" + stream + "/records",
                         11, std::move(data));
        call.request.set(http::field::host, host);
        call.request.prepare_payload();
        call.max_answer_bytes = answer_slack_bytes;
        call.timeout = timeout;
        call.start_before = common::clock::now() + timeout;
        call.handler = [handler = std::move(handler)](call_outcome outcome)
        {
            finish_append(outcome, handler);
        };
        calls->submit(std::move(call));
    };
    service.read = [calls, waits, host, timeout](log_read_request request,
                                                 log_read_handler handler)
    {
        log_call call;
        call.request =
            http_request(http::verb::get,
                         "/streams/" + request.stream +
                             "/records?from=" + std::to_string(request.from) +
                             "&max_bytes=" + std::to_string(request.max_bytes) +
                             "&wait_ms=" + std::to_string(request.wait.count()),
                         11);
        call.request.set(http::field::host, host);
        call.max_answer_bytes = request.max_bytes + answer_slack_bytes;
        call.timeout = timeout + request.wait;
        call.start_before = common::clock::now() + timeout;
        call.repeatable = true;
        call.handler = [handler = std::move(handler),
                        from = request.from](call_outcome outcome)
        {
            finish_read(outcome, from, handler);
        };
        (request.wait.count() > 0 ? waits : calls)->submit(std::move(call));
    };
    return service;
}

} // namespace tanagertrack::services
