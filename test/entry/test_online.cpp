#include "entry/entry_fixture.hpp"

using namespace tanagertrack;
using namespace tanagertrack::test;

namespace
{

constexpr std::string_view whole_answer =
    "data: \"one\"\n\ndata: \"two\"\n\ndata: \"three\"\n\ndata: [DONE]\n\n";

/// Gives what is missing of the answer one, two, three.
void answer_rest(const work_stream& to, const proto::WorkRequest& request)
{
    send_accepted(to);
    std::string before;
    for (const auto* text : {"one", "two", "three"})
    {
        if (before.size() >= request.resume_text().size())
            send_text(to, text);
        before += text;
    }
    send_finished(to, "");
}

/// Loses its connection after the first two pieces.
void answer_and_break(const work_stream& to, const proto::WorkRequest&)
{
    send_accepted(to);
    send_text(to, "one");
    send_text(to, "two");
    proto::WorkEvent lost;
    lost.mutable_failed()->set_code(
        static_cast<unsigned>(common::result_code::connection_lost));
    lost.mutable_failed()->set_may_have_run(true);
    to->send(lost);
    to->finish();
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(online, entry_fixture)

BOOST_AUTO_TEST_CASE(streamed_answer_arrives_whole)
{
    add_agent("scribi-1", answer_rest);
    start();
    BOOST_TEST(stream_chat() == whole_answer);
}

// Guards against missing, duplicated or swapped pieces after a loss. The
// target is chosen at random, so several requests are sent.
BOOST_AUTO_TEST_CASE(cut_answer_goes_on_at_another_target)
{
    auto& bad = add_agent("scribi-1", answer_and_break);
    add_agent("scribi-2", answer_rest);
    start();
    for (int i = 0; i < 200 && bad.attempts < 5; ++i)
        BOOST_TEST(stream_chat() == whole_answer);
    BOOST_TEST(bad.attempts >= 5);
}

// Guards against truncated streams that look complete.
BOOST_AUTO_TEST_CASE(answer_that_can_not_be_completed_has_no_end)
{
    add_agent("scribi-1", answer_and_break);
    start();
    raw_client client(settings.front.port);
    client.send(request("POST", "/v1/chat/completions", chat(true)));
    const auto answer = client.read_all();
    BOOST_TEST(has(answer, "\"two\""));
    BOOST_TEST(has(answer, "data: {\"error\":{\"code\":1405"));
    BOOST_TEST(has(answer, "\"execution\":\"may_have_run\""));
    BOOST_TEST(!has(answer, "[DONE]"));
    BOOST_TEST(!has(answer, "\r\n0\r\n"));
}

// Guards against an answer that is asked for again after its last piece.
BOOST_AUTO_TEST_CASE(loss_after_the_last_piece_completes_the_answer)
{
    auto& agent = add_agent("scribi-1",
                            [](const work_stream& to, const auto&)
                            {
                                proto::WorkEvent event;
                                event.mutable_text()->set_data(
                                    R"({"finish_reason":"stop"})");
                                to->send(event);
                                event.mutable_failed()->set_may_have_run(true);
                                to->send(event);
                                to->finish();
                            });
    start();
    BOOST_TEST(has(stream_chat(), "\"stop\"}\n\ndata: [DONE]\n\n"));
    BOOST_TEST(agent.attempts == 1);
}

BOOST_AUTO_TEST_CASE(lost_connection_is_retried_at_another_target)
{
    auto& bad = add_agent("scribi-1", [](const work_stream& to, const auto&)
                          { to->reset(); });
    add_agent("scribi-2", [](const work_stream& to, const auto&)
              { send_finished(to, "good"); });
    start();
    for (int i = 0; i < 80 && bad.attempts < 3; ++i)
        BOOST_TEST(has(call_chat(), "\r\n\r\ngood"));
    BOOST_TEST(bad.attempts >= 3);
}

// Guards against retries without bound, and against "not run" after an
// attempt whose outcome is not known.
BOOST_AUTO_TEST_CASE(failure_reports_what_is_known_of_all_attempts)
{
    auto& lost = add_agent("scribi-1", [](const work_stream& to, const auto&)
                           { to->reset(); });
    auto& full = add_agent("scribi-2", [](const work_stream& to, const auto&)
                           { send_refused(to); });
    start();
    const auto answer = call_chat();
    BOOST_TEST(lost.attempts == 1);
    BOOST_TEST(full.attempts == 1);
    BOOST_TEST(has(answer, "\"execution\":\"may_have_run\""));
}

BOOST_AUTO_TEST_CASE(without_budget_nothing_is_retried)
{
    settings.routing.retry_budget = 0;
    const auto refuse = [](const work_stream& to, const auto&)
    {
        send_refused(to);
    };
    auto& first = add_agent("scribi-1", refuse);
    auto& second = add_agent("scribi-2", refuse);
    start();
    const auto answer = call_chat();
    BOOST_TEST(first.attempts + second.attempts == 1);
    BOOST_TEST(has(answer, "\"overloaded\""));
    BOOST_TEST(has(answer, "\"execution\":\"not_run\""));
}

// Guards against work that goes on for nobody.
BOOST_AUTO_TEST_CASE(work_of_a_caller_that_left_is_cancelled)
{
    auto& agent = add_agent("scribi-1", [](const work_stream& to, const auto&)
                            { send_accepted(to); });
    start();
    {
        raw_client client(settings.front.port);
        client.send(request("POST", "/v1/chat/completions", chat(true)));
        wait_for([&] { return agent.attempts == 1; });
    }
    wait_for([&] { return agent.cancelled == 1; });
}

BOOST_AUTO_TEST_CASE(late_answer_ends_at_the_deadline)
{
    settings.front.request_timeout = std::chrono::milliseconds(300);
    add_agent("scribi-1",
              [](const work_stream& to, const auto&) { send_accepted(to); });
    start();
    const auto answer = call_chat();
    BOOST_TEST(has(answer, "HTTP/1.1 504 "));
    BOOST_TEST(has(answer, "\"execution\":\"may_have_run\""));
}

// Guards against new work for a target that is leaving.
BOOST_AUTO_TEST_CASE(leaving_target_gets_no_new_work)
{
    auto& agent = add_agent("scribi-1", [](const work_stream& to, const auto&)
                            { send_finished(to, "good"); });
    start();
    BOOST_TEST(has(call_chat(), "good"));
    BOOST_TEST(has(submit(ticket(2, "leaving")), "\"accepted\""));
    wait_for([&] { return has(call_chat(), "\"no_target\""); });
    const int before = agent.attempts;
    BOOST_TEST(has(call_chat(), "\"no_target\""));
    BOOST_TEST(agent.attempts == before);
}

// Guards against new work for a host that only the host list shows as leaving,
// and against a list that is forgotten when it can't be read.
BOOST_AUTO_TEST_CASE(leaving_host_gets_no_new_work)
{
    auto hosts = std::make_unique<scripted_hosts>();
    settings.platform.hosts = {"127.0.0.1", hosts->port()};
    settings.platform.hosts_interval = std::chrono::milliseconds(10);
    add_agent("scribi-1", [](const work_stream& to, const auto&)
              { send_finished(to, "good"); });
    start();
    BOOST_TEST(has(call_chat(), "good"));
    hosts->leaving = true;
    wait_for([&] { return has(call_chat(), "\"no_target\""); });
    hosts.reset();
    BOOST_TEST(has(call_chat(), "\"no_target\""));
}

BOOST_AUTO_TEST_SUITE_END()
