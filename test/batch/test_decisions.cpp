#include "batch/attempt_decision.hpp"
#include "batch/item_route.hpp"
#include "batch/peer_reservation.hpp"
#include "batch/preemption.hpp"
#include "batch/run_time_estimate.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

using namespace tanagertrack;
using outcome = targets::attempt_end::outcome;
using batch::failure_kind;
using namespace std::chrono_literals;

namespace
{

targets::attempt_end make_end(outcome result, unsigned status)
{
    targets::attempt_end end;
    end.result = result;
    end.status = status;
    end.is_signed = result == outcome::complete;
    return end;
}

} // namespace

BOOST_AUTO_TEST_SUITE(batch_decisions)

// Guards against an item that fails for good because of faults of its target,
// and against one that is retried forever.
BOOST_AUTO_TEST_CASE(
    item_is_dead_after_counted_or_permanent_failures_but_not_transient_ones)
{
    batch::item_run item;
    const auto decide = [&](unsigned status, failure_kind failure)
    {
        return batch::decide_after_attempt(
            item, make_end(outcome::complete, status), failure, 2);
    };
    BOOST_TEST(!decide(503, failure_kind::transient).end.has_value());
    BOOST_TEST(item.failures == 0);
    BOOST_TEST(!decide(500, failure_kind::counted).end.has_value());
    BOOST_TEST((decide(500, failure_kind::counted).end == proto::ITEM_DEAD));
    BOOST_TEST((decide(422, failure_kind::permanent).end == proto::ITEM_DEAD));
    BOOST_TEST((decide(200, failure_kind::transient).end == proto::ITEM_DONE));
}

// Guards against an item that fails for good on the word of bytes that its
// target may not have sent, and against a second run of one that must run at
// most once.
BOOST_AUTO_TEST_CASE(unsigned_failure_does_not_end_an_item)
{
    for (const auto failure : {failure_kind::permanent, failure_kind::counted})
    {
        batch::item_run item;
        auto end = make_end(outcome::complete, 422);
        end.is_signed = false;
        const auto decide = [&]
        {
            return batch::decide_after_attempt(item, end, failure, 1);
        };
        BOOST_TEST(!decide().end.has_value());
        BOOST_TEST(item.failures == 0);
        item.data.set_not_repeatable(true);
        BOOST_TEST((decide().end == proto::ITEM_UNKNOWN));
    }
}

// Guards against an item that is given up because one target sends more than it
// should, and against one with a long text that is repeated for ever.
BOOST_AUTO_TEST_CASE(large_text_ends_an_item_when_its_route_permits_it)
{
    batch::item_run item;
    const auto decide =
        [&](std::string_view target, std::optional<bool> expired)
    {
        return batch::decide_after_large_text(item, {target, 3, 2, expired});
    };
    BOOST_TEST(!decide("a", false).end.has_value());
    BOOST_TEST(!decide("b", false).end.has_value());
    BOOST_TEST(!decide("c", false).end.has_value());
    BOOST_TEST(decide("c", false).restarts);
    BOOST_TEST((decide("c", true).end == proto::ITEM_DEAD));
}

BOOST_AUTO_TEST_CASE(large_texts_of_different_targets_end_an_item)
{
    const auto decide =
        [](batch::item_run& item, std::string_view target, std::size_t targets)
    {
        return batch::decide_after_large_text(item, {target, targets, 2, {}})
            .end;
    };
    batch::item_run item;
    BOOST_TEST(!decide(item, "a", 3).has_value());
    BOOST_TEST(!decide(item, "a", 3).has_value());
    BOOST_TEST(!decide(item, "a", 3).has_value());
    BOOST_TEST((decide(item, "b", 3) == proto::ITEM_DEAD));

    // No other target can confirm what the only one of a service says.
    batch::item_run only_one;
    BOOST_TEST(!decide(only_one, "a", 1).has_value());
    BOOST_TEST((decide(only_one, "a", 1) == proto::ITEM_DEAD));

    batch::item_run once;
    once.data.set_not_repeatable(true);
    BOOST_TEST((decide(once, "a", 3) == proto::ITEM_UNKNOWN));
}

