#ifndef TANAGERTRACK_STANDIN_HTTP_EXCHANGE_HPP
#define TANAGERTRACK_STANDIN_HTTP_EXCHANGE_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace boost::json
{
class value;
} // namespace boost::json

namespace tanagertrack::standin
{

/// One HTTP request and its answer. One thread. Functions that write throw
/// when the client is gone.
class http_exchange
{
public:
    using request =
        boost::beast::http::request<boost::beast::http::string_body>;

    http_exchange(boost::asio::ip::tcp::socket& socket, request message);

    std::string_view method() const;

    /// Path without the query.
    std::string_view path() const;

    /// Number in the query; `fallback` when it is missing or malformed.
    std::uint64_t query(std::string_view name, std::uint64_t fallback) const;

    /// Text in the query; empty when it is missing.
    std::string query_text(std::string_view name) const;

    /// Value of a header field; empty when it is missing.
    std::string header(std::string_view name) const;

    const std::string& body() const;

    /// Adds a header field to the answer.
    void add_header(std::string_view name, std::string_view value);

    /// Sends a whole answer.
    boost::asio::awaitable<void>
    respond(unsigned status, std::string body,
            std::string_view content_type = "application/json");

    /// Sends a whole JSON answer.
    boost::asio::awaitable<void> respond_json(unsigned status,
                                              const boost::json::value& body);

    /// Starts an answer of server-sent events.
    boost::asio::awaitable<void> start_events();

    /// Sends a piece of a started answer.
    boost::asio::awaitable<void> write(std::string data);

    /// Ends a started answer.
    boost::asio::awaitable<void> finish();

    /// Closes the connection without completing the answer.
    void drop();

    /// Whether the client has closed its connection.
    bool client_gone();

    /// Whether the connection is kept for another request.
    bool keep_alive() const;

private:
    boost::asio::awaitable<void> send(std::string data);

    boost::asio::ip::tcp::socket& socket_;
    request request_;
    std::string extra_headers_;
};

} // namespace tanagertrack::standin

#endif
