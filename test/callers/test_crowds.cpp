#include "callers/crowd.hpp"
#include "callers/loaded_entry.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <string>

// Callers that are not controlled must not bring down an entry. In a trial, 200
// callers with partial bodies of 1 MB took 210 MB of an entry that had 160 MB.

namespace tanagertrack::test
{

namespace
{

// Crowds and sizes. Each crowd sends more than the memory limit of the entry
// (64 MB), unless its kind has another limit.
constexpr std::size_t crowd_size = 200;
constexpr std::size_t large_body = 1000UL * 1024;
constexpr std::size_t announced_body = 1024UL * 1024 * 1024;
constexpr std::size_t oversized_body = 5UL * 1024 * 1024;
constexpr std::size_t large_chunk = 64UL * 1024;
constexpr std::size_t tiny_chunk = 16;
constexpr std::size_t tiny_chunks_body = 256UL * 1024;
constexpr std::size_t tiny_chunks_crowd = 300;
constexpr std::size_t answer_body = 800UL * 1024;
constexpr std::size_t slow_readers = 150;
constexpr std::size_t head_bytes = 15UL * 1024;
constexpr std::size_t head_crowd = 400;
constexpr std::size_t idle_crowd = 700;
constexpr std::size_t line_bytes = 250UL * 1024;
constexpr std::size_t line_crowd = 400;
constexpr std::size_t upload_bytes = 4000UL * 1024;
constexpr std::size_t upload_crowd = 40;

const auto interfaces = boost::unit_test::data::make(
    {interface_kind::own, interface_kind::platform});

std::string with_length(const std::string& head, std::size_t bytes)
{
    return head + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

/// Returns a chunked request with `bytes` bytes of body and no last chunk.
std::string chunked(const std::string& head, std::size_t bytes,
                    std::size_t chunk)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", chunk);
    const auto text = size + std::string(chunk, 'x') + "\r\n";
    auto out = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t n = 0; n < bytes; n += chunk)
        out += text;
    return out;
}

void run_crowd(const loaded_entry& entry, std::size_t count, std::string bytes,
               answer_use use = answer_use::read)
{
    crowd callers(entry.port(), count, std::move(bytes), use);
    callers.run();
    entry.check();
}

/// Returns lines of a job of `bytes` bytes in total.
std::string job_lines_of(std::size_t bytes)
{
    std::string out;
    for (int n = 0; out.size() < bytes; ++n)
        out += R"({"custom_id":"i)" + std::to_string(n) +
               R"(","method":"POST","url":"/v1/chat/completions",)"
               R"("body":{"model":"scribi","messages":[{"role":"user",)"
               R"("content":")" +
               std::string(100000, 'x') + "\"}]}}\n";
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(crowds)

BOOST_DATA_TEST_CASE(whole_large_bodies, interfaces, kind)
{
    const loaded_entry entry(kind);
    run_crowd(entry, crowd_size,
              with_length(entry.service_head(), large_body) +
                  std::string(large_body, 'x'));
}

BOOST_DATA_TEST_CASE(large_bodies_one_byte_short, interfaces, kind)
{
    const loaded_entry entry(kind);
    run_crowd(entry, crowd_size,
              with_length(entry.service_head(), large_body) +
                  std::string(large_body - 1, 'x'));
}

BOOST_DATA_TEST_CASE(bodies_announced_over_the_limit, interfaces, kind)
{
    const loaded_entry entry(kind);
    run_crowd(entry, crowd_size,
              with_length(entry.service_head(), announced_body) +
                  std::string(oversized_body, 'x'));
}

BOOST_DATA_TEST_CASE(bodies_sent_over_the_limit, interfaces, kind)
{
    const loaded_entry entry(kind);
    run_crowd(entry, crowd_size,
              chunked(entry.service_head(), oversized_body, large_chunk));
}

BOOST_DATA_TEST_CASE(large_chunks_without_end, interfaces, kind)
{
    const loaded_entry entry(kind);
    run_crowd(
        entry, crowd_size,
        chunked(entry.service_head(), large_body - large_chunk, large_chunk));
}

BOOST_DATA_TEST_CASE(tiny_chunks_without_end, interfaces, kind)
{
    const loaded_entry entry(kind);
    run_crowd(entry, tiny_chunks_crowd,
              chunked(entry.service_head(), tiny_chunks_body, tiny_chunk));
}

BOOST_DATA_TEST_CASE(answers_that_nobody_reads, interfaces, kind)
{
    const loaded_entry entry(kind);
    run_crowd(entry, slow_readers,
              with_length(entry.service_head(), answer_body) +
                  std::string(answer_body, 'x'),
              answer_use::ignore);
}

BOOST_DATA_TEST_CASE(heads_without_end, interfaces, kind)
{
    const loaded_entry entry(kind);
    run_crowd(entry, head_crowd,
              entry.service_head() + "X: " + std::string(head_bytes, 'x'));
}

BOOST_DATA_TEST_CASE(idle_connections, interfaces, kind)
{
    const loaded_entry entry(kind);
    run_crowd(entry, idle_crowd, "P");
}

/// Each job is one line, or on the platform one object, without end.
BOOST_DATA_TEST_CASE(job_uploads_without_end, interfaces, kind)
{
    const loaded_entry entry(kind);
    run_crowd(
        entry, line_crowd,
        chunked(entry.job_head(), line_bytes - large_chunk, large_chunk / 2));
}

BOOST_DATA_TEST_CASE(job_uploads_while_the_store_is_silent, interfaces, kind)
{
    const loaded_entry entry(kind);
    entry.silence_store();
    const auto lines = job_lines_of(upload_bytes);
    run_crowd(entry, upload_crowd,
              with_length(entry.job_head(), lines.size() + 1) + lines);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace tanagertrack::test
