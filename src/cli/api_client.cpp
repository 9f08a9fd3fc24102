#include "cli/api_client.hpp"

#include "cli/answers.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <thread>

namespace tanagertrack::cli
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr std::uint64_t max_answer_bytes = 64ULL * 1024 * 1024;
constexpr std::size_t buffer_bytes = 64 * 1024;

/// Longest pause before a retry, also if the entry's Retry-After asks for a
/// longer one: the tool serves a single caller who waits for it.
constexpr std::chrono::milliseconds max_retry_pause{1000};

/// A connection with blocking operations, each of which fails at the timeout.
/// Beast applies its timeouts to asynchronous operations only, so each
/// operation is started asynchronously and the context is run until it has
/// ended.
class connection
{
public:
    explicit connection(const api_settings& settings)
        : settings_(settings), stream_(context_)
    {
    }

    beast::error_code connect()
    {
        const asio::ip::tcp::endpoint peer(
            asio::ip::make_address(settings_.address.address),
            settings_.address.port);
        return run([&](auto handler) { stream_.async_connect(peer, handler); });
    }

    template<typename Body>
    beast::error_code write(http::request<Body>& message)
    {
        http::request_serializer<Body> serializer(message);
        beast::error_code ec;
        // Written piece by piece, so that the timeout limits the time without
        // progress and not the time of the whole write.
        do
        {
            ec = run([&](auto handler)
                     { http::async_write_some(stream_, serializer, handler); });
        } while (!ec && !serializer.is_done());
        return ec;
    }

    template<typename Parser>
    beast::error_code read_header(Parser& parser)
    {
        return run(
            [&](auto handler)
            { http::async_read_header(stream_, buffer_, parser, handler); });
    }

    template<typename Parser>
    beast::error_code read_some(Parser& parser)
    {
        return run(
            [&](auto handler)
            { http::async_read_some(stream_, buffer_, parser, handler); });
    }

private:
    /// Starts an operation with the timeout and blocks until it has ended.
    template<typename Operation>
    beast::error_code run(Operation start)
    {
        beast::error_code result;
        stream_.expires_after(settings_.timeout);
        start([&result](beast::error_code ec, auto&&...) { result = ec; });
        context_.restart();
        context_.run();
        return result;
    }

    const api_settings& settings_;
    asio::io_context context_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
};

template<typename Body>
void set_fields(http::request<Body>& message, const api_request& request,
                const api_settings& settings)
{
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.keep_alive(false);
    message.set(http::field::host, to_string(settings.address));
    message.set(http::field::user_agent, "tanagertrack");
    if (!settings.key.empty())
        message.set(http::field::authorization, "Bearer " + settings.key);
    if (!request.content_type.empty())
        message.set(http::field::content_type, request.content_type);
    if (!request.idempotency_key.empty())
        message.set("Idempotency-Key", request.idempotency_key);
}

beast::error_code write_request(connection& out, const api_request& request,
                                const api_settings& settings)
{
    if (request.body_file.empty())
    {
        http::request<http::string_body> message;
        message.body() = request.body;
        set_fields(message, request, settings);
        message.prepare_payload();
        return out.write(message);
    }

    http::request<http::file_body> message;
    beast::error_code ec;
    message.body().open(request.body_file.c_str(), beast::file_mode::scan, ec);
    if (ec)
        return ec;
    set_fields(message, request, settings);
    message.prepare_payload();
    return out.write(message);
}

/// Returns the answer for a call that failed with a network error.
api_answer make_failure(beast::error_code ec, bool sent)
{
    api_answer answer;
    answer.error = ec.message();
    answer.sent = sent;
    return answer;
}

/// Reads the body in pieces. The body of a response with a status below 300 is
/// passed to `out`; any other one is collected in `answer`.
beast::error_code read_body(connection& in,
                            http::response_parser<http::buffer_body>& parser,
                            const api_client::sink& out, api_answer& answer)
{
    std::array<char, buffer_bytes> piece;
    while (!parser.is_done())
    {
        auto& body = parser.get().body();
        body.data = piece.data();
        body.size = piece.size();
        auto ec = in.read_some(parser);
        if (ec == http::error::need_buffer)
            ec = {};
        if (ec)
            return ec;

        const std::string_view text(piece.data(), piece.size() - body.size);
        if (answer.status >= 300)
            answer.body += text;
        else if (!text.empty() && !out(text))
            return {};
    }
    return {};
}

/// Parses a Retry-After header. Returns 0 if it is empty or not a number of
/// seconds.
std::chrono::seconds parse_retry_after(std::string_view text)
{
    unsigned n = 0;
    const auto* end = text.data() + text.size();
    const auto [at, ec] = std::from_chars(text.data(), end, n);
    return std::chrono::seconds(ec == std::errc() && at == end ? n : 0);
}

} // namespace

api_client::api_client(api_settings settings) : settings_(std::move(settings))
{
}

api_answer api_client::call(const api_request& request) const
{
    std::string body;
    auto answer = stream(request,
                         [&body](std::string_view piece)
                         {
                             body += piece;
                             return body.size() <= max_answer_bytes;
                         });
    if (answer.body.empty())
        answer.body = std::move(body);
    return answer;
}

api_answer api_client::stream(const api_request& request, const sink& out) const
{
    const auto retry_deadline =
        std::chrono::steady_clock::now() + settings_.retry_time;
    while (true)
    {
        auto answer = stream_without_retry(request, out);
        const auto pause = std::min<std::chrono::milliseconds>(
            answer.retry_after, max_retry_pause);
        const bool may_retry =
            pause.count() > 0 && is_refused_as_not_run(answer);
        if (!may_retry ||
            std::chrono::steady_clock::now() + pause > retry_deadline)
            return answer;
        std::this_thread::sleep_for(pause);
    }
}

api_answer api_client::stream_without_retry(const api_request& request,
                                            const sink& out) const
{
    connection entry(settings_);
    if (const auto ec = entry.connect())
        return make_failure(ec, false);

    // An entry may answer, for example with 413, and close the connection
    // before it has read the whole body. So the response is read even if
    // writing failed.
    const auto write_error = write_request(entry, request, settings_);

    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    if (const auto ec = entry.read_header(parser))
        return make_failure(write_error ? write_error : ec, true);

    api_answer answer;
    answer.status = parser.get().result_int();
    answer.sent = true;
    const auto retry_after = parser.get()[http::field::retry_after];
    answer.retry_after =
        parse_retry_after({retry_after.data(), retry_after.size()});
    if (const auto ec = read_body(entry, parser, out, answer))
        return make_failure(ec, true);
    return answer;
}

} // namespace tanagertrack::cli
