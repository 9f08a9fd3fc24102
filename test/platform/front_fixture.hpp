#ifndef TANAGERTRACK_TEST_PLATFORM_FRONT_FIXTURE_HPP
#define TANAGERTRACK_TEST_PLATFORM_FRONT_FIXTURE_HPP

#include "common/base64.hpp"
#include "common/metrics.hpp"
#include "entry/entry_core.hpp"
#include "platform/engine_protocol.hpp"
#include "platform/platform_edge.hpp"
#include "support/async_client.hpp"
#include "support/fake_store.hpp"
#include "support/scripted_server.hpp"
#include "support/test_protocol.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace tanagertrack::test
{

inline bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

/// An entry with the platform's edge that runs on the context of the test, with
/// a fake store and one target whose responses the test sets.
struct front_fixture
{
    /// `jobs_interval` is the minimum time between two reads of the log of
    /// jobs, besides those that a call needs.
    explicit front_fixture(
        std::chrono::milliseconds jobs_interval = std::chrono::milliseconds(0),
        std::chrono::milliseconds max_view_age = std::chrono::milliseconds(0))
    {
        settings.teams.max_view_age = max_view_age;
        settings.callers = "platform";
        settings.name = "e1";
        settings.address = "127.0.0.1";
        settings.data_centre = "a";
        settings.peer.port = free_port();
        settings.platform.front = {"127.0.0.1", free_port()};
        settings.platform.ready = {"127.0.0.1", free_port()};
        settings.batch.result_flush_interval = std::chrono::milliseconds(1);
        settings.store.targets_interval = std::chrono::milliseconds(0);
        settings.store.jobs_interval = jobs_interval;
        core = std::make_unique<entry::entry_core>(
            context, settings, metrics,
            entry::core_parts{store.service(), platform::make_engine_protocol(),
                              platform::classify_failure});
        edge = platform::make_platform_edge(
            *core, [this] { targets_known = true; }, [this] { return ready; });
        core->on_configured([this](const auto& it)
                            { edge.handle_configuration(it); });
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

    ~front_fixture()
    {
        edge.close();
        engine.stop();
        run_ready(context);
    }

    /// Writes a record into the fake store; std::nullopt removes the key.
    void put(const std::string& topic, const std::string& key,
             const std::optional<std::string>& value)
    {
        store.model.put(topic, key, value, common::clock::now());
        store.wake();
    }

    /// Appends the records with which another entry accepts a job of the item
    /// "i1" under the route "b".
    void append_accepted_job(const std::string& id, const std::string& host)
    {
        proto::JobRecord part;
        part.mutable_part()->set_job(id);
        auto& accepted_item = *part.mutable_part()->add_items();
        accepted_item.set_id("i1");
        accepted_item.set_path("/b/x");
        proto::JobRecord commit;
        commit.mutable_commit()->set_job(id);
        commit.mutable_commit()->set_route("b");
        commit.mutable_commit()->set_host(host);
        commit.mutable_commit()->set_member("other");
        commit.mutable_commit()->set_item_count(1);
        store.model.append(
            {"jobs", 0, {part.SerializeAsString(), commit.SerializeAsString()}},
            common::clock::now());
        store.wake();
    }

    std::string configuration_text(unsigned version,
                                   const std::string& more_routes = {}) const
    {
        return R"({"version":)" + std::to_string(version) + R"(,"routes":[
            {"name":"c","host":"h","pathPrefix":"/c/","service":"s",
             "kind":"idempotent","maxAttempts":2,"timeoutMs":2000},
            {"name":"b","host":"h","pathPrefix":"/b/","service":"s",
             "kind":"batch","maxAttempts":2,"dueMs":18000,"cap":1000})" +
               more_routes + R"(],"services":[{"name":"s"}],
            "limits":{"maxHeaderBytes":2000,"maxBodyBytes":3000,
                      "headerTimeoutMs":300,"idleTimeoutMs":5000}})";
    }

    void configure(unsigned version = 1, const std::string& more_routes = {})
    {
        put("keyed.op", "config", configuration_text(version, more_routes));
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

    /// Sends a request on a new connection to the listener for callers and
    /// returns what arrives until `mark` or the end of the connection.
    std::string send_request(const std::string& request,
                             const std::string& mark)
    {
        async_client client(context, settings.platform.front.port);
        return client.send_and_wait(request, mark);
    }

    static std::string get(const std::string& target,
                           const std::string& fields = {},
                           const std::string& host = "h")
    {
        return "GET " + target + " HTTP/1.1\r\nHost: " + host +
               "\r\nX-Tanagertrack-Request-Id: r1\r\n" + fields + "\r\n";
    }

    static std::string post(const std::string& target, const std::string& body,
                            const std::string& id = "r1",
                            const std::string& host = "h")
    {
        return "POST " + target + " HTTP/1.1\r\nHost: " + host +
               "\r\nX-Tanagertrack-Request-Id: " + id +
               "\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }

    static std::string remove(const std::string& target,
                              const std::string& host)
    {
        return "DELETE " + target + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
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

/// An entry with a configuration and a target.
struct serving_front : front_fixture
{
    explicit serving_front(
        std::chrono::milliseconds jobs_interval = std::chrono::milliseconds(0))
        : front_fixture(jobs_interval)
    {
        configure();
        add_engine();
    }
};

} // namespace tanagertrack::test

#endif
