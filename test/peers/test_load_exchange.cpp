#include "peers/load_exchange.hpp"
#include "support/event_loop.hpp"
#include "support/test_protocol.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

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

/// Targets and load exchange of one entry.
struct peer_process
{
    peer_process(boost::asio::io_context& context, const std::string& member)
        : address{"127.0.0.1", free_udp_port(context)},
          set(context, {"d", "", {}},
              {.on_load_change =
                   [this]
               {
                   exchange->handle_load_change();
               }}),
          exchange(std::make_unique<peers::load_exchange>(
              context, set, member, peers::exchange_settings{5ms, 50ms},
              peers::exchange_hooks{
                  .read_own_state = [this] { return own; },
                  .on_change = [this] { ++changes; },
                  .on_observations = [this](const auto& it)
                  { observed.push_back(it); },
                  .take_capacity_news =
                      [this](std::size_t n)
                  {
                      max_news = std::max(max_news, n);
                      return std::exchange(news_to_send, {});
                  },
                  .on_capacity_news = [this](const auto& it)
                  { news.push_back(it); },
                  .read_team_uses = [this](std::size_t) { return own_uses; },
                  .on_team_uses =
                      [this](const auto& member, const auto& uses)
                  {
                      heard_from = member;
                      peer_uses = uses;
                  }}))
    {
        BOOST_REQUIRE(!exchange->start(address));
        for (const auto* id : {"t1", "t2"})
            set.add(id, make_announcement({"127.0.0.1", 1}));
    }

    ~peer_process()
    {
        exchange->stop();
    }

    common::endpoint address;
    peers::own_state own;
    unsigned changes = 0;
    std::vector<quarantine::observations> observed;
    std::vector<routing::capacity_news> news_to_send;
    std::vector<routing::capacity_news> news;
    std::size_t max_news = 0;
    std::vector<teams::team_use> own_uses;
    std::vector<teams::team_use> peer_uses;
    std::string heard_from;
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

    /// Load of target `id` as known to `observer`.
    const routing::target_load& load_at(peer_process& observer, const char* id)
    {
        return observer.set.find(id)->load;
    }