// Guards against a second run of an item that must run at most once.
BOOST_AUTO_TEST_CASE(non_repeatable_item_that_may_have_run_ends_as_unknown)
{
    batch::item_run item;
    item.data.set_not_repeatable(true);
    const auto decide = [&](outcome result)
    {
        return batch::decide_after_attempt(item, make_end(result, 0),
                                           failure_kind::transient, 3);
    };
    BOOST_TEST((decide(outcome::failed).end == proto::ITEM_UNKNOWN));
    BOOST_TEST(!decide(outcome::not_run).end.has_value());
}

// Guards against an item that resumes forever after an event from which no
// target can continue, and against retries without a pause.
BOOST_AUTO_TEST_CASE(failed_attempts_pause_longer_each_time_and_restart_once)
{
    batch::item_run item;
    unsigned restarts = 0;
    std::chrono::milliseconds last_pause{0};
    for (int n = 0; n < 10; ++n)
    {
        const auto decision = batch::decide_after_attempt(
            item, make_end(outcome::failed, 0), failure_kind::transient, 3);
        BOOST_TEST(!decision.end.has_value());
        BOOST_TEST((decision.pause > last_pause));
        last_pause = decision.pause;
        restarts += decision.restarts ? 1 : 0;
    }
    BOOST_TEST(restarts == 1);
}

// Guards against an item that loses the events it has received because targets
// refuse it, as they do while announcements lag behind replaced targets.
BOOST_AUTO_TEST_CASE(refused_attempts_pause_longer_each_time_and_never_restart)
{
    batch::item_run item;
    std::chrono::milliseconds last_pause{0};
    for (int n = 0; n < 10; ++n)
    {
        const auto decision = batch::decide_after_attempt(
            item, make_end(outcome::not_run, 0), failure_kind::transient, 3);
        BOOST_TEST(!decision.end.has_value());
        BOOST_TEST(!decision.restarts);
        BOOST_TEST((decision.pause > last_pause));
        last_pause = decision.pause;
    }
}

// Guards against free slots that stay unused because they are reserved for an
// entry that can't use them, such as one that is cut off or frozen.
BOOST_AUTO_TEST_CASE(slots_reserved_for_peers_decrease_while_they_stay_free)
{
    const auto start = common::time_point(1h);
    const auto grant_time = batch::peer_reservation::grant_time;
    batch::peer_reservation reservation;
    BOOST_TEST(reservation.reserved_for_peers(3, 2, start) == 2);
    BOOST_TEST(reservation.reserved_for_peers(3, 2, start + grant_time / 2) ==
               2);
    BOOST_TEST(reservation.reserved_for_peers(3, 2, start + grant_time) == 1);
    BOOST_TEST(reservation.reserved_for_peers(3, 2, start + 5 * grant_time) ==
               0);

    // The number of free slots drops: the peers are starting items, and the
    // full reservation holds again.
    BOOST_TEST(reservation.reserved_for_peers(2, 2, start + 5 * grant_time) ==
               2);
    BOOST_TEST(reservation.reserved_for_peers(0, 2, start + 6 * grant_time) ==
               2);
    BOOST_TEST(reservation.reserved_for_peers(1, 2, start + 9 * grant_time) ==
               2);
}

BOOST_AUTO_TEST_CASE(run_time_estimate_follows_completed_items)
{
    batch::run_time_estimate estimate;
    BOOST_TEST((estimate.time_left(0s) == 0s));
    estimate.record_completion(4s, 6s);
    BOOST_TEST((estimate.time_left(1s) == 3s));
    BOOST_TEST((estimate.time_left(9s) == 0s));
    BOOST_TEST((estimate.turnaround() == 6s));
    for (int n = 0; n < 100; ++n)
        estimate.record_completion(2s, 2s);
    BOOST_TEST((estimate.time_left(0s) < 2100ms));
    BOOST_TEST((estimate.turnaround() < 2100ms));
}

// Guards against entries that all preempt an item for the same online request,
// and against entries that all leave it to the others.
BOOST_AUTO_TEST_CASE(items_to_preempt_exclude_those_preempted_by_peers)
{
    routing::target_load load;
    load.slots = 4;
    load.own_online = 1;
    load.own_batch = 3;
    BOOST_TEST(batch::count_items_to_preempt(load, 0) == 0);
    load.peer_online = 2;
    BOOST_TEST(batch::count_items_to_preempt(load, 0) == 2);
    BOOST_TEST(batch::count_items_to_preempt(load, 1) == 1);
    BOOST_TEST(batch::count_items_to_preempt(load, 5) == 0);
    load.own_batch = 1;
    load.peer_online = 9;
    BOOST_TEST(batch::count_items_to_preempt(load, 0) == 1);
}

