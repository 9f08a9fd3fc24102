#include "common/result_code.hpp"
#include "services/http_log.hpp"
#include "services/scripted_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>

using namespace tanagertrack;
using boost::asio::ip::tcp;
using common::result_code;
using test::answer;
using test::scripted_server;

namespace
{

struct append_result
{
    std::error_code ec;
    std::uint64_t offset = 0;
};

append_result append(boost::asio::io_context& context,
                     services::log_service& log)
{
    std::optional<append_result> result;
    log.append("s", "data",
               [&](std::error_code ec, std::uint64_t offset) {
                   result = append_result{ec, offset};
               });
    context.restart();
    context.run();
    BOOST_REQUIRE(result);
    return *result;
}

struct read_outcome
{
    std::error_code ec;
    services::log_read_result result;
};

read_outcome read(boost::asio::io_context& context, services::log_service& log,
                  std::uint64_t from)
{
    std::optional<read_outcome> outcome;
    log.read({"s", from},
             [&](std::error_code ec, services::log_read_result result) {
                 outcome = read_outcome{ec, std::move(result)};
             });
    context.restart();
    context.run();
    BOOST_REQUIRE(outcome);
    return *outcome;
}

} // namespace

// Guards against reporting a record as not appended when it may be.
BOOST_AUTO_TEST_CASE(append_errors_are_told_apart)
{
    scripted_server server({{answer(200, R"({"offset":7})"), answer(429, ""),
                             answer(503, ""), answer(500, ""), ""},
                            {answer(200, "garbage")}});
    boost::asio::io_context context;
    auto log = services::make_http_log(context, {server.address()});
    BOOST_TEST(append(context, log).offset == 7u);
    BOOST_TEST(append(context, log).ec == result_code::log_unavailable);
    BOOST_TEST(append(context, log).ec == result_code::log_unavailable);
    BOOST_TEST(append(context, log).ec == result_code::log_append_unknown);
    // The pooled connection breaks after the request was written.
    BOOST_TEST(append(context, log).ec == result_code::log_append_unknown);
    BOOST_TEST(append(context, log).ec == result_code::log_append_unknown);
}

// Guards against an outage being taken for a lost answer.
BOOST_AUTO_TEST_CASE(refused_connection_is_unavailable)
{
    common::endpoint address;
    {
        boost::asio::io_context context;
        tcp::acceptor unused(context,
                             {boost::asio::ip::make_address("127.0.0.1"), 0});
        address = {"127.0.0.1", unused.local_endpoint().port()};
    }
    boost::asio::io_context context;
    auto log = services::make_http_log(context, {address});
    BOOST_TEST(append(context, log).ec == result_code::log_unavailable);
    BOOST_TEST(read(context, log, 1).ec == result_code::log_unavailable);
}

// Guards against wrong framing of records, expiry read as an empty stream, and
// a read that fails only because an idle connection was closed.
BOOST_AUTO_TEST_CASE(reads_are_parsed_and_repeated)
{
    using namespace std::string_literals;
    const auto body = "\0\0\0\0\0\0\0\5\0\0\0\2ab\0\0\0\0\0\0\0\6\0\0\0\0"s;
    scripted_server server(
        {{answer(200, body, "X-First-Offset: 2\r\nX-Next-Offset: 7\r\n"), ""},
         {answer(410, R"({"first":9})"), answer(200, body.substr(0, 13))}});
    boost::asio::io_context context;
    auto log = services::make_http_log(context, {server.address()});

    const auto first = read(context, log, 5);
    BOOST_TEST(!first.ec);
    BOOST_REQUIRE(first.result.records.size() == 2u);
    BOOST_TEST(first.result.records[0].data == "ab");
    BOOST_TEST(first.result.records[1].offset == 6u);
    BOOST_TEST(first.result.first_offset == 2u);
    BOOST_TEST(first.result.next_offset == 7u);

    const auto gone = read(context, log, 1);
    BOOST_TEST(gone.ec == result_code::log_offset_expired);
    BOOST_TEST(gone.result.first_offset == 9u);

    BOOST_TEST(read(context, log, 5).ec == result_code::log_unavailable);
}

// Guards against an append that hangs when the log accepts and says nothing.
BOOST_AUTO_TEST_CASE(silent_log_times_out_as_unknown)
{
    boost::asio::io_context server_context;
    tcp::acceptor silent(server_context,
                         {boost::asio::ip::make_address("127.0.0.1"), 0});
    boost::asio::io_context context;
    services::http_log_settings settings;
    settings.address = {"127.0.0.1", silent.local_endpoint().port()};
    settings.timeout = std::chrono::milliseconds(50);
    auto log = services::make_http_log(context, settings);
    BOOST_TEST(append(context, log).ec == result_code::log_append_unknown);
}
