#include "http/byte_budget.hpp"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <string>
#include <vector>

namespace tanagertrack::test
{

using http::byte_budget;
using http::cut_reason;
using http::held_kind;
using http::holder_phase;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t max_bytes = 1000;
constexpr std::size_t small_bytes = 100;
constexpr std::size_t min_progress = 10;

struct fixture
{
    explicit fixture(std::size_t max_connections = 0)
        : budget(
              {max_bytes, max_connections, small_bytes, 1000ms, min_progress})
    {
    }

    /// Adds a holder, which records its name when it is resumed or cut.
    byte_budget::holder& add(const std::string& name,
                             const std::string& address, holder_phase phase,
                             std::size_t bytes,
                             held_kind kind = held_kind::body)
    {
        auto& it = holders.emplace_back();
        it.on_cut = [this, name](cut_reason)
        {
            cut.push_back(name);
        };
        it.on_resume = [this, name]
        {
            resumed.push_back(name);
        };
        budget.add(it, address);
        budget.set_phase(it, phase);
        budget.set_held(it, kind, bytes);
        return it;
    }

    /// Begins an interval of observation.
    void begin()
    {
        budget.run_checks(now);
    }

    void end_interval()
    {
        now += 1000ms;
        budget.run_checks(now);
    }

    byte_budget budget;
    std::deque<byte_budget::holder> holders;
    std::vector<std::string> cut;
    std::vector<std::string> resumed;
    common::time_point now{};
};

struct limited_connections : fixture
{
    limited_connections() : fixture(3)
    {
    }
};

using names = std::vector<std::string>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(byte_budgets, fixture)

/// Guards against a limit that acts where there is no pressure.
BOOST_AUTO_TEST_CASE(nobody_is_touched_without_pressure)
{
    auto& it = add("a", "1", holder_phase::body, 700);
    begin();
    end_interval();
    end_interval();
    BOOST_TEST(cut.empty());
    BOOST_TEST(budget.may_read(it, 50));
    BOOST_TEST(budget.admits_body(it, 5000));
}

/// Guards against large callers that leave nothing for ordinary requests.
BOOST_AUTO_TEST_CASE(last_quarter_is_for_small_requests)
{
    auto& large = add("large", "1", holder_phase::body, 750);
    auto& small = add("small", "2", holder_phase::body, 0);
    BOOST_TEST(!budget.may_read(large, 1));
    BOOST_TEST(budget.may_read(small, 100));
    BOOST_TEST(!budget.may_read(small, 101));
    BOOST_TEST(budget.admits_body(small, 100));
    BOOST_TEST(!budget.admits_body(small, 101));
    BOOST_TEST(!budget.admits_body(small, 0));
    BOOST_TEST(budget.cuts(cut_reason::refused_body) == 2U);
}

/// The reserve has a bound of its own.
BOOST_AUTO_TEST_CASE(small_requests_do_not_exceed_the_budget)
{
    add("large", "1", holder_phase::running, 950);
    auto& small = add("small", "2", holder_phase::body, 0);
    BOOST_TEST(!budget.may_read(small, 51));
    BOOST_TEST(budget.may_read(small, 50));
}

/// Guards against cutting callers that are slow but send.
BOOST_AUTO_TEST_CASE(callers_without_progress_are_cut_first)
{
    auto& slow = add("slow", "1", holder_phase::body, 500);
    add("stalled", "1", holder_phase::body, 300);
    begin();
    budget.record_progress(slow, min_progress);
    end_interval();
    BOOST_TEST(cut == names{"stalled"});
    BOOST_TEST(budget.cuts(cut_reason::no_progress) == 1U);
}

/// A byte now and then is no progress.
BOOST_AUTO_TEST_CASE(single_bytes_are_no_progress)
{
    auto& it = add("trickle", "1", holder_phase::body, 800);
    begin();
    budget.record_progress(it, 1);
    end_interval();
    BOOST_TEST(cut == names{"trickle"});
}

/// Guards against unfairness to an address with few bytes.
BOOST_AUTO_TEST_CASE(address_that_holds_most_is_cut_first)
{
    add("single", "2", holder_phase::body, 300);
    add("crowd1", "1", holder_phase::body, 250);
    add("crowd2", "1", holder_phase::body, 260);
    begin();
    end_interval();
    BOOST_TEST(cut == (names{"crowd2", "crowd1"}));
}

BOOST_AUTO_TEST_CASE(running_requests_are_never_cut)
{
    add("running", "1", holder_phase::running, 990);
    begin();
    end_interval();
    end_interval();
    BOOST_TEST(cut.empty());
}

/// Guards against a new connection that is judged by an interval in which it
/// was not there.
BOOST_AUTO_TEST_CASE(connection_is_observed_for_a_whole_interval)
{
    add("old", "1", holder_phase::running, 800);
    begin();
    add("new", "2", holder_phase::body, 150);
    end_interval();
    BOOST_TEST(cut.empty());
    end_interval();
    BOOST_TEST(cut == names{"new"});
}

/// Guards against a standstill: all bodies are paused and none can end.
BOOST_AUTO_TEST_CASE(paused_bodies_are_cut_if_nothing_becomes_free)
{
    auto& first = add("first", "1", holder_phase::held, 350);
    auto& second = add("second", "2", holder_phase::held, 400);
    BOOST_TEST(!budget.may_read(first, 64));
    BOOST_TEST(!budget.may_read(second, 64));
    begin();
    end_interval();
    BOOST_TEST(cut == names{"second"});
    BOOST_TEST(budget.cuts(cut_reason::paused) == 1U);

    // Its bytes become free, and the other one goes on.
    budget.remove(second);
    now += 100ms;
    budget.run_checks(now);
    BOOST_TEST(resumed == names{"first"});
}

BOOST_AUTO_TEST_CASE(those_that_hold_least_are_resumed_first)
{
    auto& running = add("running", "3", holder_phase::running, 300);
    auto& large = add("large", "1", holder_phase::held, 250);
    auto& small = add("small", "2", holder_phase::held, 200);
    BOOST_TEST(!budget.may_read(large, 150));
    BOOST_TEST(!budget.may_read(small, 150));
    budget.set_held(running, held_kind::body, 50);
    budget.run_checks(now);
    BOOST_TEST(resumed == names{"small"});
}

/// Guards against answers that pile up faster than the interval can notice.
BOOST_AUTO_TEST_CASE(unread_answers_above_the_budget_are_cut_at_once)
{
    add("a", "1", holder_phase::answer, 400, held_kind::answer);
    add("b", "1", holder_phase::answer, 450, held_kind::answer);
    add("c", "2", holder_phase::answer, 300, held_kind::answer);
    BOOST_TEST(cut == names{"b"});
    BOOST_TEST(budget.cuts(cut_reason::unread_answer) == 1U);
}

BOOST_AUTO_TEST_CASE(removed_holders_release_their_bytes)
{
    auto& it = add("a", "1", holder_phase::body, 400);
    budget.set_held(it, held_kind::head, 50);
    BOOST_TEST(budget.held_bytes() == 450U);
    BOOST_TEST(budget.held_bytes(held_kind::head) == 50U);
    budget.remove(it);
    budget.remove(it);
    BOOST_TEST(budget.held_bytes() == 0U);
    BOOST_TEST(budget.connections() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(connection_limits, limited_connections)

/// Guards against a crowd of idle connections that locks out others.
BOOST_AUTO_TEST_CASE(oldest_of_the_largest_address_makes_room)
{
    add("single", "2", holder_phase::head, 0);
    auto& first = add("crowd1", "1", holder_phase::head, 0);
    add("crowd2", "1", holder_phase::body, 0);
    budget.record_progress(first, 1);
    BOOST_TEST(budget.make_room_for_connection());
    BOOST_TEST(cut == names{"crowd2"});
}

BOOST_AUTO_TEST_CASE(running_requests_do_not_make_room)
{
    for (const auto* name : {"a", "b", "c"})
        add(name, "1", holder_phase::running, 0);
    BOOST_TEST(!budget.make_room_for_connection());
    BOOST_TEST(cut.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace tanagertrack::test
