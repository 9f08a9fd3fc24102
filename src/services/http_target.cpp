#include "services/http_target.hpp"

#include "common/result_code.hpp"
#include "services/sse_parser.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <array>
#include <cerrno>
#include <exception>
#include <memory>
#include <optional>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace tanagertrack::services
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using common::result_code;

constexpr std::size_t header_limit_bytes = 16UL * 1024;
constexpr std::size_t read_bytes = 16UL * 1024;

/// Time for a report of load and for an order.
constexpr std::chrono::milliseconds side_call_timeout{5000};

const boost::system::error_category& http_category()
{
    return http::make_error_code(http::error::bad_version).category();
}

/// A connection to the target. Bytes read beyond an answer would belong to no
/// call, so the buffer is empty between calls.
struct connection
{
    explicit connection(asio::io_context& context) : stream(context)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

using connection_ptr = std::unique_ptr<connection>;

/// Idle connections to the target, kept for later calls.
class connection_pool
{
public:
    connection_pool(asio::io_context& context,
                    const http_target_settings& settings)
        : context_(context), settings_(settings)
    {
    }

    asio::io_context& context()
    {
        return context_;
    }

    const http_target_settings& settings() const
    {
        return settings_;
    }

    /// A kept connection that the target has not closed, or null.
    connection_ptr take()
    {
        while (!idle_.empty())
        {
            auto it = std::move(idle_.back());
            idle_.pop_back();
            if (is_quiet(it->stream.socket()))
                return it;
        }
        return nullptr;
    }

