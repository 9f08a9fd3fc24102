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

/// One HTTP request and the answer to it. Functions that write throw
/// boost::system::system_error if the connection is closed. Not thread-safe:
/// all calls are made on the thread of the io_context.
class http_exchange
{
public:
    using request =
        boost::beast::http::request<boost::beast::http::string_body>;

    /// `socket` has to outlive the exchange.
    http_exchange(boost::asio::ip::tcp::socket& socket, request message);

    std::string_view method() const;

    /// Path without the query.
    std::string_view path() const;

    /// Number in the query string; `fallback` if it is missing or malformed.
    std::uint64_t query(std::string_view name, std::uint64_t fallback) const;

    /// Value in the query string, without percent-decoding; empty if missing.
    std::string query_text(std::string_view name) const;

    /// Value of a header field of the request; empty if missing.
    std::string header(std::string_view name) const;

    const std::string& body() const;

    /// Adds a header field to the answer; called before the answer is sent.
    void add_header(std::string_view name, std::string_view value);

    /// Sends a complete answer with a Content-Length.
    boost::asio::awaitable<void>
    respond(unsigned status, std::string body,
            std::string_view content_type = "application/json");

    /// Sends a complete answer with a JSON body.
    boost::asio::awaitable<void> respond_json(unsigned status,
                                              const boost::json::value& body);

    /// Sends the head of a chunked answer of server-sent events.
    boost::asio::awaitable<void> start_events();

    /// Sends one chunk of an answer begun by start_events().
    boost::asio::awaitable<void> write(std::string data);

    /// Sends the last chunk of an answer begun by start_events().
    boost::asio::awaitable<void> finish();

    /// Closes the connection without completing the answer.
    void drop_connection();

    /// Returns true if the client has closed its connection.
    bool is_client_disconnected();

    /// Returns true if the connection is kept for another request.
    bool keep_alive() const;

private:
    boost::asio::awaitable<void> send(std::string data);

    boost::asio::ip::tcp::socket& socket_;
    request request_;
    std::string extra_headers_;
};

} // namespace tanagertrack::standin

#endif
