#include "entry/crashing_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace tanagertrack;
using namespace tanagertrack::test;

namespace
{

/// Several entries and a team with a limit.
struct limited_fleet
{
    limited_fleet()
    {
        fleet::team team;
        team.name = "t";
        team.requests_per_second = 10;
        team.burst = 100;
        fleet::team other;
        other.name = "u";
        const auto configuration = std::make_shared<fleet::configuration>(
            1, std::vector<fleet::route>(), std::vector<fleet::service>(),
            fleet::request_limits(), std::vector{team, other});
        for (std::size_t n = 0; n < fleet.entry_count(); ++n)
            BOOST_REQUIRE(fleet.core(n).apply(configuration));
    }

    /// Asks an entry to admit a request of a team.
    std::optional<online::admission_refusal> ask(std::size_t entry,
                                                 const std::string& team)
    {
        online::call call;
        call.team = team;
        return fleet.core(entry).online().callers.admit(call);
    }

    crashing_fleet fleet{6, 1};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(team_limits, limited_fleet)

// Guards against entries that each admit what a team may send altogether: six
// of them would admit more than 600 requests.
BOOST_AUTO_TEST_CASE(entries_keep_to_the_limit_together)
{
    const auto began = common::clock::now();
    constexpr unsigned rounds = 150;
    unsigned admitted = 0;
    for (unsigned n = 0; n < rounds; ++n)
    {
        for (std::size_t entry = 0; entry < fleet.entry_count(); ++entry)
        {
            const auto refusal = ask(entry, "t");
            admitted += refusal ? 0 : 1;
            if (refusal)
            {
                BOOST_TEST(
                    (refusal->code == common::result_code::rate_limited));
                BOOST_TEST(refusal->retry_after.count() > 0);
            }
        }
        run_ready(fleet.context());
    }
    const std::chrono::duration<double> took = common::clock::now() - began;
    const double bound = (10 * std::max(5.0, took.count()) + 100) * 1.1 + 20;
    BOOST_TEST(admitted >= 10);
    BOOST_TEST(admitted <= bound);
}

BOOST_AUTO_TEST_CASE(teams_without_limit_and_calls_without_team_are_admitted)
{
    for (int n = 0; n < 1000; ++n)
    {
        BOOST_TEST(!ask(0, "u"));
        BOOST_TEST(!ask(0, ""));
    }
}

BOOST_AUTO_TEST_SUITE_END()
