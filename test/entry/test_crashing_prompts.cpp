#include "entry/crashing_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;

namespace
{

/// Time after the crashes within which all entries must have learned which
/// prompts crash engines.
constexpr auto settle_time = 1500ms;

/// Crashes after which no more than `max_late_crashes` may follow, once the
/// settle time has passed.
constexpr std::size_t learning_crashes = 5;
constexpr std::size_t max_late_crashes = 3;

/// Sends deadly requests to the entries in turn until enough engines have
/// crashed; no two prompts are alike, but all have the part "bad". A sound
/// request with the other parts precedes each one.
void crash_engines(crashing_fleet& it)
{
    for (std::size_t n = 0; it.crashes() < learning_crashes; ++n)
    {
        BOOST_REQUIRE(n < 10 * learning_crashes);
        const auto own = std::to_string(n);
        const auto entry = n % it.entry_count();
        it.send(entry, "/sound", "first,second,s" + own);
        it.send(entry, "/deadly", "first,second,bad,d" + own);
    }
    run_for(it.context(), settle_time);
}

/// Sends deadly requests to all entries and returns the number of engines that
/// crashed.
std::size_t count_late_crashes(crashing_fleet& it)
{
    const auto before = it.crashes();
    for (std::size_t n = 0; n < 20; ++n)
        it.send(n % it.entry_count(), "/deadly",
                "first,other" + std::to_string(n) + ",bad,l" +
                    std::to_string(n));
    return it.crashes() - before;
}

/// Returns how many of 20 sound requests with the same first parts as the
/// deadly ones are answered.
unsigned count_sound_answers(crashing_fleet& it)
{
    unsigned answered = 0;
    for (std::size_t n = 0; n < 20; ++n)
        answered += it.send(n % it.entry_count(), "/sound",
                            "first,second,t" + std::to_string(n))
                        .complete;
    return answered;
}

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_prompts)

// Guards against requests with one part of the prompt that crash one engine
// after the other, at whichever entry they arrive.
BOOST_AUTO_TEST_CASE(prompts_that_crash_engines_stop_reaching_them)
{
    crashing_fleet it(3, 8);
    crash_engines(it);
    BOOST_TEST(count_late_crashes(it) <= max_late_crashes);
    BOOST_TEST(count_sound_answers(it) == 20);
}

// Guards against the same with engines that crash before they send a head.
BOOST_AUTO_TEST_CASE(crashes_without_a_head_are_recognized)
{
    crashing_fleet it(3, 8, false);
    crash_engines(it);
    BOOST_TEST(count_late_crashes(it) <= max_late_crashes);
    BOOST_TEST(count_sound_answers(it) == 20);
}

// Guards against learning anew, at the cost of engines, after the loss of all
// entries.
BOOST_AUTO_TEST_CASE(entries_that_all_start_anew_refuse_the_same_prompts)
{
    crashing_fleet lost(3, 8);
    crash_engines(lost);
    crashing_fleet it(lost);
    BOOST_TEST(count_late_crashes(it) == 0U);
    BOOST_TEST(count_sound_answers(it) == 20);
}

// Guards against an entry that joined later and crashes engines by itself.
BOOST_AUTO_TEST_CASE(entry_that_joins_refuses_the_same_prompts)
{
    crashing_fleet it(2, 8);
    crash_engines(it);
    const auto joined = it.add_entry();
    const auto before = it.crashes();
    BOOST_TEST(!it.send(joined, "/deadly", "first,third,bad,j").complete);
    BOOST_TEST(it.crashes() == before);
    BOOST_TEST(it.send(joined, "/sound", "first,third,k").complete);
}

BOOST_AUTO_TEST_SUITE_END()
