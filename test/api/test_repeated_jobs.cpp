#include "api/api_process.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;

namespace
{

/// Two entries, of which the second one reads the log of jobs only when a call
/// needs its end.
struct fixture
{
    fixture()
    {
        one.apply_ticket(1, "models: [{name: m}]\n"
                            "teams: [{name: t, key: team-key, "
                            "requests_per_second: 500, burst: 500, "
                            "max_jobs: 100}]\n");
        BOOST_REQUIRE(run_until(context,
                                [this]
                                {
                                    return one.has_version(1) &&
                                           two.has_version(1) &&
                                           one.core->jobs().is_current() &&
                                           two.core->jobs().is_current();
                                }));
    }

    ~fixture()
    {
        one.edge.close();
        two.edge.close();
        run_ready(context);
    }

    boost::asio::io_context context;
    fake_store store{context};
    api_process one{context, store, "e1", 0ms};
    api_process two{context, store, "e2", 1h};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(repeated_jobs, fixture)

// Guards against the refusal of a job that another entry has accepted, because
// its model was removed since and this entry has not read the acceptance yet.
BOOST_AUTO_TEST_CASE(job_unread_by_the_entry_is_accepted_without_its_model)
{
    const auto accepted = one.submit("key");
    BOOST_REQUIRE(accepted.starts_with("HTTP/1.1 200 "));
    one.apply_ticket(2, "remove: [models/m]\n");
    BOOST_REQUIRE(run_until(context, [&] { return two.has_version(2); }));
    BOOST_REQUIRE(two.core->jobs().table().size() == 0);
    const auto repeated = two.submit("key");
    BOOST_REQUIRE_MESSAGE(repeated.starts_with("HTTP/1.1 200 "), repeated);
    const auto id_of = [](const std::string& answer)
    {
        return answer.substr(answer.find("batch-"), 40);
    };
    BOOST_TEST(id_of(repeated) == id_of(accepted));
    BOOST_TEST(two.submit("other").starts_with("HTTP/1.1 404 "));
}

BOOST_AUTO_TEST_SUITE_END()
