#include "batch/batch_fixture.hpp"
#include "batch/retention.hpp"

#include <boost/test/unit_test.hpp>

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;
using common::result_code;
using kind = batch::call_permit::kind;

namespace
{

struct fixture : batch_world
{
    fixture()
    {
        two.until([this]
                  { return two.jobs.is_current() && one.jobs.is_current(); });
    }

    using permit_slot = std::shared_ptr<std::optional<batch::call_permit>>;

    permit_slot ask(batch_process& where, const std::string& attempt,
                    const std::string& hash = "h",
                    std::chrono::milliseconds patience = 10s)
    {
        auto slot = std::make_shared<std::optional<batch::call_permit>>();
        where.calls.ask("c", hash, attempt, common::clock::now() + patience,
                        [slot](const batch::call_permit& it)
                        {
                            BOOST_TEST(!slot->has_value());
                            *slot = it;
                        });
        return slot;
    }

    bool wait_for(const permit_slot& slot)
    {
        return run_until(context, [&slot] { return slot->has_value(); });
    }

    void report(batch_process& where, const std::string& body)
    {
        bool recorded = false;
        where.calls.report("c", {200, "text/plain", body},
                           [&](std::error_code ec) { recorded = !ec; });
        BOOST_REQUIRE(run_until(context, [&] { return recorded; }));
    }

    batch_process one{*this};
    batch_process two{*this, "m2"};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(batch_once_calls, fixture)

// Guards against two runs of a call that comes at two entries.
BOOST_AUTO_TEST_CASE(one_of_two_requests_runs_the_call)
{
    const auto first = ask(one, "r1");
    const auto second = ask(two, "r2");
    BOOST_REQUIRE(run_until(
        context, [&] { return first->has_value() || second->has_value(); }));
    run_for(context, 50ms);
    BOOST_TEST(first->has_value() != second->has_value());
    auto& runner = first->has_value() ? one : two;
    const auto& ran = first->has_value() ? first : second;
    const auto& other = first->has_value() ? second : first;
    BOOST_TEST(((*ran)->what == kind::run));

    // The other one gets the same answer.
    report(runner, "answer");
    BOOST_REQUIRE(wait_for(other));
    BOOST_TEST(((*other)->what == kind::answered));
    BOOST_TEST((*other)->answer.body == "answer");
}

BOOST_AUTO_TEST_CASE(repeated_call_gets_the_recorded_answer)
{
    const auto first = ask(one, "r1");
    BOOST_REQUIRE(wait_for(first));
    report(one, "answer");
    const auto second = ask(two, "r2");
    BOOST_REQUIRE(wait_for(second));
    BOOST_TEST(((*second)->what == kind::answered));
    BOOST_TEST((*second)->answer.status == 200);
    BOOST_TEST((*second)->answer.body == "answer");
}

BOOST_AUTO_TEST_CASE(key_with_other_content_is_a_conflict)
{
    BOOST_REQUIRE(wait_for(ask(one, "r1")));
    const auto second = ask(two, "r2", "other");
    BOOST_REQUIRE(wait_for(second));
    BOOST_TEST(((*second)->what == kind::conflict));
}

BOOST_AUTO_TEST_CASE(call_that_did_not_run_may_run_again)
{
    BOOST_REQUIRE(wait_for(ask(one, "r1")));
    const auto second = ask(two, "r2");
    run_for(context, 30ms);
    BOOST_TEST(!second->has_value());
    one.calls.report_not_run("c", "r1");
    BOOST_REQUIRE(wait_for(second));
    BOOST_TEST(((*second)->what == kind::run));
}

// The process that ran the call may be gone: whether it ran stays unknown.
BOOST_AUTO_TEST_CASE(wait_for_another_runs_outcome_ends_with_the_deadline)
{
    BOOST_REQUIRE(wait_for(ask(one, "r1")));
    const auto second = ask(two, "r2", "h", 50ms);
    BOOST_REQUIRE(wait_for(second));
    BOOST_TEST(((*second)->what == kind::answered));
    BOOST_TEST((*second)->answer.status == 0);
}

BOOST_AUTO_TEST_CASE(call_is_refused_while_the_store_refuses)
{
    store.append_outcome = []
    {
        return call_outcome::refused;
    };
    const auto it = ask(one, "r1");
    BOOST_REQUIRE(wait_for(it));
    BOOST_TEST(((*it)->what == kind::refused));
    BOOST_TEST(((*it)->ec == result_code::log_unavailable));
}

// A request that was told "refused" must not hold the key for ever when its
// intent is carried out late.
BOOST_AUTO_TEST_CASE(late_intent_of_a_refused_request_is_taken_back)
{
    store.append_outcome = []
    {
        return call_outcome::late;
    };
    const auto it = ask(one, "r1", "h", 60ms);
    BOOST_REQUIRE(wait_for(it));
    BOOST_TEST(((*it)->what == kind::refused));
    BOOST_TEST(((*it)->ec == result_code::log_append_unknown));
    store.append_outcome = []
    {
        return call_outcome::done;
    };
    store.run_late();
    const auto second = ask(two, "r2");
    BOOST_REQUIRE(wait_for(second));
    BOOST_TEST(((*second)->what == kind::run));
}

BOOST_AUTO_TEST_CASE(finished_jobs_and_old_keys_are_forgotten)
{
    auto& server = add_server();
    server.make_answer = make_events(1);
    one.add_target("t1", server);
    BOOST_REQUIRE(wait_for(ask(one, "r1")));
    BOOST_TEST(one.accept("done", {one.make_item("a")}));
    BOOST_REQUIRE(one.until([&] { return one.finished("done"); }));
    server.make_answer = nullptr;
    BOOST_TEST(one.accept("open", {one.make_item("b")}));

    batch::retention_settings settings;
    settings.jobs = 1ms;
    settings.calls = 1ms;
    settings.margin = 1ms;
    settings.interval = 5ms;
    batch::retention look(context, one.jobs, settings);
    look.start();
    BOOST_TEST(one.until([&] { return one.job("done") == nullptr; }));
    BOOST_TEST(
        one.until([&] { return one.jobs.table().find_call("c") == nullptr; }));

    // Guards against open items that are lost with their job's time.
    BOOST_TEST(one.job("open") != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
