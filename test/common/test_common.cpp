#include "common/backoff.hpp"
#include "common/endpoint.hpp"
#include "common/hash.hpp"
#include "common/io_thread.hpp"
#include "common/metrics.hpp"
#include "common/periodic_timer.hpp"
#include "common/result_code.hpp"
#include "common/utf8.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <fstream>
#include <future>
#include <memory>
#include <sstream>
#include <thread>

using namespace tanagertrack::common;

BOOST_AUTO_TEST_SUITE(common)

// Guards against two codes with the same number, which callers could not
// distinguish.
BOOST_AUTO_TEST_CASE(result_codes_are_unique_and_ascending)
{
    const auto rows = result_table();
    for (std::size_t i = 1; i < rows.size(); ++i)
        BOOST_TEST(static_cast<int>(rows[i - 1].code) <
                   static_cast<int>(rows[i].code));
}

// Guards against documentation that differs from the code.
BOOST_AUTO_TEST_CASE(result_codes_match_their_documentation)
{
    std::ifstream file(TANAGERTRACK_SOURCE_DIR "/docs/errors.md");
    std::ostringstream page;
    page << file.rdbuf();
    for (const auto& row : result_table())
    {
        std::ostringstream line;
        line << "| " << static_cast<int>(row.code) << " | `" << row.name
             << "` | " << row.http_status << " | " << to_string(row.ran)
             << " | " << row.text << " |";
        BOOST_TEST(page.str().find(line.str()) != std::string::npos,
                   "docs/errors.md lacks: " << line.str());
    }
}

BOOST_AUTO_TEST_CASE(result_code_survives_conversion_to_error_code)
{
    const std::error_code ec = result_code::rate_limited;
    BOOST_TEST(static_cast<bool>(ec));
    BOOST_TEST((to_result_code(ec) == result_code::rate_limited));
    BOOST_TEST((to_result_code({}) == result_code::ok));
}

// Guards against malformed text in JSON responses.
BOOST_AUTO_TEST_CASE(utf8_rejects_malformed_sequences)
{
    BOOST_TEST(is_valid_utf8("plain"));
    BOOST_TEST(is_valid_utf8("Qu\xC3\xADmico \xF0\x9F\x90\x9F"));
    BOOST_TEST(!is_valid_utf8("\xC0\xAF"));
    BOOST_TEST(!is_valid_utf8("\xED\xA0\x80"));
    BOOST_TEST(!is_valid_utf8("\xF4\x90\x80\x80"));
    BOOST_TEST(!is_valid_utf8("cut \xE2\x82"));
}

BOOST_AUTO_TEST_CASE(endpoint_with_host_name_or_invalid_port_is_rejected)
{
    BOOST_TEST(to_string(*parse_endpoint("127.0.0.1:80")) == "127.0.0.1:80");
    BOOST_TEST(to_string(*parse_endpoint("[::1]:80")) == "[::1]:80");
    BOOST_TEST(!parse_endpoint("localhost:80"));
    BOOST_TEST(!parse_endpoint("127.0.0.1:0"));
    BOOST_TEST(!parse_endpoint("127.0.0.1:70000"));
}

BOOST_AUTO_TEST_CASE(hash_depends_on_part_boundaries)
{
    BOOST_TEST(hash128({"ab", "c"}) != hash128({"a", "bc"}));
    incremental_hash pieces;
    pieces.update("one ");
    pieces.update("two");
    BOOST_TEST(pieces.digest() == hash128("one two"));
}

BOOST_AUTO_TEST_CASE(backoff_delays_stay_within_bounds)
{
    backoff delays(
        {std::chrono::milliseconds(100), std::chrono::milliseconds(1000)}, 7);
    for (int i = 0; i < 50; ++i)
    {
        const auto n = delays.next().count();
        BOOST_TEST((n >= 1 && n <= 1000));
    }
}

// Guards against unlimited memory use when label values come from callers.
BOOST_AUTO_TEST_CASE(label_values_over_the_limit_share_one_series)
{
    metrics_registry metrics(2);
    for (const auto* team : {"a", "b", "c", "d"})
        metrics.get_counter("requests", "Requests.", {{"team", team}}).add();
    const auto text = metrics.render();
    BOOST_TEST(text.find("requests{team=\"other\"} 2") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(histogram_quantile_is_a_bucket_bound)
{
    histogram values;
    for (int i = 0; i < 99; ++i)
        values.record(0.001);
    values.record(1.0);
    BOOST_TEST(values.quantile(0.5) == 0.001);
    BOOST_TEST(values.quantile(1.0) >= 1.0);
}

// Guards against `post` blocking its caller, or queueing without a limit, while
// the thread is busy or not started.
BOOST_AUTO_TEST_CASE(post_fails_when_the_queue_is_full)
{
    io_thread thread("test", 4);
    int accepted = 0;
    for (int i = 0; i < 100; ++i)
        accepted += thread.post([] {}) ? 1 : 0;
    BOOST_TEST(accepted >= 4);
    BOOST_TEST(accepted < 100);

    thread.start();
    std::promise<void> done;
    while (!thread.post([&] { done.set_value(); }))
        std::this_thread::yield();
    done.get_future().get();
}

// Guards against the use of a destroyed timer by a handler that was queued
// before. Both timers have expired when the handlers run.
BOOST_AUTO_TEST_CASE(destroyed_timer_does_not_call_its_queued_handler)
{
    using std::chrono::milliseconds;
    boost::asio::io_context context;
    unsigned calls = 0;
    auto timer = std::make_unique<periodic_timer>(context, milliseconds(2),
                                                  [&calls] { ++calls; });
    boost::asio::steady_timer first(context, milliseconds(1));
    first.async_wait([&timer](const auto&) { timer.reset(); });
    timer->start();
    std::this_thread::sleep_for(milliseconds(10));
    context.run();
    BOOST_TEST(calls == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
