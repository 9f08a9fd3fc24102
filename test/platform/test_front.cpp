#include "common/base64.hpp"
#include "common/metrics.hpp"
#include "entry/entry_core.hpp"
#include "platform/engine_protocol.hpp"
#include "platform/platform_edge.hpp"
#include "support/async_client.hpp"
#include "support/fake_store.hpp"
#include "support/scripted_server.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;

namespace
{

bool has(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

/// Value of a header field of a head; empty if there is none.
std::string field_of(const std::string& head, const std::string& name)
{
    const auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

/// An entry with the platform's edge, on the test's own context, with a store
/// and targets that the test scripts.
struct fixture
{
    fixture()
    {
        settings.callers = "platform";
        settings.name = "e1";
        settings.address = "127.0.0.1";
        settings.data_centre = "a";
        settings.peer.port = free_port();
        settings.platform.front = {"127.0.0.1", free_port()};
        settings.platform.ready = {"127.0.0.1", free_port()};
        settings.batch.result_flush_interval = 1ms;
        settings.store.targets_interval = 0ms;
        settings.store.jobs_interval = 0ms;
        core = std::make_unique<entry::entry_core>(
            context, settings, metrics,
            entry::core_parts{store.service(), platform::make_engine_protocol(),
                              platform::judge_failure});
        edge = platform::make_platform_edge(
            *core, [this] { targets_known = true; }, [this] { return ready; });
        core->on_configured([this](const auto& it) { edge.configured(it); });
        BOOST_REQUIRE(!edge.start());
        core->start();
        engine.make_answer = [](const std::string& request)
        {
            return scripted_answer{whole_answer(
                200, "answer",
                "X-Tanagertrack-Request-Id: " +
                    field_of(request, "X-Tanagertrack-Request-Id") +
                    "\r\nX-Tanagertrack-Server-Stamp: st\r\n")};
        };
    }

    ~fixture()
    {
        edge.close();
        engine.stop();
        run_ready(context);
    }

    void put(const std::string& topic, const std::string& key,
             const std::optional<std::string>& value)
    {
        store.model.put(topic, key, value, common::clock::now());
        store.wake();
    }

    std::string configuration_text(unsigned version,
                                   const std::string& more = {}) const
    {
        return R"({"version":)" + std::to_string(version) + R"(,"routes":[
            {"name":"c","host":"h","pathPrefix":"/c/","service":"s",
             "kind":"idempotent","maxAttempts":2,"timeoutMs":2000},
            {"name":"b","host":"h","pathPrefix":"/b/","service":"s",
             "kind":"batch","maxAttempts":2,"dueMs":18000,"cap":1000})" +
               more + R"(],"services":[{"name":"s"}],
            "limits":{"maxHeaderBytes":2000,"maxBodyBytes":3000,
                      "headerTimeoutMs":300,"idleTimeoutMs":5000}})";
    }

    void configure(unsigned version = 1, const std::string& more = {})
    {
        put("keyed.op", "config", configuration_text(version, more));
        BOOST_REQUIRE(run_until(context,
                                [&]
                                {
                                    const auto& it = core->configuration();
                                    return it && it->version() == version;
                                }));
    }

