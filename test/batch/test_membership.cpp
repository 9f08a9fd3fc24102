#include "batch/batch_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;

namespace
{

/// A process that takes part in the group.
struct member : batch_process
{
    member(batch_world& shared, const std::string& name,
           const std::string& host)
        : batch_process(shared, name),
          members(shared.context, shared.store.service(), jobs,
                  make_settings(host), make_hooks())
    {
        members.start();
    }

    ~member()
    {
        members.stop();
        run_ready(world.context);
    }

    static batch::membership_settings make_settings(const std::string& host)
    {
        batch::membership_settings settings;
        settings.host = host;
        settings.address = {"127.0.0.1", 1};
        settings.partitions = 12;
        settings.session_timeout = 200ms;
        settings.join_interval = 40ms;
        settings.absence_timeout = 260ms;
        settings.contact_lead = 150ms;
        settings.list_gap = 150ms;
        return settings;
    }

    batch::membership_hooks make_hooks()
    {
        batch::membership_hooks hooks;
        hooks.store_contact = [this](const std::string& it)
        {
            const auto found = contacts.find(it);
            return found == contacts.end() ? std::nullopt
                                           : std::optional(found->second);
        };
        hooks.last_store_contact = [this]
        {
            return others_contact;
        };
        hooks.set_paused = [this](bool value)
        {
            paused = value;
        };
        return hooks;
    }

    std::map<std::string, common::time_point> contacts;
    std::optional<common::time_point> others_contact;
    bool paused = false;
    batch::membership members;
};

struct fixture : batch_world
{
    fixture()
    {
        standin::store_limits limits;
        limits.min_session = 20ms;
        store.model = standin::store_model(limits);
    }

    /// Makes a job whose runner is `runner`.
    void add_job(const std::string& job, const std::string& runner)
    {
        proto::JobRecord part;
        part.mutable_part()->set_job(job);
        part.mutable_part()->set_intake("n");
        *part.mutable_part()->add_items() = batch_process::make_item("i" + job);
        append(part);
        proto::JobRecord commit;
        auto& it = *commit.mutable_commit();
        it.set_job(job);
        it.set_intake("n");
        it.set_route("r");
        it.set_host("h");
        it.set_member(runner);
        it.set_item_count(1);
        append(commit);
    }

    void add_member(const std::string& name, const std::string& host)
    {
        proto::JobRecord record;
        record.mutable_member_started()->set_member(name);
        record.mutable_member_started()->set_host(host);
        append(record);
    }

