#include "entry/entry_fixture.hpp"

#include <future>
#include <ostream>

using namespace tanagertrack;
using namespace tanagertrack::test;

namespace
{

void answer_whole(const work_stream& to, const proto::WorkRequest&)
{
    send_accepted(to);
    send_finished(to, "{\"whole\":1}");
}

/// A request that must be refused, and how.
struct bad_input
{
    const char* method;
    const char* target;
    std::string body;
    const char* status;
    const char* name;
};

std::ostream& operator<<(std::ostream& out, const bad_input& it)
{
    return out << it.method << ' ' << it.target << ' ' << it.name;
}

constexpr auto chat_path = "/v1/chat/completions";

const bad_input bad_inputs[] = {
    {"POST", chat_path, "{\"model\":\"\xff\"}", "400", "invalid_utf8"},
    {"POST", chat_path, "{\"model\":", "400", "malformed_json"},
    {"POST", chat_path, std::string(4000, '['), "400", "malformed_json"},
    {"POST", chat_path, "", "400", "malformed_json"},
    {"POST", chat_path, "[]", "400", "invalid_request"},
    {"POST", chat_path, "{\"model\":1}", "400", "invalid_request"},
    {"POST", chat_path, "{\"model\":\"scribi\"}", "400", "invalid_request"},
    {"POST", chat_path, "{\"model\":\"x\",\"messages\":[{}]}", "404",
     "unknown_model"},
    {"POST", chat_path, std::string(5000, ' '), "413", "body_too_large"},
    {"GET", chat_path, "", "405", "method_not_allowed"},
    {"GET", "/v1/nothing", "", "404", "unknown_path"},
    {"GET", "/v1/services/nothing/a", "", "404", "unknown_service"},
    {"POST", "/v1/services/carico/manifest/7", "", "400",
     "idempotency_key_required"},
    {"POST", "/v1/services/carico/%6Danifest", "", "400",
     "idempotency_key_required"},
    {"POST", "/v1/services/carico/a/../manifest", "", "400", "invalid_request"},
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(front, entry_fixture)

// Guards against input that is accepted, or refused without the agreed body.
BOOST_AUTO_TEST_CASE(bad_input_is_refused_as_not_run)
{
    auto& agent = add_agent("scribi-1", answer_whole);
    start();
    for (const auto& it : bad_inputs)
    {
        BOOST_TEST_CONTEXT(it)
        {
            const auto answer = call(request(it.method, it.target, it.body));
            BOOST_TEST(has(answer, std::string("HTTP/1.1 ") + it.status));
            BOOST_TEST(has(answer, '"' + std::string(it.name) + '"'));
            BOOST_TEST(has(answer, "\"execution\":\"not_run\""));
            const auto id =
                answer.substr(answer.find("X-Request-Id: ") + 14, 32);
            BOOST_TEST(has(answer, "\"request_id\":\"" + id + '"'));
        }
    }
    BOOST_TEST(agent.attempts == 0);

    // The entry serves on.
    BOOST_TEST(has(call_chat(), "{\"whole\":1}"));
    BOOST_TEST(has(call("GET /v1/models HTTP/1.1\r\nAuthorization: Bearer "
                        "wrong\r\n\r\n"),
                   "\"invalid_team_key\""));
}

BOOST_AUTO_TEST_CASE(team_over_its_limit_is_told_when_to_return)
{
    start();
    std::string answer;
    for (int i = 0; i < 101; ++i)
        answer = call(request("GET", "/v1/models", ""));
    BOOST_TEST(has(answer, "HTTP/1.1 429 "));
    BOOST_TEST(has(answer, "\r\nRetry-After: "));
    BOOST_TEST(has(answer, "\"rate_limited\""));
}

// Guards against a stop that cuts requests, or that takes new ones.
BOOST_AUTO_TEST_CASE(planned_stop_finishes_requests)
{
    std::promise<work_stream> started;
    auto& agent = add_agent("scribi-1",
                            [&](const work_stream& to, const auto&)
                            {
                                send_accepted(to);
                                started.set_value(to);
                            });
    start();
    raw_client idle(settings.front.port);
    idle.send("GET /healthz HTTP/1.1\r\n\r\n");
    idle.read_answer();
    raw_client caller(settings.front.port);
    caller.send(request("POST", chat_path, chat(false)));
    const auto stream = started.get_future().get();
    auto stop = std::async(std::launch::async, [&] { entry->stop(); });
    wait_for([&] { return has(call("GET /readyz HTTP/1.1\r\n\r\n"), "503"); });
    idle.send(request("POST", chat_path, chat(false)));
    const auto refused = idle.read_all();
    BOOST_TEST(has(refused, "\"shutting_down\""));
    BOOST_TEST(has(refused, "Connection: close"));

    // Larger than what sockets buffer: the stop has to wait until the caller
    // reads. A stop that does not wait ends first and cuts the answer.
    const std::string body(4000000, 'x');
    agent.run([&] { send_finished(stream, body); });
    stop.wait_for(std::chrono::milliseconds(500));
    BOOST_TEST(has(caller.read_answer(), "\r\n\r\n" + body));
    stop.get();
}

// Guards against an entry that can't start while the log is away.
BOOST_AUTO_TEST_CASE(configuration_comes_from_a_peer_without_log)
{
    add_agent("scribi-1", answer_whole);
    start();
    log.reset();
    entry_fixture second;
    second.settings.name = "entry-2";
    second.log.reset();
    second.settings.peer.entries = {{"127.0.0.1", settings.peer.port}};
    second.entry = std::make_unique<entry::entry_process>(second.settings);
    BOOST_REQUIRE(!second.entry->start());
    wait_for(
        [&]
        { return has(second.call("GET /readyz HTTP/1.1\r\n\r\n"), "200"); });
    wait_for([&] { return has(second.call_chat(), "{\"whole\":1}"); });
}

BOOST_AUTO_TEST_CASE(tickets_get_verdicts)
{
    start();
    BOOST_TEST(has(submit(ticket(1, "active")), "\"same_ticket\""));
    BOOST_TEST(has(submit("ticket: 1\nmodels: [{name: other}]\n"),
                   "\"ticket_conflict\""));
    BOOST_TEST(
        has(submit("ticket: 2\nmodels: [{name: scribi}]\n"), "\"accepted\""));
    BOOST_TEST(has(submit("ticket: x\n"), "\"ticket_invalid\""));
}

BOOST_AUTO_TEST_SUITE_END()
