#include "fleet/target_directory.hpp"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace tanagertrack;
using namespace std::chrono_literals;
using fleet::departure;
using fleet::target_announcement;

namespace
{

/// A directory, the targets that it says are in use, and why others left.
struct fixture
{
    fixture()
        : directory({[this](const std::string& id, const auto&)
                     { in_use.insert(id); },
                     [this](const std::string& id, departure why)
                     {
                         in_use.erase(id);
                         departures.emplace_back(id, why);
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
    std::vector<std::pair<std::string, departure>> departures;
    fleet::target_directory directory;
    common::time_point now = common::clock::now();
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(target_directory, fixture)

// Guards against a leaving target that comes back by a late write.
BOOST_AUTO_TEST_CASE(older_announcement_says_nothing)
{
    directory.announce("a", make(3));
    directory.announce("a", make(5, true));
    BOOST_TEST(in_use.empty());
    directory.announce("a", make(4));
    BOOST_TEST(in_use.empty());
    directory.announce("a", make(5));
    BOOST_TEST(in_use.empty());
}

// A target that starts again under its id counts anew.
BOOST_AUTO_TEST_CASE(new_start_comes_after_any_announcement)
{
    directory.announce("a", make(9, true));
    directory.announce("a", make(1, false, 2000));
    BOOST_TEST(in_use.contains("a"));
    directory.announce("a", make(10, false, 1000));
    directory.announce("a", make(2, true, 2000));
    BOOST_TEST(in_use.empty());
}

BOOST_AUTO_TEST_CASE(removed_target_is_gone_and_stays_gone)
{
    directory.announce("a", make(3));
    directory.remove("a", now);
    BOOST_TEST(in_use.empty());
    BOOST_TEST((departures.back().second == departure::removed));
    directory.announce("a", make(3));
    BOOST_TEST(in_use.empty());
    directory.announce("a", make(4));
    BOOST_TEST(in_use.contains("a"));
}

BOOST_AUTO_TEST_CASE(unreadable_announcement_names_no_target)
{
    directory.announce("a", make(3));
    directory.announce("b", make(3));
    directory.announce("a", std::nullopt);
    BOOST_TEST((in_use == std::set<std::string>{"b"}));
    directory.announce("a", make(4));
    BOOST_TEST(in_use.contains("a"));
}

// Guards against an outage of the store that takes all targets away.
BOOST_AUTO_TEST_CASE(lapsed_targets_are_kept_until_they_can_be_back)
{
    directory.announce("a", make(3));
    directory.announce("b", make(3));
    directory.set_store_reachable(false, now);
    now += 5s;
    directory.set_store_reachable(true, now);
    directory.retain([](const std::string&) { return false; }, now);
    BOOST_TEST(in_use.size() == 2);

    // One renews its entry as it was, the other does not come back.
    directory.announce("a", make(3));
    directory.expire(now + fleet::target_directory::lapse_grace - 1ms);
    BOOST_TEST(in_use.size() == 2);
    directory.expire(now + fleet::target_directory::lapse_grace);
    BOOST_TEST((in_use == std::set<std::string>{"a"}));
    BOOST_TEST((departures.back().second == departure::lapsed));
}

BOOST_AUTO_TEST_CASE(leaving_is_leaving_also_after_an_outage)
{
    directory.announce("a", make(3));
    directory.set_store_reachable(false, now);
    directory.set_store_reachable(true, now + 1s);
    directory.announce("a", make(4, true));
    BOOST_TEST(in_use.empty());
}

BOOST_AUTO_TEST_CASE(removal_counts_at_once_when_the_outage_is_past)
{
    directory.announce("a", make(3));
    directory.set_store_reachable(false, now);
    directory.set_store_reachable(true, now + 1s);
    directory.remove("a", now + 1s + fleet::target_directory::lapse_grace);
    BOOST_TEST(in_use.empty());
}

BOOST_AUTO_TEST_CASE(nothing_expires_while_the_store_is_away)
{
    directory.announce("a", make(3));
    directory.set_store_reachable(false, now);
    directory.remove("a", now);
    directory.expire(now + 60s);
    BOOST_TEST(in_use.contains("a"));
}

BOOST_AUTO_TEST_SUITE_END()
