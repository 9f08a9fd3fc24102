#include "common/result_code.hpp"
#include "services/host_list.hpp"
#include "services/scripted_server.hpp"
#include "services/weight_store.hpp"

#include <boost/test/unit_test.hpp>

using namespace tanagertrack;
using common::result_code;
using test::answer;
using test::scripted_server;

BOOST_AUTO_TEST_SUITE(http_get)

// Guards against orders that go on loading while the store asks to wait.
BOOST_AUTO_TEST_CASE(weight_store_tells_its_rate_limit)
{
    scripted_server server({{answer(200, "www")},
                            {answer(429, "{}", "Retry-After: 3\r\n")},
                            {answer(404, "{}")},
                            {""}});
    boost::asio::io_context context;
    const auto store =
        services::make_http_weight_store(context, server.address(), 1024);
    const auto read = [&]
    {
        std::error_code result;
        services::weight_answer weights;
        store.read("scribi",
                   [&](std::error_code ec, services::weight_answer it)
                   {
                       result = ec;
                       weights = std::move(it);
                   });
        context.restart();
        context.run();
        return std::pair(result, weights);
    };
    BOOST_TEST(read().second.weights == "www");
    const auto limited = read();
    BOOST_TEST(limited.first == result_code::rate_limited);
    BOOST_TEST(limited.second.retry_after.count() == 3);
    BOOST_TEST(read().first == result_code::unknown_model);
    BOOST_TEST(read().first == result_code::connection_lost);
    BOOST_TEST(server.requests.at(0).starts_with("GET /weights/scribi "));
}

// Guards against a list that is taken although a part of it is not valid: the
// missing hosts would count as gone.
BOOST_AUTO_TEST_CASE(host_list_is_taken_whole_or_not_at_all)
{
    scripted_server server(
        {{answer(200, R"([{"host":"10.0.0.1","state":"live"},)"
                      R"({"host":"10.0.0.2","state":"leaving"}])")},
         {answer(200, R"([{"host":"10.0.0.1","state":"live"},{"host":7}])")},
         {answer(503, "")}});
    boost::asio::io_context context;
    const auto list = services::make_http_host_list(context, server.address());
    const auto fetch = [&]
    {
        std::error_code result;
        std::vector<services::listed_host> hosts;
        list.fetch(
            [&](std::error_code ec, std::vector<services::listed_host> it)
            {
                result = ec;
                hosts = std::move(it);
            });
        context.restart();
        context.run();
        return std::pair(result, hosts);
    };
    const auto whole = fetch().second;
    BOOST_TEST_REQUIRE(whole.size() == 2u);
    BOOST_TEST((whole[1].state == services::host_state::leaving));
    BOOST_TEST(fetch().first == result_code::protocol_error);
    BOOST_TEST(fetch().first == result_code::connection_lost);
}

BOOST_AUTO_TEST_SUITE_END()
