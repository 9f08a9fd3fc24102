#include "platform/front_fixture.hpp"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/test/unit_test.hpp>

#include <vector>

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;

namespace
{

constexpr auto max_view_age = 5000ms;

/// Boot clock that a test moves. Only one may exist at a time.
struct manual_boot_clock
{
    manual_boot_clock()
    {
        common::boot_clock::set_source([this] { return now; });
    }

    ~manual_boot_clock()
    {
        common::boot_clock::set_source({});
    }

    manual_boot_clock(const manual_boot_clock&) = delete;
    manual_boot_clock& operator=(const manual_boot_clock&) = delete;

    common::boot_clock::time_point now{1000s};
};

/// An entry whose configuration has the teams "t1" (keys "k1" and "k2") and
/// "t2" (key "k3"), and a public route.
struct team_front : manual_boot_clock, front_fixture
{
    team_front() : front_fixture(0ms, max_view_age)
    {
        configure_teams(1, R"("k1","k2")");
        add_engine();
        ready = true;
        engine.make_answer = [this](const std::string& request)
        {
            requests.push_back(request);
            return scripted_answer{whole_answer(
                200, "answer",
                "X-Tanagertrack-Request-Id: " +
                    field_of(request, "X-Tanagertrack-Request-Id") +
                    "\r\nX-Tanagertrack-Server-Stamp: st\r\n")};
        };
    }

    /// `first_keys` are the keys of the team "t1".
    void configure_teams(unsigned version, const std::string& first_keys)
    {
        auto text = configuration_text(
            version, R"(,{"name":"p","host":"h","pathPrefix":"/p/",
                "service":"s","kind":"idempotent","maxAttempts":2,
                "timeoutMs":2000,"public":true})");
        text.pop_back();
        text += R"(,"tenants":[{"name":"t1","apiKeys":[)" + first_keys +
                R"(]},{"name":"t2","apiKeys":["k3"]}]})";
        put("keyed.op", "config", text);
        BOOST_REQUIRE(run_until(context,
                                [&]
                                {
                                    const auto& it = core->configuration();
                                    return it && it->version() == version;
                                }));
    }

    static std::string key(const std::string& value)
    {
        return "Authorization: Bearer " + value + "\r\n";
    }

    std::string status_of(const std::string& request)
    {
        const auto answer = send_request(request, "\r\n\r\n");
        return answer.substr(9, 3);
    }

    std::string submit(const std::string& job, const std::string& key_value,
                       const std::string& body)
    {
        return status_of("POST /b/x HTTP/1.1\r\nHost: h\r\n" + key(key_value) +
                         "X-Tanagertrack-Request-Id: " + job +
                         "\r\nContent-Length: " + std::to_string(body.size()) +
                         "\r\n\r\n" + body);
    }

    std::string ready_status()
    {
        async_client client(context, settings.platform.ready.port);
        return client
            .send_and_wait(
                "GET /tanagertrack/ready HTTP/1.1\r\nHost: x\r\n\r\n",
                "\r\n\r\n")
            .substr(9, 3);
    }

    /// Number of header fields of a team in a request to the target.
    static std::size_t count_teams(const std::string& request)
    {
        std::size_t n = 0;
        const auto text = boost::to_lower_copy(request);
        for (auto at = text.find("x-tanagertrack-tenant:"); at != text.npos;
             at = text.find("x-tanagertrack-tenant:", at + 1))
            ++n;
        return n;
    }

