#include "cli/answers.hpp"
#include "cli/command.hpp"
#include "cli/exit_status.hpp"
#include "support/scripted_server.hpp"

#include <boost/test/unit_test.hpp>

#include <sstream>
#include <thread>

using namespace tanagertrack;
using namespace tanagertrack::cli;

namespace
{

/// Runs the tool without environment variables, and holds its exit status and
/// its output.
struct run_result
{
    explicit run_result(std::vector<std::string> words)
    {
        status = run_command(words, {out, err,
                                     [](const std::string&)
                                     {
                                         return std::string();
                                     }});
    }

    std::ostringstream out;
    std::ostringstream err;
    int status;
};

/// An entry that sends scripted responses. It has its own thread, because the
/// tool blocks.
struct scripted_entry
{
    scripted_entry() : server(context), work(context.get_executor())
    {
    }

    ~scripted_entry()
    {
        boost::asio::post(context, [this] { server.stop(); });
        work.reset();
        thread.join();
    }

    /// Starts to answer. Call after all responses were added.
    void start()
    {
        thread = std::thread([this] { context.run(); });
    }

    /// Adds a response with status 503. `execution` is the member of its error,
    /// `fields` are further header lines.
    void refuse(const std::string& execution, const std::string& fields)
    {
        const std::string body =
            R"({"error":{"code":1202,"name":"no_capacity","message":"m",)"
            R"("execution":")" +
            execution + R"(","request_id":"r"}})";
        server.add("HTTP/1.1 503 Busy\r\n" + fields + "Content-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    boost::asio::io_context context;
    test::scripted_server server;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work;
    std::thread thread;
};

} // namespace

BOOST_AUTO_TEST_SUITE(commands)

// Guards against a tool that fails at once when the entry is only overloaded
// for a moment and asks for a retry.
BOOST_AUTO_TEST_CASE(call_is_retried_when_refused_as_not_run_with_retry_after)
{
    scripted_entry entry;
    entry.refuse("not_run", "Retry-After: 1\r\n");
    entry.server.add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    entry.start();
    const run_result run(
        {"status", "--operator", to_string(entry.server.address())});
    BOOST_TEST(run.status == exit_ok);
    BOOST_TEST(entry.server.accepted == 2);
}

// Guards against work that runs twice, because a call that may have run is
// retried, and against retries without end.
BOOST_AUTO_TEST_CASE(call_is_not_retried_when_a_retry_condition_is_missing)
{
    scripted_entry entry;
    entry.refuse("may_have_run", "Retry-After: 1\r\n");
    entry.refuse("not_run", "");
    entry.refuse("not_run", "Retry-After: 1\r\n");
    entry.start();
    const auto address = to_string(entry.server.address());
    BOOST_TEST(run_result({"status", "--operator", address}).status ==
               exit_may_have_run);
    BOOST_TEST(run_result({"status", "--operator", address}).status ==
               exit_not_run);
    BOOST_TEST(
        run_result({"status", "--operator", address, "--retry-ms", "500"})
            .status == exit_not_run);
    BOOST_TEST(entry.server.accepted == 3);
}

// Guards against scripts that treat a mistyped command as a success.
BOOST_AUTO_TEST_CASE(exit_status_is_2_when_arguments_are_invalid)
{
    BOOST_TEST(run_result({}).status == exit_usage);
    BOOST_TEST(run_result({"job"}).status == exit_usage);
    BOOST_TEST(run_result({"job", "explode"}).status == exit_usage);
    BOOST_TEST(run_result({"job", "show"}).status == exit_usage);
    BOOST_TEST(run_result({"job", "show", "x"}).status == exit_usage);
    BOOST_TEST(run_result({"status", "--operator", "host:1"}).status ==
               exit_usage);
    BOOST_TEST(
        run_result({"status", "--operator", "127.0.0.1:1", "--output", "xml"})
            .status == exit_usage);
    for (const auto* it : {"-1", "x", "1s", "99999999"})
        BOOST_TEST(run_result({"status", "--operator", "127.0.0.1:1",
                               "--retry-ms", it})
                       .status == exit_usage);
}

BOOST_AUTO_TEST_CASE(help_lists_every_command)
{
    const run_result help({"--help"});
    BOOST_TEST(help.status == exit_ok);
    for (const auto& it : all_commands())
        BOOST_TEST(help.out.str().find(it.name) != std::string::npos);
}

// Port 1 on the loopback address has no listener. Guards against reporting a
// request as possibly run although no connection was established.
BOOST_AUTO_TEST_CASE(exit_status_is_5_when_the_entry_is_unreachable)
{
    const run_result run({"status", "--operator", "127.0.0.1:1"});
    BOOST_TEST(run.status == exit_unreachable);
    BOOST_TEST(run.err.str().find("not sent") != std::string::npos);
}

// Guards against reporting work that may have run as not run.
BOOST_AUTO_TEST_CASE(exit_status_follows_the_execution_in_the_error)
{
    const auto report = [](const std::string& execution)
    {
        std::ostringstream err;
        api_answer answer;
        answer.status = 503;
        answer.body = R"({"error":{"code":1,"name":"n","message":"m",)"
                      R"("execution":")" +
                      execution + R"(","request_id":"r"}})";
        return report_failure(answer, err);
    };
    BOOST_TEST(report("not_run") == exit_not_run);
    BOOST_TEST(report("may_have_run") == exit_may_have_run);
    BOOST_TEST(report("ran") == exit_failed);

    std::ostringstream err;
    api_answer lost;
    lost.sent = true;
    BOOST_TEST(report_failure(lost, err) == exit_may_have_run);
}

BOOST_AUTO_TEST_SUITE_END()
