#include "batch/explorer.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <string>

using namespace tanagertrack;

BOOST_AUTO_TEST_SUITE(batch_explorer)

// Guards against a seed that fails once and can't be replayed, because the time
// that the operating system reports has decided which handler runs first.
BOOST_AUTO_TEST_CASE(two_runs_of_one_seed_take_the_same_steps)
{
    constexpr std::uint64_t seeds = 200;
    constexpr unsigned steps = 80;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        const auto run = [seed]
        {
            test::explorer explorer(seed);
            const auto violation = explorer.run(steps);
            return explorer.trace() + violation;
        };
        const auto first = run();
        BOOST_REQUIRE_EQUAL(run(), first);
    }
}

// Guards against an end of a run that is judged while a process still retries
// an append: these seeds failed for it.
BOOST_AUTO_TEST_CASE(seeds_that_once_failed_keep_the_guarantees)
{
    constexpr std::uint64_t failed_seeds[] = {26, 41, 67, 154, 177, 198, 304};
    constexpr unsigned steps = 80;
    for (const auto seed : failed_seeds)
    {
        test::explorer explorer(seed);
        const auto violation = explorer.run(steps);
        BOOST_TEST(violation.empty(), "seed " << seed << ": " << violation);
    }
}

// Guards against violations of the guarantees on jobs, on reads of jobs and on
// calls that run at most once, under any order of lost, late, refused and
// repeated calls to the store and of killed processes. TANAGERTRACK_SEED=N
// replays one seed, TANAGERTRACK_SEEDS=N explores the seeds up to N.
BOOST_AUTO_TEST_CASE(guarantees_hold_under_random_faults_for_all_seeds)
{
    constexpr unsigned steps = 80;
    const char* all_seeds = std::getenv("TANAGERTRACK_SEEDS");
    const std::uint64_t seeds = all_seeds ? std::stoull(all_seeds) : 2500;
    const char* replayed_seed = std::getenv("TANAGERTRACK_SEED");
    const std::uint64_t first = replayed_seed ? std::stoull(replayed_seed) : 1;
    const std::uint64_t last = replayed_seed ? first : seeds;
    test::explorer_coverage sum;
    for (auto seed = first; seed <= last; ++seed)
    {
        test::explorer explorer(seed);
        const auto violation = explorer.run(steps);
        BOOST_REQUIRE_MESSAGE(violation.empty(),
                              "seed " << seed << ": " << violation);
        sum.accepted += explorer.coverage.accepted;
        sum.results += explorer.coverage.results;
        sum.reassigned += explorer.coverage.reassigned;
        sum.repeated_calls += explorer.coverage.repeated_calls;
        sum.unknown_outcomes += explorer.coverage.unknown_outcomes;
        sum.expiries += explorer.coverage.expiries;
        sum.reads += explorer.coverage.reads;
    }
    if (replayed_seed != nullptr)
        return;

    // The checks mean something only if the seeds reach these situations
    // often.
    BOOST_TEST_MESSAGE(
        "accepted " << sum.accepted << ", results " << sum.results
                    << ", reassigned " << sum.reassigned << ", repeated calls "
                    << sum.repeated_calls << ", unknown outcomes "
                    << sum.unknown_outcomes << ", expiries " << sum.expiries
                    << ", reads " << sum.reads);
    BOOST_TEST(sum.accepted > seeds);
    BOOST_TEST(sum.results > seeds);
    BOOST_TEST(sum.reassigned > seeds / 10);
    BOOST_TEST(sum.repeated_calls > seeds / 10);
    BOOST_TEST(sum.unknown_outcomes > seeds / 10);
    BOOST_TEST(sum.expiries > seeds / 10);
    BOOST_TEST(sum.reads > seeds);
}

BOOST_AUTO_TEST_SUITE_END()
