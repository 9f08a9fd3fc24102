#include "standin/http_server.hpp"
#include "standin/notifier.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <utility>

namespace tanagertrack::standin
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

http_server::http_server(const asio::any_io_executor& executor,
                         const tcp::endpoint& address, stand_in& served)
    : acceptor_(executor, address), stand_in_(served)
{
    acceptor_.listen(max_connections);
}

asio::awaitable<void> http_server::run()
{
    for (;;)
    {
        auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
        if (connections_ >= max_connections)
            continue;
        boost::system::error_code ec;
        socket.set_option(tcp::no_delay(true), ec);
        asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket)),
                       asio::detached);
    }
}

asio::awaitable<void> http_server::serve(tcp::socket socket)
{
    ++connections_;
    beast::flat_buffer buf(max_header_bytes);
    try
    {
        for (bool open = true; open;)
        {
            http::request_parser<http::string_body> parser;
            parser.body_limit(max_body_bytes);
            co_await http::async_read(socket, buf, parser, asio::use_awaitable);
            http_exchange exchange(socket, parser.release());
            co_await dispatch(exchange);
            open = exchange.keep_alive();
        }
    }
    catch (const boost::system::system_error&)
    {
        // The client closed the connection or sent data that is not HTTP.
    }
    --connections_;
}

asio::awaitable<void> http_server::dispatch(http_exchange& exchange)
{
    const auto path = exchange.path();
    if (path == "/healthz")
    {
        co_await exchange.respond(200, "ok\n", "text/plain");
    }
    else if (path == "/control/seen")
    {
        const boost::json::value seen = stand_in_.seen();
        co_await exchange.respond_json(200, seen);
    }
    else if (path == "/control/fault")
    {
        const auto error = stand_in_.apply_fault(exchange.body());
        boost::json::object answer;
        answer["error"] = error;
        co_await exchange.respond_json(error.empty() ? 200 : 400, answer);
    }
    else
    {
        if (stand_in_.delay_ms() > 0)
            co_await pause(std::chrono::milliseconds(stand_in_.delay_ms()));
        if (stand_in_.refuses())
            exchange.drop_connection();
        else
            co_await stand_in_.handle(exchange);
    }
}

} // namespace tanagertrack::standin
