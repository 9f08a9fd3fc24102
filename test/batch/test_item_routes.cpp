#include "batch/batch_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;

namespace
{

fleet::route make_call_route(const std::string& path_prefix)
{
    auto it = batch_process::make_route("call", path_prefix);
    it.kind = fleet::route_kind::call;
    it.services = {{"other", 1}};
    return it;
}

/// A process with a job that was accepted under the route "r" with the prefix
/// "/". The paths of its items begin with "/x/". The items wait for a target.
struct with_waiting_job : batch_cluster
{
    with_waiting_job()
    {
        server.make_answer = make_events(3);
        BOOST_REQUIRE(one.accept("j", {make_item("a"), make_item("b")}));
    }

    static proto::JobItem make_item(const std::string& id)
    {
        auto it = batch_process::make_item(id);
        it.set_path("/x/" + id + "/0");
        return it;
    }

    /// Returns true if all items are done once the service "s" has a target at
    /// the process that runs them.
    bool completes(batch_process& process)
    {
        process.add_target("t1", server);
        return process.until([&] { return process.finished("j"); }) &&
               std::ranges::all_of(process.read("j"), [](const auto& it)
                                   { return it.state == proto::ITEM_DONE; });
    }

    scripted_server& server = add_server();
    batch_process one{*this};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(batch_item_routes, with_waiting_job)

// Guards against items of an accepted job that are given up because a route of
// another kind was added whose longer prefix covers their paths.
BOOST_AUTO_TEST_CASE(items_run_after_a_call_route_covers_their_paths)
{
    one.configure(2, {batch_process::make_route(), make_call_route("/x/")});
    one.run_past_missing_route_timeout();
    BOOST_TEST(one.job("j")->results.empty());
    BOOST_TEST(completes(one));
}

// Guards against items of an accepted job that another service gets because a
// batch route was added whose longer prefix covers their paths.
BOOST_AUTO_TEST_CASE(items_run_at_their_service_after_a_batch_route_covers_them)
{
    auto added = batch_process::make_route("added", "/x/");
    added.services = {{"other", 1}};
    one.configure(2, {batch_process::make_route(), added});
    BOOST_TEST(completes(one));
}

// Guards against items that are given up although a batch route still covers
// them, because the route of their job was replaced by it and a route of
// another kind has a longer prefix.
BOOST_AUTO_TEST_CASE(items_run_under_a_replaced_route_that_a_call_route_covers)
{
    one.configure(2, {batch_process::make_route("replacement", "/"),
                      make_call_route("/x/")});
    one.run_past_missing_route_timeout();
    BOOST_TEST(one.job("j")->results.empty());
    BOOST_TEST(completes(one));
}

// Guards against items that the process which takes their job over looks up by
// their paths. It starts under a configuration whose routes cover the paths.
BOOST_AUTO_TEST_CASE(items_keep_the_route_of_their_job_after_a_takeover)
{
    batch_process two(*this, "m2");
    auto added = batch_process::make_route("added", "/x/a/");
    added.services = {{"other", 1}};
    two.configure(2,
                  {batch_process::make_route(), make_call_route("/x/"), added});
    BOOST_REQUIRE(two.until([&] { return two.job("j") != nullptr; }));
    proto::JobRecord record;
    record.mutable_taken()->set_job("j");
    record.mutable_taken()->set_from("m1");
    record.mutable_taken()->set_member("m2");
    append(record);
    BOOST_REQUIRE(two.until([&] { return two.runner.counts().pending == 2; }));
    two.run_past_missing_route_timeout();
    BOOST_TEST(two.job("j")->results.empty());
    BOOST_TEST(completes(two));
}

// Guards against an item that fails for good too early, or too late, because
// the number of failures is that of no route: the route that runs it has
// another name than the one of its job.
BOOST_AUTO_TEST_CASE(item_has_the_failure_limit_of_the_route_that_runs_it)
{
    const auto default_failures = one.settings.max_failures;
    auto replacement = batch_process::make_route("replacement");
    replacement.max_attempts = default_failures + 2;
    one.configure(2, {replacement});
    server.make_answer = [](const std::string& it)
    {
        return scripted_answer{
            whole_answer(500, "no", answers_to(field_of(it, "Id")))};
    };
    one.add_target("t1", server);
    BOOST_REQUIRE(one.until([&] { return one.finished("j"); }));
    BOOST_TEST(server.requests.size() == 2U * replacement.max_attempts);
}

// Guards against items that wait for ever because the time after which they may
// be given up is that of no route.
BOOST_AUTO_TEST_CASE(item_expires_as_the_route_that_runs_it_says)
{
    auto replacement = batch_process::make_route("replacement");
    replacement.expires_after = 300ms;
    one.configure(2, {replacement});
    one.environment.time_refused = [](const routing::prompt&)
    {
        return std::optional(10ms);
    };
    one.add_target("t1", server);
    BOOST_TEST(one.until([&] { return one.finished("j"); }));
    BOOST_TEST(server.requests.empty());
}

BOOST_AUTO_TEST_SUITE_END()