    std::vector<standin::model_share> leader_share;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(batch_membership, fixture)

BOOST_AUTO_TEST_CASE(one_member_leads)
{
    member one(*this, "m1", "h1");
    member two(*this, "m2", "h2");
    BOOST_TEST(run_until(
        context,
        [&] { return one.members.is_leader() != two.members.is_leader(); }));
}

// Guards against jobs that nobody runs after their process was killed.
BOOST_AUTO_TEST_CASE(jobs_of_a_dead_process_are_given_to_a_live_one)
{
    add_member("dead", "h0");
    add_job("j", "dead");
    member one(*this, "m1", "h1");
    BOOST_TEST(run_until(
        context, [&] { return one.job("j") && one.job("j")->runner == "m1"; }));
}

BOOST_AUTO_TEST_CASE(process_takes_over_from_its_predecessor_at_once)
{
    add_member("m0", "h1");
    add_job("j", "m0");
    store.model.join("entries", "leader", {"jobs"}, 10s, common::clock::now(),
                     leader_share);
    member one(*this, "m1", "h1");
    BOOST_TEST(run_until(
        context, [&] { return one.job("j") && one.job("j")->runner == "m1"; }));
    BOOST_TEST(!one.members.is_leader());
}

BOOST_AUTO_TEST_CASE(jobs_of_a_stopped_process_are_given_away)
{
    member one(*this, "m1", "h1");
    auto two = std::make_unique<member>(*this, "m2", "h2");
    BOOST_REQUIRE(run_until(context,
                            [&]
                            {
                                return one.jobs.table().find_member("m2") &&
                                       two->members.is_leader() !=
                                           one.members.is_leader();
                            }));
    add_job("j", "m2");
    two->members.stop();
    BOOST_TEST(run_until(
        context, [&] { return one.job("j") && one.job("j")->runner == "m1"; }));
}

// The store may drop a member by itself, or hand all partitions out anew.
// Guards against jobs that change hands, and start again, for that alone.
BOOST_AUTO_TEST_CASE(member_that_the_store_dropped_keeps_its_jobs)
{
    member one(*this, "m1", "h1");
    member two(*this, "m2", "h2");
    BOOST_REQUIRE(
        run_until(context, [&]
                  { return one.jobs.table().find_member("m2") != nullptr; }));
    add_job("j", "m2");
    for (int n = 0; n < 60; ++n)
    {
        one.contacts["m2"] = common::clock::now();
        store.model.revoke("m2");
        store.model.rebalance();
        run_for(context, 10ms);
    }
    BOOST_TEST(one.members.is_leader());
    BOOST_TEST(one.job("j")->runner == "m2");

    // Once it is not heard any more either, its jobs are given away.
    BOOST_TEST(
        run_until(context, [&] { return one.job("j")->runner == "m1"; }));
}

// While nobody reaches the store, nobody can take a job over: work goes on.
BOOST_AUTO_TEST_CASE(outage_of_the_store_pauses_nobody)
{
    member one(*this, "m1", "h1");
    BOOST_REQUIRE(run_until(context, [&] { return one.members.is_leader(); }));
    store.read_fate = []
    {
        return call_fate::refused;
    };
    one.others_contact = store.last_contact;
    run_for(context, 500ms);
    BOOST_TEST(!one.paused);
    BOOST_TEST(!one.members.is_leader());
    store.read_fate = []
    {
        return call_fate::done;
    };
    BOOST_TEST(run_until(context, [&] { return one.members.is_leader(); }));
}

// Cut off from a store that others reach, a process can't record what it runs
// and its jobs are given away: its runs would be in vain.
BOOST_AUTO_TEST_CASE(process_that_alone_is_cut_off_pauses)
{
    member one(*this, "m1", "h1");
    BOOST_REQUIRE(run_until(context, [&] { return one.members.is_leader(); }));
    store.read_fate = []
    {
        return call_fate::refused;
    };
    BOOST_TEST(run_until(context,
                         [&]
                         {
                             one.others_contact = common::clock::now();
                             return one.paused;
                         }));
    store.read_fate = []
    {
        return call_fate::done;
    };
    BOOST_TEST(run_until(context, [&] { return !one.paused; }));
}

// Guards against a list of members that is empty because none of them reached
// the store, and is taken for their absence.
BOOST_AUTO_TEST_CASE(members_get_time_to_come_back_after_an_outage)
{
    member one(*this, "m1", "h1");
    BOOST_REQUIRE(run_until(context, [&] { return one.members.is_leader(); }));
    add_member("m2", "h2");
    std::vector<standin::model_share> share;
    const auto renew = [&]
    {
        store.model.join("entries", "m2", {"jobs", "texts"}, 200ms,
                         common::clock::now(), share);
    };
    renew();
    add_job("j", "m2");
    for (int n = 0; n < 10; ++n)
    {
        run_for(context, 10ms);
        renew();
    }
    BOOST_REQUIRE(one.members.is_leader());
    store.read_fate = []
    {
        return call_fate::refused;
    };
    run_for(context, 700ms);
    store.read_fate = []
    {
        return call_fate::done;
    };
    run_for(context, 100ms);
    for (int n = 0; n < 10; ++n)
    {
        renew();
        run_for(context, 10ms);
    }
    BOOST_TEST(one.job("j")->runner == "m2");
}

// An append of an earlier process of this host may be carried out late and
// declare this one gone.
BOOST_AUTO_TEST_CASE(process_that_is_declared_gone_announces_itself_again)
{
    member one(*this, "m1", "h1");
    BOOST_REQUIRE(
        run_until(context, [&]
                  { return one.jobs.table().find_member("m1") != nullptr; }));
    add_member("m0", "h1");
    BOOST_TEST(run_until(context,
                         [&]
                         {
                             const auto* old =
                                 one.jobs.table().find_member("m0");
                             return old != nullptr && old->gone &&
                                    !one.jobs.table().find_member("m1")->gone;
                         }));
}

BOOST_AUTO_TEST_SUITE_END()
