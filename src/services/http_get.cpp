#include "services/http_get.hpp"

#include "common/result_code.hpp"

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

#include <charconv>
#include <string_view>
#include <utility>

namespace tanagertrack::services
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using common::result_code;

/// Reads Retry-After in seconds; 0 when it is absent or a date.
std::chrono::seconds retry_after(const http::response<http::string_body>& from)
{
    const auto value = from[http::field::retry_after];
    unsigned seconds = 0;
    std::from_chars(value.data(), value.data() + value.size(), seconds);
    return std::chrono::seconds(seconds);
}

asio::awaitable<void> run(asio::io_context& context, get_request request,
                          get_handler handler)
{
    beast::tcp_stream stream(context);
    beast::flat_buffer buffer;
    http::request<http::empty_body> message(http::verb::get, request.target,
                                            11);
    message.set(http::field::host, common::to_string(request.address));
    message.set(http::field::connection, "close");
    http::response_parser<http::string_body> parser;
    parser.body_limit(request.max_body_bytes);

    error_code ec;
    const auto token = [&ec]
    {
        return asio::redirect_error(asio::use_awaitable, ec);
    };
    const auto ip = asio::ip::make_address(request.address.address, ec);
    stream.expires_after(request.timeout);
    if (!ec)
        co_await stream.async_connect(
            asio::ip::tcp::endpoint(ip, request.address.port), token());
    if (!ec)
        co_await http::async_write(stream, message, token());
    if (!ec)
        co_await http::async_read(stream, buffer, parser, token());
    if (ec)
    {
        handler(result_code::connection_lost, {});
        co_return;
    }

    auto& answer = parser.get();
    handler({}, {answer.result_int(), std::move(answer.body()),
                 retry_after(answer)});
}

} // namespace

void http_get(asio::io_context& context, get_request request,
              get_handler handler)
{
    asio::co_spawn(context,
                   run(context, std::move(request), std::move(handler)),
                   asio::detached);
}

} // namespace tanagertrack::services