    boost::asio::io_context context;
    peer_process one{context, "m1"};
    peer_process two{context, "m2"};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(load_exchange, fixture)

BOOST_AUTO_TEST_CASE(requests_in_progress_are_sent_to_peers)
{
    one.set.find("t1")->add_request(routing::work_class::online);
    one.set.find("t1")->add_request(routing::work_class::batch);
    BOOST_TEST(run_until(context,
                         [&] { return load_at(two, "t1").peer_online == 1; }));
    BOOST_TEST(load_at(two, "t1").peer_batch == 1);
    BOOST_TEST(load_at(two, "t2").peer_online == 0);
    one.set.find("t1")->remove_request(routing::work_class::online);
    BOOST_TEST(run_until(context,
                         [&] { return load_at(two, "t1").peer_online == 0; }));
}

// Guards against reports that entries send to each other again and again: only
// direct reports are sent, and a received one is not direct.
BOOST_AUTO_TEST_CASE(direct_load_report_reaches_peers_as_an_indirect_one)
{
    // A peer's state is known once its first message has been received.
    BOOST_REQUIRE(run_until(context, [&] { return two.changes > 0; }));
    auto& report = one.set.find("t1")->load.reported;
    report.slowdown = 1.5;
    report.running = 3;
    report.received_at = common::clock::now();
    report.received_directly = true;
    one.set.find("t1")->add_request(routing::work_class::online);
    BOOST_TEST(run_until(
        context, [&] { return load_at(two, "t1").reported.slowdown == 1.5; }));
    BOOST_TEST(load_at(two, "t1").reported.running == 3);
    BOOST_TEST(!load_at(two, "t1").reported.received_directly);
}

// Guards against evidence of capacities that is lost on the way, and against
// messages that grow by more than a fifth because of it.
BOOST_AUTO_TEST_CASE(news_of_capacities_reach_peers)
{
    one.news_to_send = {{7, 1.5, 250, 6, 4, 30ms}};
    one.exchange->handle_load_change();
    BOOST_REQUIRE(run_until(context, [&] { return !two.news.empty(); }));
    BOOST_TEST(two.news.size() == 1);
    BOOST_TEST(two.news[0].target == 7);
    BOOST_TEST(two.news[0].relative_time == 1.5);
    BOOST_TEST(two.news[0].weight == 250);
    BOOST_TEST(two.news[0].running == 6);
    BOOST_TEST(two.news[0].knee == 4);
    BOOST_TEST((two.news[0].age == 30ms));

    // The messages of this test are short.
    BOOST_TEST(one.max_news == 1);
}

BOOST_AUTO_TEST_CASE(requests_of_teams_are_sent_to_peers)
{
    // A message without teams shows that the entry can be heard.
    BOOST_TEST(run_until(context, [&] { return two.heard_from == "m1"; }));
    BOOST_TEST(two.peer_uses.empty());
    one.own_uses = {{0xfedcba9876543210, 4'000'000'000, 17}, {7, 0, 1}};
    BOOST_TEST(
        run_until(context, [&] { return two.peer_uses == one.own_uses; }));
}

// Guards against a number of datagrams that grows with the square of the number
// of entries.
BOOST_AUTO_TEST_CASE(message_interval_grows_with_the_number_of_peers)
{
    constexpr unsigned peers = 40;
    constexpr auto duration = 400ms;
    for (unsigned n = 0; n < peers; ++n)
        one.exchange->add_peer("p" + std::to_string(n), two.address);
    const auto before = two.changes;
    const auto end = common::clock::now() + duration;
    while (common::clock::now() < end)
    {
        one.exchange->handle_load_change();
        run_for(context, 1ms);
    }
    const auto received = two.changes - before;
    BOOST_TEST(received <= duration / (peers * 500us) + 1);
    BOOST_TEST(received >= 2);
}

BOOST_AUTO_TEST_CASE(load_of_a_removed_peer_is_no_longer_counted)
{
    one.set.find("t1")->add_request(routing::work_class::online);
    BOOST_REQUIRE(run_until(context, [&]
                            { return load_at(two, "t1").peer_online == 1; }));
    two.exchange->remove_peer("m1");
    BOOST_TEST(load_at(two, "t1").peer_online == 0);
}

// Guards against loads from senders that are not peers, and against a crash on
// datagrams that can't be parsed.
BOOST_AUTO_TEST_CASE(datagrams_of_unknown_senders_are_ignored)
{
    udp::socket unknown_sender(context,
                               {boost::asio::ip::make_address("127.0.0.1"), 0});
    const udp::endpoint destination(boost::asio::ip::make_address("127.0.0.1"),
                                    two.address.port);
    peers::LoadMessage forged;
    forged.set_member("m1");
    forged.set_sequence(1000000);
    auto& use = *forged.add_uses();
    use.set_target(two.set.find("t1")->key());
    use.set_online(99);
    for (const auto& it : {forged.SerializeAsString(),
                           std::string("\xff\xff\xff\xff"), std::string()})
        unknown_sender.send_to(boost::asio::buffer(it), destination);
    run_for(context, 30ms);
    BOOST_TEST(load_at(two, "t1").peer_online == 0);
    one.set.find("t1")->add_request(routing::work_class::online);
    BOOST_TEST(run_until(context,
                         [&] { return load_at(two, "t1").peer_online == 1; }));
}

// Guards against messages that exceed the maximum size of a datagram when many
// targets have requests.
BOOST_AUTO_TEST_CASE(message_with_thousands_of_targets_arrives_complete)
{
    constexpr int target_count = 2000;
    for (int n = 0; n < target_count; ++n)
    {
        const auto id = "x" + std::to_string(n);
        for (auto* it : {&one, &two})
            it->set.add(id, make_announcement({"127.0.0.1", 1}));
        one.set.find(id)->add_request(routing::work_class::online);
    }
    BOOST_TEST(run_until(
        context, [&] { return load_at(two, "x1999").peer_online == 1; }, 3s));
    BOOST_TEST(load_at(two, "x0").peer_online == 1);
}

BOOST_AUTO_TEST_SUITE_END()
