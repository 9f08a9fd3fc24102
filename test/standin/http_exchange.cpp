#include "standin/http_exchange.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <charconv>
#include <cstdio>
#include <sys/socket.h>
#include <utility>

namespace tanagertrack::standin
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

http_exchange::http_exchange(asio::ip::tcp::socket& socket, request message)
    : socket_(socket), request_(std::move(message))
{
}

std::string_view http_exchange::method() const
{
    const auto it = request_.method_string();
    return {it.data(), it.size()};
}

std::string_view http_exchange::path() const
{
    const std::string_view target(request_.target().data(),
                                  request_.target().size());
    return target.substr(0, target.find('?'));
}

std::string http_exchange::query_text(std::string_view name) const
{
    std::string_view rest(request_.target().data(), request_.target().size());
    const auto start = rest.find('?');
    rest.remove_prefix(start == rest.npos ? rest.size() : start + 1);
    while (!rest.empty())
    {
        const auto pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        if (pair.size() > name.size() && pair.starts_with(name) &&
            pair[name.size()] == '=')
            return std::string(pair.substr(name.size() + 1));
    }
    return {};
}

std::uint64_t http_exchange::query(std::string_view name,
                                   std::uint64_t fallback) const
{
    const auto value = query_text(name);
    std::uint64_t out = 0;
    const auto* end = value.data() + value.size();
    const bool valid =
        !value.empty() && std::from_chars(value.data(), end, out).ptr == end;
    return valid ? out : fallback;
}

std::string http_exchange::header(std::string_view name) const
{
    return std::string(request_[boost::beast::string_view(name)]);
}

const std::string& http_exchange::body() const
{
    return request_.body();
}

void http_exchange::add_header(std::string_view name, std::string_view value)
{
    extra_headers_.append(name).append(": ").append(value).append("\r\n");
}

asio::awaitable<void> http_exchange::respond(unsigned status, std::string body,
                                             std::string_view content_type)
{
    const auto reason = http::obsolete_reason(http::int_to_status(status));
    std::string out = "HTTP/1.1 " + std::to_string(status) + ' ';
    out.append(reason.data(), reason.size());
    out.append("\r\nContent-Type: ").append(content_type);
    out.append("\r\nContent-Length: " + std::to_string(body.size()) + "\r\n");
    out.append(extra_headers_).append("\r\n").append(body);
    co_await send(std::move(out));
}

asio::awaitable<void>
http_exchange::respond_json(unsigned status, const boost::json::value& body)
{
    return respond(status, boost::json::serialize(body));
}

asio::awaitable<void> http_exchange::start_events()
{
    return send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n" +
                extra_headers_ + "\r\n");
}

asio::awaitable<void> http_exchange::write(std::string data)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    return send(size + std::move(data) + "\r\n");
}

asio::awaitable<void> http_exchange::finish()
{
    return send("0\r\n\r\n");
}

void http_exchange::drop_connection()
{
    boost::system::error_code ec;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ec);
    socket_.close(ec);
}

bool http_exchange::is_client_disconnected()
{
    if (!socket_.is_open())
        return true;
    char byte = 0;
    const auto n =
        ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

bool http_exchange::keep_alive() const
{
    return socket_.is_open() && request_.keep_alive();
}

asio::awaitable<void> http_exchange::send(std::string data)
{
    co_await asio::async_write(socket_, asio::buffer(data),
                               asio::use_awaitable);
}

} // namespace tanagertrack::standin
