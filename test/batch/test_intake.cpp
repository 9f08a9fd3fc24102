#include "batch/batch_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;
using common::execution;
using common::result_code;

namespace
{

struct fixture : batch_cluster
{
    fixture()
    {
        one.until([this] { return one.jobs.is_current(); });
    }

    batch_process one{*this};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(batch_intake, fixture)

BOOST_AUTO_TEST_CASE(accepted_job_is_in_the_log)
{
    BOOST_TEST(one.accept("j", {one.make_item("a"), one.make_item("b")}));
    BOOST_REQUIRE(one.job("j") != nullptr);
    BOOST_TEST(one.job("j")->items.size() == 2);
    BOOST_TEST(one.job("j")->runner == "m1");
}

// Guards against a job that runs twice because the caller sends it again after
// its 202 response was lost.
BOOST_AUTO_TEST_CASE(resent_job_is_accepted_once)
{
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    const auto end = store.model.end("jobs", 0);
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    BOOST_TEST(store.model.end("jobs", 0) == end);
}

// Guards against a job that runs twice because it is submitted to two entries
// at the same time. The first commit in the log takes effect, and both entries
// report the job as accepted.
BOOST_AUTO_TEST_CASE(job_submitted_to_two_entries_is_accepted_once)
{
    batch_process two(*this, "m2");
    two.until([&] { return two.jobs.is_current(); });
    const auto first = one.submit(one.make_terms("j"), {one.make_item("a")});
    const auto second = two.submit(two.make_terms("j"), {two.make_item("a")});
    BOOST_REQUIRE(one.until([&] { return *first && *second; }));
    BOOST_TEST(!(**first).has_value());
    BOOST_TEST(!(**second).has_value());
    BOOST_TEST(one.job("j")->items.size() == 1);
    BOOST_TEST(one.job("j")->runner == two.job("j")->runner);
}

BOOST_AUTO_TEST_CASE(resend_with_other_content_is_a_conflict)
{
    auto terms = one.make_terms("j");
    terms.compares_content = true;
    std::optional<batch::submission_result> result;
    const auto store_result = [&](const batch::submission_result& it)
    {
        result = it;
    };
    for (const auto* hash : {"h1", "h2"})
    {
        result.reset();
        const auto it = one.intake.open(terms, store_result);
        it->add(one.make_item("a"));
        it->commit(hash);
        BOOST_REQUIRE(one.until([&] { return result.has_value(); }));
    }
    BOOST_REQUIRE(result->has_value());
    BOOST_TEST((**result).code == result_code::idempotency_conflict);
}

// Guards against more waiting tokens than the operator allows.
BOOST_AUTO_TEST_CASE(job_over_the_limit_is_refused_as_not_run)
{
    auto terms = one.make_terms("j");
    terms.max_waiting_tokens = 25;
    const auto first = one.submit(terms, {one.make_item("a")});
    BOOST_REQUIRE(one.until([&] { return first->has_value(); }));
    BOOST_TEST(!(**first).has_value());

    terms.job = "k";
    const auto end = store.model.end("jobs", 0);
    const auto second =
        one.submit(terms, {one.make_item("a"), one.make_item("b")});
    BOOST_REQUIRE(one.until([&] { return second->has_value(); }));
    BOOST_REQUIRE((**second).has_value());
    BOOST_TEST((**second)->code == result_code::jobs_full);
    BOOST_TEST(((**second)->ran == execution::not_run));
    BOOST_TEST((**second)->retry_after.count() > 0);

    // The process knows the state of the log, so that nothing is appended for a
    // job that would be refused.
    BOOST_TEST(store.model.end("jobs", 0) == end);
}

// Guards against two jobs that exceed the limit together, because they are
// submitted to entries that have not read each other's records yet.
BOOST_AUTO_TEST_CASE(limit_on_waiting_tokens_holds_across_entries)
{
    batch_process two(*this, "m2");
    two.until([&] { return two.jobs.is_current(); });
    auto terms = one.make_terms("j");
    terms.max_waiting_tokens = 15;
    const auto first = one.submit(terms, {one.make_item("a")});
    terms.job = "k";
    const auto second = two.submit(terms, {two.make_item("b")});
    BOOST_REQUIRE(one.until([&] { return *first && *second; }));
    const bool one_refused = (**first).has_value();
    const bool two_refused = (**second).has_value();
    BOOST_TEST(one_refused != two_refused);
}

// Guards against a job that is refused as not run although another entry has
// accepted it. The view of this entry, in which the route has no room for it,
// is older than the acceptance.
BOOST_AUTO_TEST_CASE(repeated_job_is_accepted_by_an_entry_that_saw_a_full_route)
{
    auto terms = one.make_terms("j");
    terms.max_waiting_tokens = 15;
    const auto first = one.submit(terms, {one.make_item("a")});
    BOOST_REQUIRE(one.until([&] { return first->has_value(); }));
    batch_process two(*this, "m2", held_follower_settings());
    BOOST_REQUIRE(two.until([&] { return two.job("j") != nullptr; }));

    bool cancelled = false;
    one.results.cancel("j", [&](std::error_code ec) { cancelled = !ec; });
    BOOST_REQUIRE(one.until([&] { return cancelled; }));
    terms.job = "k";
    const auto accepted = one.submit(terms, {one.make_item("b")});
    BOOST_REQUIRE(one.until([&] { return accepted->has_value(); }));
    BOOST_REQUIRE(!(**accepted).has_value());

    const auto repeated = two.submit(terms, {two.make_item("b")});
    BOOST_REQUIRE(two.until([&] { return repeated->has_value(); }));
    BOOST_TEST(!(**repeated).has_value());
}

BOOST_AUTO_TEST_CASE(job_is_refused_while_the_store_refuses)
{
    store.append_outcome = []
    {
        return call_outcome::refused;
    };
    const auto result = one.submit(one.make_terms("j"), {one.make_item("a")});
    BOOST_REQUIRE(one.until([&] { return result->has_value(); }));
    BOOST_REQUIRE((**result).has_value());
    BOOST_TEST((**result)->code == result_code::log_unavailable);
    BOOST_TEST(((**result)->ran == execution::not_run));
    BOOST_TEST(store.model.end("jobs", 0) == 0);
}

// Guards against a 503 response for a job whose append was carried out.
BOOST_AUTO_TEST_CASE(job_is_accepted_when_the_answer_to_its_append_is_lost)
{
    unsigned n = 0;
    store.append_outcome = [&n]
    {
        return n++ == 0 ? call_outcome::answer_lost : call_outcome::done;
    };
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    BOOST_TEST(one.job("j")->items.size() == 1);
}

// Guards against a job that is reported as not run and runs all the same. The
// outcome of its append is unknown at the caller's deadline, and the append may
// still be carried out.
BOOST_AUTO_TEST_CASE(
    unknown_append_outcome_at_the_deadline_is_reported_as_may_have_run)
{
    store.append_outcome = []
    {
        return call_outcome::late;
    };
    auto terms = one.make_terms("j");
    terms.deadline = common::clock::now() + 350ms;
    const auto result = one.submit(terms, {one.make_item("a")});
    BOOST_REQUIRE(one.until([&] { return result->has_value(); }));
    BOOST_REQUIRE((**result).has_value());
    BOOST_TEST(((**result)->ran == execution::may_have_run));
    BOOST_TEST(common::info((**result)->code).http_status == 504);

    // The append is carried out late: the job is accepted, once.
    store.append_outcome = []
    {
        return call_outcome::done;
    };
    store.run_late();
    BOOST_TEST(one.until([&] { return one.job("j") != nullptr; }));
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
}

BOOST_AUTO_TEST_CASE(process_that_has_not_read_the_log_refuses_jobs)
{
    store.read_outcome = []
    {
        return call_outcome::refused;
    };
    batch_process late(*this, "m2");
    const auto result =
        late.submit(late.make_terms("j"), {late.make_item("a")});
    BOOST_REQUIRE(late.until([&] { return result->has_value(); }));
    BOOST_REQUIRE((**result).has_value());
    BOOST_TEST((**result)->code == result_code::log_unavailable);
}

// Guards against a job that is accepted in part. A large job takes several
// appends; its commit is in the last one.
BOOST_AUTO_TEST_CASE(job_larger_than_one_append_is_accepted_as_a_whole)
{
    std::vector<proto::JobItem> items;
    constexpr std::size_t body_bytes = 60000;
    for (int n = 0; n < 40; ++n)
    {
        items.push_back(one.make_item("i" + std::to_string(n)));
        items.back().set_body(std::string(body_bytes, 'x'));
    }
    BOOST_TEST(one.accept("j", items));
    BOOST_TEST(one.job("j")->items.size() == 40);
    BOOST_TEST(one.job("j")->parts.size() > 1);
    BOOST_TEST(store.appends > 1);
}

BOOST_AUTO_TEST_CASE(cancelled_submission_is_not_accepted)
{
    bool handler_ran = false;
    const auto it = one.intake.open(
        one.make_terms("j"), [&handler_ran](const batch::submission_result&)
        { handler_ran = true; });
    it->add(one.make_item("a"));
    it->cancel();
    it->commit();
    run_ready(context);
    BOOST_TEST(!handler_ran);
    BOOST_TEST(store.model.end("jobs", 0) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
