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

/// Runs the tool with captured output and without environment variables.
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

/// An entry that answers from a script, on a thread of its own because the tool
/// blocks.
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

    /// Starts to answer; the script is complete.
    void start()
    {
        thread = std::thread([this] { context.run(); });
    }

    /// Adds a refusal.
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

// Guards against a tool that gives up where its callers would come back.
BOOST_AUTO_TEST_CASE(call_refused_as_not_run_is_repeated)
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

// Guards against work that runs twice, and against calls that never end.
BOOST_AUTO_TEST_CASE(other_refusals_are_not_repeated)
{
    scripted_entry entry;
    entry.refuse("may_have_run", "Retry-After: 1\r\n");
    entry.refuse("not_run", "");
    entry.refuse("not_run", "Retry-After: 1\r\n");
    entry.start();
    const auto where = to_string(entry.server.address());
    BOOST_TEST(run_result({"status", "--operator", where}).status ==
               exit_may_have_run);
    BOOST_TEST(run_result({"status", "--operator", where}).status ==
               exit_not_run);
    BOOST_TEST(run_result({"status", "--operator", where, "--retry-ms", "500"})
                   .status == exit_not_run);
    BOOST_TEST(entry.server.accepted == 3);
}

// Guards against scripts that take a mistyped command for a success.
BOOST_AUTO_TEST_CASE(wrong_arguments_give_status_2)
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

// Port 1 on loopback has no listener: the tool must say that nothing was sent.
BOOST_AUTO_TEST_CASE(unreachable_entry_gives_status_5)
{
    const run_result run({"status", "--operator", "127.0.0.1:1"});
    BOOST_TEST(run.status == exit_unreachable);
    BOOST_TEST(run.err.str().find("not sent") != std::string::npos);
}

// Guards against a "not run" that the tool reports for work that may have run.
BOOST_AUTO_TEST_CASE(failures_keep_the_execution)
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