// Guards against an item that goes to a different service at each attempt, and
// against shares that don't follow the weights. The choice depends only on the
// configuration, the host, the path and the item's number.
BOOST_AUTO_TEST_CASE(services_get_items_in_proportion_to_their_weights)
{
    fleet::route route;
    route.name = "r";
    route.host = "h";
    route.path_prefix = "/";
    route.kind = fleet::route_kind::batch;
    route.services = {{"a", 3}, {"b", 1}};
    const fleet::configuration configuration(1, std::vector{route}, {},
                                             fleet::request_limits());
    batch::job_run job;
    job.host = "h";
    batch::item_run item;
    item.data.set_path("/x");
    std::map<std::string, unsigned> counts;
    for (item.index = 0; item.index < 40; ++item.index)
    {
        const auto it = batch::find_item_route(&configuration, job, item);
        BOOST_TEST((it.status == batch::route_status::found));
        ++counts[it.service];
    }
    BOOST_TEST(counts["a"] == 30);
    BOOST_TEST(counts["b"] == 10);
}

// Guards against items that are given up, or that another service gets, because
// a route was added whose prefix covers their paths, or because their paths are
// not under the prefix of their job's route.
BOOST_AUTO_TEST_CASE(item_keeps_the_route_of_its_job)
{
    const auto make_route = [](const std::string& name,
                               const std::string& path_prefix,
                               fleet::route_kind kind)
    {
        fleet::route it;
        it.name = name;
        it.host = "h";
        it.path_prefix = path_prefix;
        it.kind = kind;
        it.services = {{"service of " + name, 1}};
        return it;
    };
    const fleet::configuration configuration(
        1,
        {make_route("job", "/jobs/", fleet::route_kind::batch),
         make_route("call", "/jobs/a/", fleet::route_kind::call),
         make_route("split", "/jobs/b/", fleet::route_kind::batch)},
        {}, fleet::request_limits());
    std::string job_route = "job";
    const auto find_service =
        [&](const std::string& path, const std::string& host)
    {
        batch::job_run job;
        job.route = job_route;
        job.host = host;
        batch::item_run item;
        item.data.set_path(path);
        return batch::find_item_route(&configuration, job, item).service;
    };
    BOOST_TEST(find_service("/jobs/x", "h") == "service of job");
    BOOST_TEST(find_service("/jobs/a/x", "h") == "service of job");
    BOOST_TEST(find_service("/other/x", "h") == "service of job");
    BOOST_TEST(find_service("/jobs/b/x", "h") == "service of job");
    BOOST_TEST(find_service("/jobs/x", "other").empty());

    // The route of the job was replaced by others.
    job_route = "replaced";
    BOOST_TEST(find_service("/jobs/x", "h") == "service of job");
    BOOST_TEST(find_service("/jobs/b/x", "h") == "service of split");
    BOOST_TEST(find_service("/other/x", "h").empty());
}

// Guards against a route that is taken for a removed one because the
// configuration is missing, or older than the job.
BOOST_AUTO_TEST_CASE(route_is_removed_only_if_the_configuration_is_new_enough)
{
    const fleet::configuration configuration(5, {}, {},
                                             fleet::request_limits());
    batch::job_run job;
    job.host = "h";
    batch::item_run item;
    item.data.set_path("/x");
    const auto find_status =
        [&](const fleet::configuration* it, std::uint64_t submitted_version)
    {
        job.configuration_version = submitted_version;
        return batch::find_item_route(it, job, item).status;
    };
    BOOST_TEST((find_status(nullptr, 0) == batch::route_status::unknown));
    BOOST_TEST(
        (find_status(&configuration, 6) == batch::route_status::unknown));
    BOOST_TEST(
        (find_status(&configuration, 5) == batch::route_status::removed));
    item.data.set_service("s");
    BOOST_TEST((find_status(nullptr, 6) == batch::route_status::found));
}

BOOST_AUTO_TEST_SUITE_END()
