#include "entry/state_exchange.hpp"
#include "support/async_client.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;

namespace
{

/// A process that serves its state, or wants one.
struct node
{
    node(boost::asio::io_context& context, std::uint16_t port,
         std::vector<common::endpoint> others, std::string known)
        : state(std::move(known)), states(context, fill(port, others), outside,
                                          [this] { return state.empty(); })
    {
        outside.export_state = [this]
        {
            return state;
        };
        outside.import_state = [this](std::string_view it)
        {
            state = it;
        };
        BOOST_REQUIRE(!states.start());
    }

    const config::settings& fill(std::uint16_t port,
                                 const std::vector<common::endpoint>& others)
    {
        settings.cluster_key = "key";
        settings.peer.control = {"127.0.0.1", port};
        settings.peer.entries = others;
        return settings;
    }

    std::string state;
    config::settings settings;
    entry::edge outside;
    entry::state_exchange states;
};

struct fixture
{
    ~fixture()
    {
        run_ready(context);
    }

    std::string ask(std::uint16_t port, const std::string& fields)
    {
        async_client client(context, port);
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

// Guards against a process that serves nobody because it started while the
// store is away.
BOOST_AUTO_TEST_CASE(state_comes_from_a_process_that_has_it)
{
    const common::endpoint dead{"127.0.0.1", free_port()};
    node one(context, first.port, {}, "known");
    node two(context, second.port, {dead, second, first}, "");
    BOOST_TEST(run_until(context, [&] { return two.state == "known"; }));
}

BOOST_AUTO_TEST_CASE(process_without_state_does_not_give_any)
{
    node one(context, first.port, {}, "");
    const auto answer = ask(first.port, "Authorization: Bearer key\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
}

BOOST_AUTO_TEST_CASE(state_is_given_to_entries_only)
{
    node one(context, first.port, {}, "known");
    BOOST_TEST(ask(first.port, "").starts_with("HTTP/1.1 403 "));
    BOOST_TEST(ask(first.port, "Authorization: Bearer other\r\n")
                   .starts_with("HTTP/1.1 403 "));
    const auto answer = ask(first.port, "Authorization: Bearer key\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
    BOOST_TEST(answer.ends_with("known"));
}

BOOST_AUTO_TEST_SUITE_END()