    std::vector<std::string> requests;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(platform_teams, team_front)

// Guards against a target that gets the caller's key, or a team that the caller
// has chosen itself.
BOOST_AUTO_TEST_CASE(target_gets_the_team_and_not_the_key)
{
    BOOST_TEST(
        status_of(get("/c/x", key("k2") + "x-tanagertrack-tenant: t2\r\n"
                                          "X-Tanagertrack-Tenant: t3\r\n")) ==
        "200");
    BOOST_REQUIRE(requests.size() == 1U);
    BOOST_TEST(contains(requests[0], "X-Tanagertrack-Tenant: t1\r\n"));
    BOOST_TEST(count_teams(requests[0]) == 1U);
    BOOST_TEST(!contains(requests[0], "k2"));
    BOOST_TEST(!contains(boost::to_lower_copy(requests[0]), "authorization"));
}

BOOST_AUTO_TEST_CASE(request_without_a_valid_key_is_refused)
{
    BOOST_TEST(status_of(get("/c/x")) == "401");
    BOOST_TEST(status_of(get("/c/x", key("other"))) == "401");
    BOOST_TEST(status_of(get("/none/x")) == "404");
    BOOST_TEST(requests.empty());
}

BOOST_AUTO_TEST_CASE(public_route_needs_no_key_and_never_passes_one_on)
{
    BOOST_TEST(status_of(get("/p/x")) == "200");
    BOOST_TEST(status_of(get("/p/x", key("other"))) == "200");
    BOOST_TEST(status_of(get("/p/x", key("k3"))) == "200");
    BOOST_REQUIRE(requests.size() == 3U);
    BOOST_TEST(count_teams(requests[0]) == 0U);
    BOOST_TEST(count_teams(requests[1]) == 0U);
    BOOST_TEST(!contains(requests[1], "Authorization"));
    BOOST_TEST(contains(requests[2], "X-Tanagertrack-Tenant: t2\r\n"));
}

// Guards against requests with a revoked key at a process that does not reach
// the store, and against callers that go on to be sent there.
BOOST_AUTO_TEST_CASE(process_without_the_store_refuses_keys_after_the_bound)
{
    BOOST_TEST(ready_status() == "200");
    store.read_outcome = []
    {
        return call_outcome::refused;
    };
    put("keyed.servers", "wake", std::nullopt);
    now += max_view_age - 1ms;
    BOOST_TEST(ready_status() == "503");
    BOOST_TEST(status_of(get("/c/x", key("k1"))) == "200");
    now += 1ms;
    BOOST_TEST(status_of(get("/c/x", key("k1"))) == "503");
    BOOST_TEST(status_of(get("/c/x", key("added later"))) == "503");
    BOOST_TEST(submit("j1", "k1", job_body(item("i1"))) == "503");
    BOOST_TEST(status_of(get("/p/x")) == "200");
    BOOST_TEST(requests.size() == 2U);

    store.read_outcome = []
    {
        return call_outcome::done;
    };
    put("keyed.op", "wake", "x");
    BOOST_REQUIRE(run_until(context, [&] { return ready_status() == "200"; }));
    BOOST_TEST(status_of(get("/c/x", key("k1"))) == "200");
}

BOOST_AUTO_TEST_CASE(revoked_key_is_refused_and_the_other_one_still_works)
{
    configure_teams(2, R"("k2")");
    BOOST_TEST(status_of(get("/c/x", key("k1"))) == "401");
    BOOST_TEST(status_of(get("/c/x", key("k2"))) == "200");
}

// Guards against a team that reads, ends or learns of another team's job, and
// against a job that only the key of its submission can read.
BOOST_AUTO_TEST_CASE(job_is_visible_to_all_keys_of_its_team_only)
{
    BOOST_TEST(submit("j1", "k1", job_body(item("i1"))) == "202");
    const std::string path = "/tanagertrack/lots/j1";
    BOOST_TEST(status_of(get(path, key("k2"))) == "200");
    BOOST_TEST(status_of(get(path, key("k3"))) == "404");
    BOOST_TEST(status_of(get(path)) == "401");
    BOOST_TEST(status_of("DELETE " + path + " HTTP/1.1\r\nHost: h\r\n" +
                         key("k3") + "\r\n") == "404");
    BOOST_TEST(submit("j1", "k2", job_body(item("i1"))) == "202");
    BOOST_TEST(submit("j1", "k3", job_body(item("i1"))) == "409");
    configure_teams(2, R"("k2")");
    BOOST_TEST(status_of(get(path, key("k1"))) == "401");
    BOOST_TEST(status_of(get(path, key("k2"))) == "200");
}

// Guards against items that reach a target in the name of another team.
BOOST_AUTO_TEST_CASE(item_carries_the_team_of_its_job)
{
    const std::string text =
        R"({"id":"i1","path":"/b/x","headers":{"X-TANAGERTRACK-tenant":"t2",)"
        R"("authorization":"Bearer k3","Connection":"X-Tanagertrack-Tenant"},)"
        R"("body":"","tokenCount":10})";
    BOOST_TEST(submit("j1", "k1", job_body(text)) == "202");
    BOOST_REQUIRE(run_until(context, [&] { return !requests.empty(); }));
    BOOST_TEST(contains(requests[0], "X-Tanagertrack-Tenant: t1\r\n"));
    BOOST_TEST(count_teams(requests[0]) == 1U);
    BOOST_TEST(!contains(requests[0], "k3"));
}

BOOST_AUTO_TEST_CASE(limit_on_waiting_tokens_holds_for_each_team)
{
    engine.make_answer = [](const std::string&)
    {
        return scripted_answer{};
    };
    BOOST_TEST(submit("j1", "k1", job_body(item("i1", 900))) == "202");
    BOOST_TEST(submit("j2", "k2", job_body(item("i2", 900))) == "429");
    BOOST_TEST(submit("j3", "k3", job_body(item("i3", 900))) == "202");
}

BOOST_AUTO_TEST_SUITE_END()
