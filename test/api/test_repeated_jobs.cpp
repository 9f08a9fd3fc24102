#include "api/api_edge.hpp"
#include "common/metrics.hpp"
#include "entry/entry_core.hpp"
#include "support/async_client.hpp"
#include "support/fake_store.hpp"
#include "support/scripted_server.hpp"
#include "support/test_protocol.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;

namespace
{

/// An entry with the product's own interface.
struct api_process
{
    /// `jobs_interval` is the minimum time between two reads of the log of
    /// jobs, besides those that a call needs.
    api_process(boost::asio::io_context& shared, fake_store& store,
                const std::string& name,
                std::chrono::milliseconds jobs_interval)
        : context(shared)
    {
        settings.name = name;
        settings.address = "127.0.0.1";
        settings.data_centre = "a";
        settings.peer.port = free_port();
        settings.front.port = free_port();
        settings.operators.port = free_port();
        settings.operators.key = "operator";
        settings.store.jobs_interval = jobs_interval;
        core = std::make_unique<entry::entry_core>(
            context, settings, metrics,
            entry::core_parts{store.service(), make_test_protocol(),
                              api::classify_failure});
        edge = api::make_api_edge(
            *core, [] {}, [] { return true; });
        BOOST_REQUIRE(!edge.start());
        core->start();
    }

    std::string post(std::uint16_t port, const std::string& path,
                     const std::string& fields, const std::string& body)
    {
        async_client client(context, port);
        return client.send_and_wait(
            "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + fields +
                "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                body,
            "\r\n\r\n{");
    }

    /// Applies a ticket with this number. `body` is YAML.
    void apply_ticket(unsigned number, const std::string& body)
    {
        const auto answer =
            post(settings.operators.port, "/operator/tickets",
                 "Authorization: Bearer operator\r\n"
                 "Content-Type: application/yaml\r\n",
                 "ticket: " + std::to_string(number) + "\n" + body);
        BOOST_REQUIRE_MESSAGE(answer.starts_with("HTTP/1.1 200 "), answer);
    }

    /// Submits a job of one item for the model "m" and returns the response.
    std::string submit(const std::string& key)
    {
        return post(settings.front.port, "/v1/batches",
                    "Authorization: Bearer team-key\r\n"
                    "Idempotency-Key: " +
                        key + "\r\n",
                    R"({"custom_id":"i1","method":"POST",)"
                    R"("url":"/v1/chat/completions",)"
                    R"("body":{"model":"m","messages":[]}})");
    }

    boost::asio::io_context& context;
    config::settings settings;
    common::metrics_registry metrics{1000};
    std::unique_ptr<entry::entry_core> core;
    entry::edge edge;
};

/// Two entries, of which the second one reads the log of jobs only when a call
/// needs its end.
struct fixture
{
    fixture()
    {
        one.apply_ticket(1, "models: [{name: m}]\n"
                            "teams: [{name: t, key: team-key, "
                            "requests_per_second: 500, burst: 500, "
                            "max_jobs: 100}]\n");
        BOOST_REQUIRE(run_until(context,
                                [this]
                                {
                                    return has_version(one, 1) &&
                                           has_version(two, 1) &&
                                           one.core->jobs().is_current() &&
                                           two.core->jobs().is_current();
                                }));
    }

    ~fixture()
    {
        one.edge.close();
        two.edge.close();
        run_ready(context);
    }

    static bool has_version(const api_process& process, std::uint64_t version)
    {
        const auto& it = process.core->configuration();
        return it && it->version() == version;
    }

    boost::asio::io_context context;
    fake_store store{context};
    api_process one{context, store, "e1", 0ms};
    api_process two{context, store, "e2", 1h};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(repeated_jobs, fixture)

// Guards against the refusal of a job that another entry has accepted, because
// its model was removed since and this entry has not read the acceptance yet.
BOOST_AUTO_TEST_CASE(job_unread_by_the_entry_is_accepted_without_its_model)
{
    const auto accepted = one.submit("key");
    BOOST_REQUIRE(accepted.starts_with("HTTP/1.1 200 "));
    one.apply_ticket(2, "remove: [models/m]\n");
    BOOST_REQUIRE(run_until(context, [&] { return has_version(two, 2); }));
    BOOST_REQUIRE(two.core->jobs().table().size() == 0);
    const auto repeated = two.submit("key");
    BOOST_REQUIRE_MESSAGE(repeated.starts_with("HTTP/1.1 200 "), repeated);
    const auto id_of = [](const std::string& answer)
    {
        return answer.substr(answer.find("batch-"), 40);
    };
    BOOST_TEST(id_of(repeated) == id_of(accepted));
    BOOST_TEST(two.submit("other").starts_with("HTTP/1.1 404 "));
}

BOOST_AUTO_TEST_SUITE_END()
