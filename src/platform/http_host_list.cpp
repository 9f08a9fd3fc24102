#include "common/result_code.hpp"
#include "platform/host_list.hpp"

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

#include <chrono>
#include <utility>

namespace tanagertrack::platform
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using common::result_code;

using fetch_handler =
    std::function<void(std::error_code, std::vector<listed_host>)>;

constexpr auto fetch_timeout = std::chrono::seconds(2);

/// Largest list; 20,000 hosts take about 1 MiB.
constexpr std::uint64_t max_list_bytes = 4UL * 1024 * 1024;

/// Reads the JSON list; false when it is not valid.
bool parse_hosts(std::string_view text, std::vector<listed_host>& out)
{
    error_code ec;
    const auto value = boost::json::parse(text, ec);
    if (ec || !value.is_array())
        return false;
    for (const auto& it : value.get_array())
    {
        const auto* row = it.if_object();
        const auto* host = row != nullptr ? row->if_contains("host") : nullptr;
        const auto* state =
            row != nullptr ? row->if_contains("state") : nullptr;
        if (host == nullptr || !host->is_string() || state == nullptr ||
            !state->is_string())
            return false;
        const bool leaving = state->get_string() == "leaving";
        out.push_back({std::string(host->get_string()),
                       leaving ? host_state::leaving : host_state::live});
    }
    return true;
}

asio::awaitable<void> fetch(asio::io_context& context, common::endpoint address,
                            fetch_handler handler)
{
    beast::tcp_stream stream(context);
    beast::flat_buffer buffer;
    http::request<http::empty_body> request(http::verb::get, "/hosts", 11);
    request.set(http::field::host, common::to_string(address));
    request.set(http::field::connection, "close");
    http::response_parser<http::string_body> answer;
    answer.body_limit(max_list_bytes);

    error_code ec;
    const auto token = [&ec]
    {
        return asio::redirect_error(asio::use_awaitable, ec);
    };
    const auto ip = asio::ip::make_address(address.address, ec);
    stream.expires_after(fetch_timeout);
    if (!ec)
        co_await stream.async_connect(asio::ip::tcp::endpoint(ip, address.port),
                                      token());
    if (!ec)
        co_await http::async_write(stream, request, token());
    if (!ec)
        co_await http::async_read(stream, buffer, answer, token());

    std::vector<listed_host> hosts;
    if (ec || answer.get().result() != http::status::ok)
        handler(result_code::connection_lost, {});
    else if (!parse_hosts(answer.get().body(), hosts))
        handler(result_code::protocol_error, {});
    else
        handler({}, std::move(hosts));
}

} // namespace

host_list make_http_host_list(asio::io_context& context,
                              common::endpoint address)
{
    host_list list;
    list.fetch = [&context, address = std::move(address)](fetch_handler handler)
    {
        asio::co_spawn(context, fetch(context, address, std::move(handler)),
                       asio::detached);
    };
    return list;
}

} // namespace tanagertrack::platform