    std::string announcement(unsigned seq, const std::string& state) const
    {
        return R"({"service":"s","address":")" + to_string(engine.address()) +
               R"(","zone":"a","slots":4,"state":")" + state + R"(","seq":)" +
               std::to_string(seq) + R"(,"born":1})";
    }

    void add_engine()
    {
        put("keyed.servers", "t1", announcement(1, "ready"));
        BOOST_REQUIRE(
            run_until(context, [&] { return core->targets().size() == 1; }));
    }

    std::string ask(const std::string& request, const std::string& mark)
    {
        async_client client(context, settings.platform.front.port);
        return client.send_and_wait(request, mark);
    }

    static std::string get(const std::string& target,
                           const std::string& fields = {})
    {
        return "GET " + target +
               " HTTP/1.1\r\nHost: h\r\n"
               "X-Tanagertrack-Request-Id: r1\r\n" +
               fields + "\r\n";
    }

    static std::string post(const std::string& target, const std::string& body,
                            const std::string& id = "r1")
    {
        return "POST " + target +
               " HTTP/1.1\r\nHost: h\r\nX-Tanagertrack-Request-Id: " + id +
               "\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }

    static std::string job_body(const std::string& items)
    {
        return R"({"items":[)" + items + "]}";
    }

    static std::string item(const std::string& id, unsigned tokens = 10)
    {
        return R"({"id":")" + id + R"(","path":"/b/x","headers":{"A":"b"},)" +
               R"("body":")" + common::encode_base64("body of " + id) +
               R"(","tokenCount":)" + std::to_string(tokens) + "}";
    }

    boost::asio::io_context context;
    fake_store store{context};
    scripted_server engine{context};
    config::settings settings;
    common::metrics_registry metrics{1000};
    std::unique_ptr<entry::entry_core> core;
    entry::edge edge;
    bool targets_known = false;
    bool ready = false;
};

