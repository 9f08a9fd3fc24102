#include "entry/state_exchange.hpp"
#include "support/async_client.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;

namespace
{

/// A process that serves its state, or requests one if it has none.
struct entry_process
{
    entry_process(boost::asio::io_context& context, std::uint16_t port,
                  std::vector<common::endpoint> others, std::string known_state,
                  std::string key = "key")
        : state(std::move(known_state)),
          exchange(context, fill_settings(port, others, key), entry_edge,
                   [this] { return state.empty(); })
    {
        entry_edge.export_state = [this]
        {
            return state;
        };
        entry_edge.import_state = [this](std::string_view imported)
        {
            state = imported;
        };
        BOOST_REQUIRE(!exchange.start());
    }

    const config::settings&
    fill_settings(std::uint16_t port,
                  const std::vector<common::endpoint>& others,
                  const std::string& key)
    {
        settings.cluster_key = key;
        settings.peer.control = {"127.0.0.1", port};
        settings.peer.entries = others;
        return settings;
    }

    std::string state;
    config::settings settings;
    entry::edge entry_edge;
    entry::state_exchange exchange;
};

struct fixture
{
    ~fixture()
    {
        run_ready(context);
    }

    /// Requests the state from a process; returns the whole response.
    std::string request_state(std::uint16_t port, const std::string& fields)
    {
        async_client client(context, port);

        // No response contains "never", so this waits until the server closes
        // the connection.
        return client.send_and_wait("GET /state HTTP/1.1\r\nHost: x\r\n" +
                                        fields + "Connection: close\r\n\r\n",
                                    "never");
    }

    boost::asio::io_context context;
    const common::endpoint first{"127.0.0.1", free_port()};
    const common::endpoint second{"127.0.0.1", free_port()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(state_exchange, fixture)

// Guards against a process that can't serve because it started while the store
// is unreachable. The first entry in its list is down, the second is itself.
BOOST_AUTO_TEST_CASE(state_is_obtained_from_an_entry_that_has_it)
{
    const common::endpoint dead{"127.0.0.1", free_port()};
    entry_process one(context, first.port, {}, "known");
    entry_process two(context, second.port, {dead, second, first}, "");
    BOOST_TEST(run_until(context, [&] { return two.state == "known"; }));
}

// Guards against a process that never gets the state of another one if the
// fleet has no key: the header field lost the end of its value on the way.
BOOST_AUTO_TEST_CASE(state_is_obtained_in_a_fleet_without_a_key)
{
    entry_process one(context, first.port, {}, "known", "");
    entry_process two(context, second.port, {first}, "", "");
    BOOST_TEST(run_until(context, [&] { return two.state == "known"; }));
    BOOST_TEST(request_state(first.port, "Authorization: Bearer key\r\n")
                   .starts_with("HTTP/1.1 403 "));
}

BOOST_AUTO_TEST_CASE(request_gets_503_when_there_is_no_state)
{
    entry_process one(context, first.port, {}, "");
    const auto answer =
        request_state(first.port, "Authorization: Bearer key\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
}

BOOST_AUTO_TEST_CASE(state_is_served_only_with_the_cluster_key)
{
    entry_process one(context, first.port, {}, "known");
    BOOST_TEST(request_state(first.port, "").starts_with("HTTP/1.1 403 "));
    BOOST_TEST(request_state(first.port, "Authorization: Bearer other\r\n")
                   .starts_with("HTTP/1.1 403 "));
    const auto answer =
        request_state(first.port, "Authorization: Bearer key\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
    BOOST_TEST(answer.ends_with("known"));
}

BOOST_AUTO_TEST_SUITE_END()
