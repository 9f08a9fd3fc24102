#include "peers/load_exchange.hpp"
#include "support/event_loop.hpp"
#include "support/test_protocol.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;
using boost::asio::ip::udp;

namespace
{

std::uint16_t free_udp_port(boost::asio::io_context& context)
{
    const udp::socket it(context,
                         {boost::asio::ip::make_address("127.0.0.1"), 0});
    return it.local_endpoint().port();
}

/// One entry's targets and exchange.
struct node
{
    node(boost::asio::io_context& context, const std::string& member)
        : address{"127.0.0.1", free_udp_port(context)},
          set(context, {"d", "", {}},
              [this] { exchange->handle_load_change(); }),
          exchange(std::make_unique<peers::load_exchange>(
              context, set, member, peers::exchange_settings{5ms, 50ms},
              [this] { return own; }, [this] { ++changes; }))
    {
        BOOST_REQUIRE(!exchange->start(address));
        for (const auto* id : {"t1", "t2"})
            set.add(id, make_announcement({"127.0.0.1", 1}));
    }

    ~node()
    {
        exchange->stop();
    }

    common::endpoint address;
    peers::own_state own;
    unsigned changes = 0;
    targets::target_set set;
    std::unique_ptr<peers::load_exchange> exchange;
};

struct fixture
{
    fixture()
    {
        one.exchange->add_peer("m2", two.address);
        two.exchange->add_peer("m1", one.address);
    }

    ~fixture()
    {
        one.exchange->stop();
        two.exchange->stop();
        run_ready(context);
    }

    const routing::target_load& seen(node& where, const char* id)
    {
        return where.set.find(id)->load;
    }

    boost::asio::io_context context;
    node one{context, "m1"};
    node two{context, "m2"};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(load_exchange, fixture)

BOOST_AUTO_TEST_CASE(requests_under_way_are_told)
{
    one.set.find("t1")->add_request(routing::work_class::online);
    one.set.find("t1")->add_request(routing::work_class::batch);
    BOOST_TEST(
        run_until(context, [&] { return seen(two, "t1").peer_online == 1; }));
    BOOST_TEST(seen(two, "t1").peer_batch == 1);
    BOOST_TEST(seen(two, "t2").peer_online == 0);
    one.set.find("t1")->remove_request(routing::work_class::online);
    BOOST_TEST(
        run_until(context, [&] { return seen(two, "t1").peer_online == 0; }));
}

BOOST_AUTO_TEST_CASE(reports_of_targets_are_passed_on_once)
{
    // Peers hear of each other with their first message.
    BOOST_REQUIRE(run_until(context, [&] { return two.changes > 0; }));
    auto& report = one.set.find("t1")->load.reported;
    report.slowdown = 1.5;
    report.running = 3;
    report.received_at = common::clock::now();
    report.received_directly = true;
    one.set.find("t1")->add_request(routing::work_class::online);
    BOOST_TEST(run_until(context, [&]
                         { return seen(two, "t1").reported.slowdown == 1.5; }));
    BOOST_TEST(seen(two, "t1").reported.running == 3);
    BOOST_TEST(!seen(two, "t1").reported.received_directly);
}

// Guards against datagrams that grow with the square of the entries.
BOOST_AUTO_TEST_CASE(messages_to_many_peers_are_fewer)
{
    constexpr unsigned peers = 40;
    constexpr auto time = 400ms;
    for (unsigned n = 0; n < peers; ++n)
        one.exchange->add_peer("p" + std::to_string(n), two.address);
    const auto before = two.changes;
    const auto end = common::clock::now() + time;
    while (common::clock::now() < end)
    {
        one.exchange->handle_load_change();
        run_for(context, 1ms);
    }
    const auto taken = two.changes - before;
    BOOST_TEST(taken <= time / (peers * 500us) + 1);
    BOOST_TEST(taken >= 2);
}

BOOST_AUTO_TEST_CASE(load_of_a_removed_peer_is_dropped)
{
    one.set.find("t1")->add_request(routing::work_class::online);
    BOOST_REQUIRE(
        run_until(context, [&] { return seen(two, "t1").peer_online == 1; }));
    two.exchange->remove_peer("m1");
    BOOST_TEST(seen(two, "t1").peer_online == 0);
}

// Guards against load that anybody could make up, and against a crash.
BOOST_AUTO_TEST_CASE(datagrams_of_others_are_ignored)
{
    udp::socket stranger(context,
                         {boost::asio::ip::make_address("127.0.0.1"), 0});
    const udp::endpoint to(boost::asio::ip::make_address("127.0.0.1"),
                           two.address.port);
    peers::LoadMessage forged;
    forged.set_member("m1");
    forged.set_sequence(1000000);
    auto& use = *forged.add_uses();
    use.set_target(two.set.find("t1")->key());
    use.set_online(99);
    for (const auto& it : {forged.SerializeAsString(),
                           std::string("\xff\xff\xff\xff"), std::string()})
        stranger.send_to(boost::asio::buffer(it), to);
    run_for(context, 30ms);
    BOOST_TEST(seen(two, "t1").peer_online == 0);
    one.set.find("t1")->add_request(routing::work_class::online);
    BOOST_TEST(
        run_until(context, [&] { return seen(two, "t1").peer_online == 1; }));
}

// Hundreds of targets in use fit into a message.
BOOST_AUTO_TEST_CASE(large_load_arrives_whole)
{
    constexpr int many = 2000;
    for (int n = 0; n < many; ++n)
    {
        const auto id = "x" + std::to_string(n);
        for (auto* it : {&one, &two})
            it->set.add(id, make_announcement({"127.0.0.1", 1}));
        one.set.find(id)->add_request(routing::work_class::online);
    }
    BOOST_TEST(run_until(
        context, [&] { return seen(two, "x1999").peer_online == 1; }, 3s));
    BOOST_TEST(seen(two, "x0").peer_online == 1);
}

BOOST_AUTO_TEST_SUITE_END()