struct serving : fixture
{
    serving()
    {
        configure();
        add_engine();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(platform_front_start, fixture)

// A process that knows no configuration can't say that a route is not there.
BOOST_AUTO_TEST_CASE(request_before_the_first_configuration_gets_503)
{
    const auto answer = ask(get("/c/x"), "\r\n\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(has(answer, "Retry-After: "));
    BOOST_TEST(has(ask(get("/tanagertrack/lots/j"), "\r\n\r\n"), " 503 "));
}

BOOST_AUTO_TEST_CASE(readiness_follows_the_process)
{
    const auto check = [this]
    {
        async_client client(context, settings.platform.ready.port);
        return client.send_and_wait(
            "GET /tanagertrack/ready HTTP/1.1\r\nHost: x\r\n\r\n", "\r\n\r\n");
    };
    BOOST_TEST(has(check(), " 503 "));
    ready = true;
    BOOST_TEST(has(check(), " 200 "));
}

BOOST_AUTO_TEST_CASE(metrics_are_served)
{
    async_client client(context, settings.platform.ready.port);
    const auto text = client.send_and_wait(
        "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", "store_calls_total");
    BOOST_TEST(text.starts_with("HTTP/1.1 200 "));
}

// What one process knows serves another that starts while the store is away.
BOOST_AUTO_TEST_CASE(state_is_taken_over_from_another_process)
{
    configure(3);
    add_engine();
    const auto state = edge.export_state();
    fixture other;
    other.store.read_outcome = []
    {
        return call_outcome::refused;
    };
    other.edge.import_state(state);
    BOOST_TEST(other.core->configuration()->version() == 3);
    BOOST_TEST(other.core->targets().size() == 1);
    BOOST_TEST(other.targets_known);
    other.edge.import_state("\xff\xff junk");
    BOOST_TEST(other.core->configuration()->version() == 3);
}

BOOST_AUTO_TEST_CASE(older_and_unreadable_configurations_change_nothing)
{
    configure(5);
    put("keyed.op", "config", configuration_text(4));
    put("keyed.op", "config", "{not json");
    put("keyed.op", "other", "x");
    configure(6);
    BOOST_TEST(core->configuration()->version() == 6);
}

BOOST_AUTO_TEST_CASE(unreadable_announcements_are_skipped)
{
    put("keyed.servers", "bad", "\xff");
    put("keyed.servers", "worse", R"({"service":7})");
    configure();
    add_engine();
    BOOST_TEST(core->targets().size() == 1);
    BOOST_TEST(has(ask(get("/c/x"), "answer"), " 200 "));
}

BOOST_AUTO_TEST_CASE(leaving_target_gets_no_new_work)
{
    configure();
    add_engine();
    put("keyed.servers", "t1", announcement(2, "draining"));
    BOOST_REQUIRE(
        run_until(context, [&] { return core->targets().size() == 0; }));
    const auto answer = ask(get("/c/x"), "\r\n\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(engine.requests.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(platform_front, serving)

BOOST_AUTO_TEST_CASE(request_is_served_with_the_targets_stamp)
{
    const auto answer =
        ask(get("/c/x?y=1", "X-Tanagertrack-Deadline-Ms: 1500\r\n"), "answer");
    BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
    BOOST_TEST(has(answer, "X-Tanagertrack-Server-Stamp: st\r\n"));
    BOOST_TEST(has(answer, "X-Tanagertrack-Request-Id: r1\r\n"));
    const auto& sent = engine.requests.front();
    BOOST_TEST(sent.starts_with("GET /c/x?y=1 HTTP/1.1\r\n"));
    BOOST_TEST(field_of(sent, "Host") == "h");
    BOOST_TEST(field_of(sent, "X-Tanagertrack-Expect-Instance") == "t1");
    const auto left = std::stoi(field_of(sent, "X-Tanagertrack-Deadline-Ms"));
    BOOST_TEST(left <= 1500);
    BOOST_TEST(left > 1000);
}

// ---- bad input: a clear refusal, and the next caller is served ----

BOOST_AUTO_TEST_CASE(unknown_hosts_and_paths_get_404)
{
    BOOST_TEST(has(ask(get("/other/x"), "\r\n\r\n"), " 404 "));
    BOOST_TEST(has(ask("GET /c/x HTTP/1.1\r\nHost: nobody\r\n\r\n", "\r\n\r\n"),
                   " 404 "));
    BOOST_TEST(has(ask("GET /c/x HTTP/1.1\r\n\r\n", "\r\n\r\n"), " 404 "));
    BOOST_TEST(engine.requests.empty());
}

// The path goes to the target as it is; it must not leave its prefix.
BOOST_AUTO_TEST_CASE(path_that_climbs_is_not_resolved)
{
    BOOST_TEST(has(ask(get("/c/../b/x"), "answer"), " 200 "));
    BOOST_TEST(engine.requests.front().starts_with("GET /c/../b/x "));
    BOOST_TEST(has(ask(get("/../c/x"), "\r\n\r\n"), " 404 "));
    BOOST_TEST(
        has(ask(get("/tanagertrack/lots/../../c/x"), "\r\n\r\n"), " 404 "));
    BOOST_TEST(engine.requests.size() == 1);
}

BOOST_AUTO_TEST_CASE(two_lengths_are_refused)
{
    const auto answer =
        ask("POST /c/x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
            "Content-Length: 40\r\n\r\nhello",
            "\r\n\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 400 "));
    BOOST_TEST(engine.requests.empty());
}

// Guards against a request that is smuggled inside another one: the length
// and the chunks disagree on where the first one ends.
BOOST_AUTO_TEST_CASE(length_beside_chunks_is_refused)
{
    const std::string smuggled = "GET /c/smuggled HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto answer =
        ask("POST /c/x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                std::to_string(5 + smuggled.size()) +
                "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
            "\r\n\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 400 "));
    run_for(context, 30ms);
    for (const auto& it : engine.requests)
        BOOST_TEST(!has(it, "smuggled"));
}

BOOST_AUTO_TEST_CASE(broken_field_lines_are_refused)
{
    for (const std::string line :
         {"Content-Length : 3", "X\x01Y: z", ": nothing",
          "Transfer-Encoding: chunked, identity", "Content-Length: -3",
          "Content-Length: 3, 4"})
    {
        const auto answer =
            ask("POST /c/x HTTP/1.1\r\nHost: h\r\n" + line + "\r\n\r\nabc",
                "\r\n\r\n");
        BOOST_TEST(answer.starts_with("HTTP/1.1 400 "), line << ": " << answer);
    }
    BOOST_TEST(engine.requests.empty());
}

BOOST_AUTO_TEST_CASE(body_over_the_limit_is_refused)
{
    const auto answer = ask(post("/c/x", std::string(5000, 'x')), "\r\n\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 413 "));
    BOOST_TEST(engine.requests.empty());
    BOOST_TEST(has(ask(get("/c/x"), "answer"), " 200 "));
}

BOOST_AUTO_TEST_CASE(flood_of_header_fields_is_refused)
{
    std::string fields;
    for (int n = 0; n < 400; ++n)
        fields += "X-Field-" + std::to_string(n) + ": value\r\n";
    BOOST_TEST(
        ask(get("/c/x", fields), "\r\n\r\n").starts_with("HTTP/1.1 431 "));
    BOOST_TEST(has(ask(get("/c/x"), "answer"), " 200 "));
}

// Guards against connections that are held by callers that never finish.
BOOST_AUTO_TEST_CASE(slow_sender_is_closed_and_disturbs_nobody)
{
    async_client slow(context, settings.platform.front.port);
    slow.send("GET /c/x HTTP/1.1\r\nHost: h\r\nX-Slow: ");
    BOOST_TEST(has(ask(get("/c/x"), "answer"), " 200 "));
    BOOST_TEST(run_until(
        context, [&] { return slow.closed; }, 5s));
    BOOST_TEST(engine.requests.size() == 1);
}

BOOST_AUTO_TEST_CASE(caller_that_leaves_ends_its_request_at_the_target)
{
    engine.make_answer = [](const std::string&)
    {
        return scripted_answer{};
    };
    async_client client(context, settings.platform.front.port);
    client.send(get("/c/x"));
    BOOST_REQUIRE(
        run_until(context, [&] { return engine.requests.size() == 1; }));
    client.close();
    BOOST_TEST(run_until(context, [&] { return engine.closed == 1; }));
}

// ---- batch jobs ----

BOOST_AUTO_TEST_CASE(job_is_accepted_run_and_read)
{
    engine.make_answer = [](const std::string& request)
    {
        return scripted_answer{
            chunked_head(200,
                         "X-Tanagertrack-Request-Id: " +
                             field_of(request, "X-Tanagertrack-Request-Id") +
                             "\r\n") +
            chunk(event(1, "one")) + chunk(event(2, "two")) + chunk("")};
    };
    const auto submitted =
        ask(post("/b/j1", job_body(item("i1")), "j1"), "\r\n\r\n{}");
    BOOST_TEST(submitted.starts_with("HTTP/1.1 202 "));
    const auto page = ask(get("/tanagertrack/lots/j1?after=0",
                              "X-Tanagertrack-Wait-Ms: 1000\r\n"),
                          "}]}");
    BOOST_TEST(has(page, R"("totalCount":1)"));
    BOOST_TEST(has(page, R"("next":1)"));
    BOOST_TEST(has(page, R"("id":"i1","state":"succeeded","text":"one\ntwo")"));
    BOOST_TEST(field_of(engine.requests.front(), "A") == "b");

    const auto ended = ask("DELETE /tanagertrack/lots/j1 HTTP/1.1\r\n"
                           "Host: h\r\n\r\n",
                           "{}");
    BOOST_TEST(ended.starts_with("HTTP/1.1 200 "));
}

BOOST_AUTO_TEST_CASE(body_of_an_item_is_read)
{
    engine.make_answer = [](const std::string&)
    {
        return scripted_answer{};
    };
    ask(post("/b/j1", job_body(item("i1")), "j1"), "\r\n\r\n{}");
    BOOST_TEST(
        has(ask(get("/tanagertrack/items/j1?id=i1"), "body of i1"), " 200 "));
    BOOST_TEST(
        has(ask(get("/tanagertrack/items/j1?id=i2"), "\r\n\r\n"), " 404 "));
    BOOST_TEST(has(ask(get("/tanagertrack/lots/j2"), "\r\n\r\n"), " 404 "));
}

BOOST_AUTO_TEST_CASE(job_over_the_limit_gets_429)
{
    const auto answer =
        ask(post("/b/j1", job_body(item("i1", 1001)), "j1"), "\r\n\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 429 "));
    BOOST_TEST(has(answer, "Retry-After: "));
}

// Nothing of a job that is not valid runs.
BOOST_AUTO_TEST_CASE(invalid_jobs_get_400)
{
    for (const auto& body :
         {std::string("{"), std::string("[]"), job_body(""),
          job_body(R"({"id":"i"})"), job_body(item("i") + "," + item("i")),
          job_body(R"({"id":"i","path":"b","body":"","tokenCount":1})"),
          job_body(R"({"id":"i","path":"/b/","body":"%%","tokenCount":1})"),
          job_body(R"({"id":"i","path":"/b/","body":"","tokenCount":-1})"),
          job_body(R"({"id":"i","path":"/b/","body":"","tokenCount":1,)"
                   R"("headers":{"a":1}})")})
    {
        const auto answer = ask(post("/b/j1", body, "j1"), "\r\n\r\n");
        BOOST_TEST(answer.starts_with("HTTP/1.1 400 "), body);
    }
    run_for(context, 20ms);
    BOOST_TEST(engine.requests.empty());
    BOOST_TEST(core->jobs().table().size() == 0);
}

// Guards against header lines that a caller puts into an item's fields: they
// would end the head, and begin a request that nobody sent.
BOOST_AUTO_TEST_CASE(items_with_broken_header_fields_are_refused)
{
    const std::vector<std::string> wrong{
        R"("headers":{"A":"b\r\nX-Injected: 1"})",
        R"("headers":{"A\r\nB":"c"})", R"("headers":{"":"c"})",
        R"("headers":{"A B":"c"})"};
    for (const auto& headers : wrong)
    {
        const auto body =
            job_body(R"({"id":"i","path":"/b/x","body":"","tokenCount":1,)" +
                     headers + "}");
        BOOST_TEST(ask(post("/b/j1", body, "j1"), "\r\n\r\n")
                       .starts_with("HTTP/1.1 400 "),
                   headers);
    }
    for (const std::string path : {R"(/b/x HTTP/1.1\r\nA: b)", R"(/b/\n)"})
    {
        const auto body = job_body(R"({"id":"i","path":")" + path +
                                   R"(","body":"","tokenCount":1})");
        BOOST_TEST(ask(post("/b/j1", body, "j1"), "\r\n\r\n")
                       .starts_with("HTTP/1.1 400 "),
                   path);
    }
    const auto body = job_body(
        R"({"id":"i\r\nA: b","path":"/b/x","body":"","tokenCount":1})");
    BOOST_TEST(ask(post("/b/j1", body, "j1"), "\r\n\r\n")
                   .starts_with("HTTP/1.1 400 "));
    run_for(context, 20ms);
    BOOST_TEST(engine.requests.empty());
}