    void give_back(connection_ptr it)
    {
        if (idle_.size() < settings_.max_idle_connections)
            idle_.push_back(std::move(it));
    }

private:
    /// Whether the socket is open and has no input.
    static bool is_quiet(tcp::socket& socket)
    {
        char c = 0;
        const auto n =
            ::recv(socket.native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
        return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    asio::io_context& context_;
    const http_target_settings settings_;
    std::vector<connection_ptr> idle_;
};

/// One call. The coroutine holds a reference; the caller's cancel function
/// does not.
class http_call : public std::enable_shared_from_this<http_call>
{
public:
    http_call(std::shared_ptr<connection_pool> pool, target_request request,
              target_hooks hooks)
        : pool_(std::move(pool)), request_(std::move(request)),
          hooks_(std::move(hooks)),
          deadline_(common_clock::now() + request_.timeout)
    {
    }

    void start()
    {
        asio::co_spawn(
            pool_->context(),
            [self = shared_from_this()] { return self->run(); },
            [self = shared_from_this()](std::exception_ptr e)
            {
                // Out of memory, or a defect in a hook.
                if (e)
                    self->fail(result_code::internal_error);
            });
    }

    /// Ends the call; no hook is called afterwards. The hooks stay alive
    /// until the coroutine ends: one of them may be the caller.
    void cancel()
    {
        cancelled_ = true;
        if (connection_)
            connection_->stream.close();
    }

private:
    using common_clock = std::chrono::steady_clock;
    using parser = http::response_parser<http::buffer_body>;

    /// How one exchange on a connection ended.
    enum class exchange_end
    {
        complete,
        failed,

        /// The target closed a kept connection without a byte of answer.
        stale
    };

    // g++ 12 miscompiles co_await inside a condition, so each result has a
    // variable of its own.
    asio::awaitable<void> run()
    {
        if (request_.repeatable)
            connection_ = pool_->take();
        reused_ = connection_ != nullptr;
        if (reused_)
        {
            const auto end = co_await exchange();
            if (end != exchange_end::stale)
                co_return;
            reused_ = false;
        }

        const bool connected = co_await connect();
        if (connected)
            co_await exchange();
    }

    asio::awaitable<bool> connect()
    {
        error_code ec;
        const auto& settings = pool_->settings();
        const auto address = asio::ip::make_address(settings.address.address);
        connection_ = std::make_unique<connection>(pool_->context());
        auto& stream = connection_->stream;
        stream.expires_at(std::min(deadline_, common_clock::now() +
                                                  settings.connect_timeout));
        co_await stream.async_connect(
            tcp::endpoint(address, settings.address.port),
            asio::redirect_error(asio::use_awaitable, ec));
        if (ec || cancelled_)
        {
            // A deadline that passes says nothing about the target.
            const bool late = common_clock::now() >= deadline_;
            fail(sent_  ? result_code::connection_lost
                 : late ? result_code::deadline_before_start
                        : result_code::no_target);
            co_return false;
        }
        stream.socket().set_option(tcp::no_delay(true), ec);
        co_return true;
    }

    asio::awaitable<exchange_end> exchange()
    {
        error_code ec;
        auto& it = *connection_;
        it.stream.expires_at(deadline_);
        auto message = make_message();
        if (!std::exchange(sent_, true) && hooks_.on_sent)
            hooks_.on_sent();
        if (cancelled_)
            co_return exchange_end::failed;
        co_await http::async_write(
            it.stream, message, asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return lost(ec, true);

        parser head;
        head.header_limit(header_limit_bytes);
        head.body_limit(boost::none);
        if (request_.method == "HEAD")
            head.skip(true);
        co_await http::async_read_header(
            it.stream, it.buffer, head,
            asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return lost(ec, !head.got_some());
        const auto end = co_await read_answer(head);
        co_return end;
    }

    http::request<http::string_body> make_message()
    {
        http::request<http::string_body> message;
        message.version(11);
        message.method_string(request_.method);
        message.target(request_.path);
        message.set(http::field::host, to_string(pool_->settings().address));
        if (!request_.work_id.empty())
            message.set("X-Work-Id", request_.work_id);
        if (!request_.body.empty())
            message.set(http::field::content_type, request_.content_type);
        // The body is kept for a second try.
        message.body() = request_.body;
        message.prepare_payload();
        return message;
    }

    /// Reads the body in pieces, as events or into the answer.
    asio::awaitable<exchange_end> read_answer(parser& in)
    {
        target_answer answer;
        answer.http_status = in.get().result_int();
        answer.content_type = in.get()[http::field::content_type];
        const bool events =
            request_.stream && answer.http_status == 200 &&
            answer.content_type.starts_with("text/event-stream");
        sse_parser sse([this](std::string_view data) { event(data); },
                       pool_->settings().max_answer_bytes);

        // `async_read` would wait until the piece is full, and so hold back
        // events that have arrived.
        std::array<char, read_bytes> piece;
        while (!in.is_done())
        {
            error_code ec;
            in.get().body().data = piece.data();
            in.get().body().size = piece.size();
            co_await http::async_read_some(
                connection_->stream, connection_->buffer, in,
                asio::redirect_error(asio::use_awaitable, ec));
            if (ec && ec != http::error::need_buffer)
                co_return lost(ec, false);
            const std::string_view bytes(piece.data(),
                                         piece.size() - in.get().body().size);
            if (cancelled_)
                co_return exchange_end::failed;
            if (!(events ? sse.feed(bytes) : collect(answer, bytes)))
                co_return lost(http::error::body_limit, false);
        }
        // An answer that ends with its connection is complete only if it
        // says so.
        if (events && in.need_eof() && !sse.done())
            co_return lost(http::error::partial_message, false);
        finish(std::move(answer), in.get().keep_alive() && !in.need_eof());
        co_return exchange_end::complete;
    }

    bool collect(target_answer& answer, std::string_view bytes) const
    {
        answer.body.append(bytes);
        return answer.body.size() <= pool_->settings().max_answer_bytes;
    }

    void event(std::string_view data)
    {
        if (!cancelled_ && hooks_.on_event)
            hooks_.on_event(data);
    }

    /// Classifies an error after `on_sent`. `untouched`: not one byte of the
    /// answer arrived.
    exchange_end lost(const error_code& ec, bool untouched)
    {
        const bool late = ec == beast::error::timeout;
        if (untouched && reused_ && !late)
            return exchange_end::stale;
        const bool bad = ec.category() == http_category() &&
                         ec != http::error::partial_message &&
                         ec != http::error::end_of_stream;
        fail(late  ? result_code::deadline_exceeded
             : bad ? result_code::protocol_error
                   : result_code::connection_lost);
        return exchange_end::failed;
    }

    void finish(target_answer answer, bool keep)
    {
        if (cancelled_)
            return;
        cancelled_ = true;
        if (keep && connection_->buffer.size() == 0)
        {
            connection_->stream.expires_never();
            pool_->give_back(std::move(connection_));
        }
        if (hooks_.on_finished)
            hooks_.on_finished(std::move(answer));
    }

    void fail(result_code code)
    {
        if (std::exchange(cancelled_, true))
            return;
        if (hooks_.on_failed)
            hooks_.on_failed(code);
    }

    const std::shared_ptr<connection_pool> pool_;
    const target_request request_;
    const target_hooks hooks_;
    const common_clock::time_point deadline_;
    connection_ptr connection_;
    bool sent_ = false;
    bool reused_ = false;
    bool cancelled_ = false;
};

target_cancel start_call(const std::shared_ptr<connection_pool>& pool,
                         target_request request, target_hooks hooks)
{
    const auto call =
        std::make_shared<http_call>(pool, std::move(request), std::move(hooks));
    call->start();
    return [weak = std::weak_ptr(call)]
    {
        if (const auto it = weak.lock())
            it->cancel();
    };
}

/// A number of the object, or 0.
template<typename Number>
Number number_field(const boost::json::object& object, std::string_view name)
{
    boost::system::error_code ec;
    const auto* value = object.if_contains(name);
    return value != nullptr ? value->to_number<Number>(ec) : Number();
}

/// Parses the body of GET /load.
std::error_code parse_load(const target_answer& answer, load_report& out)
{
    boost::system::error_code ec;
    const auto body = boost::json::parse(answer.body, ec);
    if (answer.http_status != 200 || ec || !body.is_object())
        return result_code::protocol_error;
    const auto& fields = body.get_object();
    out.running = number_field<std::uint32_t>(fields, "running");
    out.waiting = number_field<std::uint32_t>(fields, "waiting");
    out.age_ms = number_field<std::uint64_t>(fields, "age_ms");
    return {};
}

void get_load(const std::shared_ptr<connection_pool>& pool,
              std::function<void(std::error_code, load_report)> handler)
{
    target_request request;
    request.method = "GET";
    request.path = "/load";
    request.timeout = side_call_timeout;
    target_hooks hooks;
    hooks.on_finished = [handler](const target_answer& answer)
    {
        load_report report;
        const auto ec = parse_load(answer, report);
        handler(ec, report);
    };
    hooks.on_failed = [handler](std::error_code ec)
    {
        handler(ec, {});
    };
    start_call(pool, std::move(request), std::move(hooks));
}

/// Result of an order from the engine's status.
std::error_code order_result(unsigned http_status)
{
    constexpr unsigned conflict = 409;
    if (http_status / 100 == 2)
        return {};
    return http_status == conflict ? result_code::invalid_order
                                   : result_code::target_rejected;
}

void give_order(const std::shared_ptr<connection_pool>& pool,
                const target_order& order,
                std::function<void(std::error_code)> handler)
{
    boost::json::object body;
    body["order"] = order.order;
    body["model"] = order.model;
    body["role"] = order.role;
    body["fencing"] = order.fencing;
    target_request request;
    request.path = "/orders";
    request.body = boost::json::serialize(body);
    request.timeout = side_call_timeout;
    // An engine that ignores fencing numbers must not get an order twice.
    request.repeatable = false;
    target_hooks hooks;
    hooks.on_finished = [handler](const target_answer& answer)
    {
        handler(order_result(answer.http_status));
    };
    hooks.on_failed = handler;
    start_call(pool, std::move(request), std::move(hooks));
}

} // namespace

target_service make_http_target(asio::io_context& context,
                                http_target_settings settings)
{
    const auto pool =
        std::make_shared<connection_pool>(context, std::move(settings));
    target_service service;
    service.call = [pool](target_request request, target_hooks hooks)
    {
        return start_call(pool, std::move(request), std::move(hooks));
    };
    service.load = [pool](auto handler)
    {
        get_load(pool, std::move(handler));
    };
    service.order = [pool](const target_order& order, auto handler)
    {
        give_order(pool, order, std::move(handler));
    };
    return service;
}

} // namespace tanagertrack::services
