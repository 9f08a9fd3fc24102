#include "integration/eventually.hpp"
#include "integration/loopback.hpp"
#include "integration/process.hpp"
#include "standin/answer_text.hpp"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace tanagertrack;
using namespace tanagertrack::test;

namespace
{

/// Returns a random port that is free at the time of the call.
int free_port()
{
    std::uniform_int_distribution<int> distribution(
        first_port, first_port + port_count - 1);
    int port = 0;
    do
        port = distribution(port_generator());
    while (!is_free(port));
    return port;
}

/// Process with one stand-in, which responds on its control port once the
/// object is constructed. The control port is that of the stand-in itself
/// unless a separate one is given, as for the proxy.
struct stand_in_process
{
    stand_in_process(std::vector<std::string> options,
                     int separate_control_port = 0)
        : port(free_port()),
          control_port(separate_control_port ? separate_control_port : port),
          child(arguments(std::move(options)), "/dev/null")
    {
        BOOST_REQUIRE(eventually(std::chrono::seconds(10),
                                 [&] {
                                     return call_port(control_port, {},
                                                      {.target = "/healthz"})
                                                .status == 200;
                                 }));
    }

    std::vector<std::string> arguments(std::vector<std::string> options) const
    {
        options.insert(options.begin(),
                       {TANAGERTRACK_BINARY_DIR "/tanagertrack-standin",
                        "--listen", loopback_address(port)});
        return options;
    }

    cli::api_answer get(const std::string& target) const
    {
        return call_port(port, {}, {.target = target});
    }

    cli::api_answer post(const std::string& target,
                         const std::string& body) const
    {
        return call_port(port, {},
                         {.method = "POST", .target = target, .body = body});
    }

    void set_fault(const std::string& json) const
    {
        const auto answer = call_port(
            control_port, {},
            {.method = "POST", .target = "/control/fault", .body = json});
        BOOST_REQUIRE(answer.status == 200);
    }

    int port;
    int control_port;
    process child;
};

std::string completion_body(const std::string& prompt)
{
    return R"({"model":"m","max_tokens":20,"prompt":")" + prompt + "\"}";
}

std::string completion_text(const cli::api_answer& answer)
{
    const auto body = parse_object(answer.body);
    return std::string(body.at("choices").at(0).at("text").as_string());
}

} // namespace

BOOST_AUTO_TEST_SUITE(stand_ins)

// Guards against a stand-in of the store that appends a record twice or skips
// an offset when an answer is lost. Other tests would then report a fault of
// the entries.
BOOST_AUTO_TEST_CASE(store_offsets_are_consecutive_when_answers_are_lost)
{
    const stand_in_process store({"--kind", "store"});
    const std::string append = "/tanagertrack/log-append?topic=t&part=0";
    const auto record = [](char c)
    {
        return std::string("\0\0\0\1", 4) + c;
    };
    BOOST_TEST(store.post(append, record('a')).body ==
               R"({"offset":0,"end":1})");
    store.set_fault(R"({"lose_answers":1})");
    BOOST_TEST(store.post(append, record('b')).status == 0);
    store.set_fault(R"({"lose_before":1})");
    BOOST_TEST(store.post(append, record('x')).status == 0);
    BOOST_TEST(store.post(append, record('c')).body ==
               R"({"offset":2,"end":3})");
    const auto all =
        store.get("/tanagertrack/log-read?topic=t&part=0&from=0").body;

    // Two offsets of 8 bytes, then three records: 4 bytes of length, 1 of data.
    BOOST_REQUIRE(all.size() == 16 + 3 * 5u);
    BOOST_TEST((all[20] == 'a' && all[25] == 'b' && all[30] == 'c'));
    store.set_fault(R"({"outage":true})");
    BOOST_TEST(store.post(append, record('d')).status == 503);

    // A fault with an unknown field is rejected.
    BOOST_TEST(store.post("/control/fault", R"({"outagee":1})").status == 400);
}

// Guards against a stand-in of an engine that runs more sequences at a time
// than it has slots, or whose answers don't show to which request they belong.
BOOST_AUTO_TEST_CASE(engine_runs_no_more_sequences_than_it_has_slots)
{
    const stand_in_process engine({"--kind", "engine", "--slots", "2"});
    std::vector<std::future<cli::api_answer>> answers;
    for (int n = 0; n < 6; ++n)
        answers.push_back(std::async(
            std::launch::async,
            [&, n]
            {
                return engine.post("/v1/completions",
                                   completion_body("p" + std::to_string(n)));
            }));
    for (int n = 0; n < 6; ++n)
        BOOST_TEST(
            completion_text(answers[static_cast<std::size_t>(n)].get()) ==
            standin::answer_text("p" + std::to_string(n), 20));
    const auto seen = parse_object(engine.get("/control/seen").body);
    BOOST_TEST(seen.at("max_running") == 2);
}

// Guards against a proxy that drops an answer on another connection than the
// one whose request completed the trigger.
BOOST_AUTO_TEST_CASE(proxy_drops_the_answer_to_the_matched_request)
{
    const stand_in_process service({"--kind", "service"});
    const int control_port = free_port();
    const stand_in_process proxy({"--kind", "proxy", "--upstream",
                                  loopback_address(service.port), "--control",
                                  loopback_address(control_port)},
                                 control_port);
    proxy.set_fault(R"({"drop_answers":1,"at":{"direction":"up",)"
                    R"("pattern":"needle","count":2}})");
    BOOST_TEST(proxy.post("/a", "needle").status == 200);
    BOOST_TEST(proxy.post("/b", "other").status == 200);
    BOOST_TEST(proxy.post("/c", "needle").status == 0);
    BOOST_TEST(proxy.post("/d", "needle").status == 200);
    const auto seen = parse_object(service.get("/control/seen").body);
    BOOST_TEST(seen.at("executions") == 4);

    proxy.set_fault(R"({"refuse":true})");
    const auto refused = proxy.post("/e", "other");
    BOOST_TEST((refused.status == 0 && !refused.sent));
}

BOOST_AUTO_TEST_SUITE_END()