// Fields that say where a message ends are the system's own.
BOOST_AUTO_TEST_CASE(fields_of_an_item_do_not_frame_its_request)
{
    const auto body = job_body(
        R"({"id":"i","path":"/b/x","body":"aGVsbG8=","tokenCount":1,"headers":)"
        R"({"Content-Length":"0","Transfer-Encoding":"chunked","Host":"o",)"
        R"("Connection":"close","Kept":"1"}})");
    BOOST_TEST(ask(post("/b/j1", body, "j1"), "\r\n\r\n{}")
                   .starts_with("HTTP/1.1 202 "));
    BOOST_REQUIRE(run_until(context, [&] { return !engine.requests.empty(); }));
    const auto& sent = engine.requests.front();
    BOOST_TEST(has(sent, "Content-Length: 5\r\n"));
    BOOST_TEST(!has(sent, "Content-Length: 0"));
    BOOST_TEST(!has(sent, "Transfer-Encoding"));
    BOOST_TEST(!has(sent, "Connection"));
    BOOST_TEST(!has(sent, "Host: o"));
    BOOST_TEST(has(sent, "Kept: 1\r\n"));
}

BOOST_AUTO_TEST_CASE(other_methods_on_jobs_are_refused)
{
    BOOST_TEST(has(ask("PUT /tanagertrack/lots/j HTTP/1.1\r\nHost: h\r\n"
                       "Content-Length: 0\r\n\r\n",
                       "\r\n\r\n"),
                   " 405 "));
}

BOOST_AUTO_TEST_SUITE_END()
