#include "batch/batch_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;
using common::execution;
using common::result_code;

namespace
{

struct fixture : batch_world
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

// Guards against a job that runs twice because its 202 was lost.
BOOST_AUTO_TEST_CASE(repeated_job_is_accepted_once)
{
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    const auto end = store.model.end("jobs", 0);
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    BOOST_TEST(store.model.end("jobs", 0) == end);
}

// Two entries may take the same job in at the same time; the log decides, and
// both say that it is accepted.
BOOST_AUTO_TEST_CASE(job_that_comes_at_two_entries_is_accepted_once)
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
    std::optional<batch::submission_verdict> verdict;
    const auto keep = [&](const batch::submission_verdict& it)
    {
        verdict = it;
    };
    for (const auto* hash : {"h1", "h2"})
    {
        verdict.reset();
        const auto it = one.submissions.open(terms, keep);
        it->add(one.make_item("a"));
        it->commit(hash);
        BOOST_REQUIRE(one.until([&] { return verdict.has_value(); }));
    }
    BOOST_REQUIRE(verdict->has_value());
    BOOST_TEST((**verdict).code == result_code::idempotency_conflict);
}

// Guards against more waiting work than the operator allows.
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

    // With a fresh view nothing is appended in vain.
    BOOST_TEST(store.model.end("jobs", 0) == end);
}

// Entries that don't know of each other's jobs yet share one limit.
BOOST_AUTO_TEST_CASE(limit_holds_between_entries)
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

BOOST_AUTO_TEST_CASE(job_is_refused_while_the_store_refuses)
{
    store.append_outcome = []
    {
        return call_outcome::refused;
    };
    const auto verdict = one.submit(one.make_terms("j"), {one.make_item("a")});
    BOOST_REQUIRE(one.until([&] { return verdict->has_value(); }));
    BOOST_REQUIRE((**verdict).has_value());
    BOOST_TEST((**verdict)->code == result_code::log_unavailable);
    BOOST_TEST(((**verdict)->ran == execution::not_run));
    BOOST_TEST(store.model.end("jobs", 0) == 0);
}

// Guards against a 503 for a job whose append was carried out.
BOOST_AUTO_TEST_CASE(lost_answer_of_the_store_does_not_lose_the_verdict)
{
    unsigned n = 0;
    store.append_outcome = [&n]
    {
        return n++ == 0 ? call_outcome::answer_lost : call_outcome::done;
    };
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    BOOST_TEST(one.job("j")->items.size() == 1);
}

// The outcome of the append is not known when the caller's time is over: "not
// run" would be a promise that a late write can break.
BOOST_AUTO_TEST_CASE(open_outcome_at_the_deadline_promises_nothing)
{
    store.append_outcome = []
    {
        return call_outcome::late;
    };
    auto terms = one.make_terms("j");
    terms.deadline = common::clock::now() + 350ms;
    const auto verdict = one.submit(terms, {one.make_item("a")});
    BOOST_REQUIRE(one.until([&] { return verdict->has_value(); }));
    BOOST_REQUIRE((**verdict).has_value());
    BOOST_TEST(((**verdict)->ran == execution::may_have_run));
    BOOST_TEST(common::info((**verdict)->code).http_status == 504);

    // The write comes late after all: the job is accepted, once.
    store.append_outcome = []
    {
        return call_outcome::done;
    };
    store.run_late();
    BOOST_TEST(one.until([&] { return one.job("j") != nullptr; }));
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
}

BOOST_AUTO_TEST_CASE(process_that_has_not_read_the_log_refuses)
{
    store.read_outcome = []
    {
        return call_outcome::refused;
    };
    batch_process late(*this, "m2");
    const auto verdict =
        late.submit(late.make_terms("j"), {late.make_item("a")});
    BOOST_REQUIRE(late.until([&] { return verdict->has_value(); }));
    BOOST_REQUIRE((**verdict).has_value());
    BOOST_TEST((**verdict)->code == result_code::log_unavailable);
}

// A large job takes several appends; its commit comes with the last one.
BOOST_AUTO_TEST_CASE(large_job_is_accepted_as_a_whole)
{
    std::vector<proto::JobItem> its;
    constexpr std::size_t body_bytes = 60000;
    for (int n = 0; n < 40; ++n)
    {
        its.push_back(one.make_item("i" + std::to_string(n)));
        its.back().set_body(std::string(body_bytes, 'x'));
    }
    BOOST_TEST(one.accept("j", its));
    BOOST_TEST(one.job("j")->items.size() == 40);
    BOOST_TEST(one.job("j")->parts.size() > 1);
    BOOST_TEST(store.appends > 1);
}

BOOST_AUTO_TEST_CASE(submission_of_a_caller_that_left_is_not_accepted)
{
    bool told = false;
    const auto it = one.submissions.open(
        one.make_terms("j"),
        [&told](const batch::submission_verdict&) { told = true; });
    it->add(one.make_item("a"));
    it->cancel();
    it->commit();
    run_ready(context);
    BOOST_TEST(!told);
    BOOST_TEST(store.model.end("jobs", 0) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
