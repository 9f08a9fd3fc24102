#include "fleet/target_directory.hpp"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace tanagertrack;
using namespace std::chrono_literals;
using fleet::departure_reason;
using fleet::target_announcement;

namespace
{

/// A directory, the targets in use according to its hooks, and the departures
/// that it has reported.
struct fixture
{
    fixture()
        : directory({[this](const std::string& id, const auto&)
                     { in_use.insert(id); },
                     [this](const std::string& id, departure_reason reason)
                     {
                         in_use.erase(id);
                         departures.emplace_back(id, reason);
                     }})
    {
    }

    static target_announcement make(std::uint64_t sequence,
                                    bool leaving = false,
                                    std::uint64_t started_ms = 1000)
    {
        target_announcement it;
        it.services = {"s"};
        it.address = {"127.0.0.1", 1};
        it.leaving = leaving;
        it.started_ms = started_ms;
        it.sequence = sequence;
        return it;
    }

    std::set<std::string> in_use;
    std::vector<std::pair<std::string, departure_reason>> departures;
    fleet::target_directory directory;
    common::time_point now = common::clock::now();
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(target_directory, fixture)

// Guards against a target that says that it is leaving and is used again
// because its announcements still list it as ready.
BOOST_AUTO_TEST_CASE(target_that_said_that_it_is_leaving_is_used_after_a_start)
{
    directory.announce("a", make(1));
    directory.report_leaving("a");
    BOOST_TEST(in_use.empty());
    directory.announce("a", make(2));
    BOOST_TEST(in_use.empty());
    directory.announce("a", make(1, false, 2000));
    BOOST_TEST(in_use.size() == 1U);
    directory.report_leaving("unknown");
}

// Guards against a leaving target that is used again because of a delayed
// write.
BOOST_AUTO_TEST_CASE(older_announcement_is_ignored)
{
    directory.announce("a", make(3));
    directory.announce("a", make(5, true));
    BOOST_TEST(in_use.empty());
    directory.announce("a", make(4));
    BOOST_TEST(in_use.empty());
    directory.announce("a", make(5));
    BOOST_TEST(in_use.empty());
}

// Guards against a restarted target that is ignored because its sequence
// numbers begin again at a lower value.
BOOST_AUTO_TEST_CASE(announcement_after_a_restart_replaces_any_earlier_one)
{
    directory.announce("a", make(9, true));
    directory.announce("a", make(1, false, 2000));
    BOOST_TEST(in_use.contains("a"));
    directory.announce("a", make(10, false, 1000));
    directory.announce("a", make(2, true, 2000));
    BOOST_TEST(in_use.empty());
}

BOOST_AUTO_TEST_CASE(
    removed_target_is_used_again_only_after_a_newer_announcement)
{
    directory.announce("a", make(3));
    directory.remove("a", now);
    BOOST_TEST(in_use.empty());
    BOOST_TEST((departures.back().second == departure_reason::removed));
    directory.announce("a", make(3));
    BOOST_TEST(in_use.empty());
    directory.announce("a", make(4));
    BOOST_TEST(in_use.contains("a"));
}

BOOST_AUTO_TEST_CASE(malformed_announcement_ends_the_use_of_its_target_only)
{
    directory.announce("a", make(3));
    directory.announce("b", make(3));
    directory.announce("a", std::nullopt);
    BOOST_TEST((in_use == std::set<std::string>{"b"}));
    directory.announce("a", make(4));
    BOOST_TEST(in_use.contains("a"));
}

// Guards against the loss of all targets after an outage of the store: their
// keys lapse because they can't renew them.
BOOST_AUTO_TEST_CASE(lapsed_targets_stay_in_use_for_the_grace_period)
{
    directory.announce("a", make(3));
    directory.announce("b", make(3));
    directory.set_store_reachable(false, now);
    now += 5s;
    directory.set_store_reachable(true, now);
    directory.retain([](const std::string&) { return false; }, now);
    BOOST_TEST(in_use.size() == 2);

    // One target writes its announcement again unchanged, the other does not.
    directory.announce("a", make(3));
    directory.expire(now + fleet::target_directory::lapse_grace - 1ms);
    BOOST_TEST(in_use.size() == 2);
    directory.expire(now + fleet::target_directory::lapse_grace);
    BOOST_TEST((in_use == std::set<std::string>{"a"}));
    BOOST_TEST((departures.back().second == departure_reason::lapsed));
}

BOOST_AUTO_TEST_CASE(leaving_target_departs_at_once_after_an_outage)
{
    directory.announce("a", make(3));
    directory.set_store_reachable(false, now);
    directory.set_store_reachable(true, now + 1s);
    directory.announce("a", make(4, true));
    BOOST_TEST(in_use.empty());
}

BOOST_AUTO_TEST_CASE(removed_target_departs_at_once_after_the_grace_period)
{
    directory.announce("a", make(3));
    directory.set_store_reachable(false, now);
    directory.set_store_reachable(true, now + 1s);
    directory.remove("a", now + 1s + fleet::target_directory::lapse_grace);
    BOOST_TEST(in_use.empty());
}

BOOST_AUTO_TEST_CASE(no_target_expires_while_the_store_is_unreachable)
{
    directory.announce("a", make(3));
    directory.set_store_reachable(false, now);
    directory.remove("a", now);
    directory.expire(now + 60s);
    BOOST_TEST(in_use.contains("a"));
}

BOOST_AUTO_TEST_SUITE_END()
