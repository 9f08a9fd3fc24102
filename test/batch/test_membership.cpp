#include "batch/batch_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;

namespace
{

/// A process that takes part in the store's group of members, with short times.
struct member : batch_process
{
    member(batch_cluster& shared, const std::string& name,
           const std::string& host)
        : batch_process(shared, name),
          membership(shared.context, shared.store.service(), jobs,
                     make_settings(host), make_hooks())
    {
        membership.start();
    }

    ~member()
    {
        membership.stop();
        run_ready(cluster.context);
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
        hooks.store_contact = [this](const std::string& id)
        {
            const auto found = store_contacts.find(id);
            return found == store_contacts.end() ? std::nullopt
                                                 : std::optional(found->second);
        };
        hooks.last_store_contact = [this]
        {
            return last_peer_contact;
        };
        hooks.set_paused = [this](bool value)
        {
            paused = value;
        };
        return hooks;
    }

    /// When the store last answered each other member, according to the
    /// messages of that member.
    std::map<std::string, common::time_point> store_contacts;

    /// When the store last answered any other member.
    std::optional<common::time_point> last_peer_contact;
    bool paused = false;
    batch::membership membership;
};

struct fixture : batch_cluster
{
    fixture()
    {
        standin::store_limits limits;
        limits.min_session = 20ms;
        store.model = standin::store_model(limits);
    }

    /// Appends the records of an accepted job of one item.
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

    /// Appends the record of a started process.
    void add_member(const std::string& name, const std::string& host)
    {
        proto::JobRecord record;
        record.mutable_member_started()->set_member(name);
        record.mutable_member_started()->set_host(host);
        append(record);
    }

    /// Partitions that the store has assigned to a leader that is not a process
    /// of the test.
    std::vector<standin::model_share> leader_share;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(batch_membership, fixture)

BOOST_AUTO_TEST_CASE(one_of_two_members_becomes_the_leader)
{
    member one(*this, "m1", "h1");
    member two(*this, "m2", "h2");
    BOOST_TEST(run_until(
        context, [&]
        { return one.membership.is_leader() != two.membership.is_leader(); }));
}

// Guards against jobs that no process runs after their process was killed.
BOOST_AUTO_TEST_CASE(jobs_of_a_dead_process_are_reassigned_to_a_live_one)
{
    add_member("dead", "h0");
    add_job("j", "dead");
    member one(*this, "m1", "h1");
    BOOST_TEST(run_until(
        context, [&] { return one.job("j") && one.job("j")->runner == "m1"; }));
}

BOOST_AUTO_TEST_CASE(
    restarted_process_adopts_its_predecessors_jobs_without_the_leader)
{
    add_member("m0", "h1");
    add_job("j", "m0");
    store.model.join("entries", "leader", {"jobs"}, 10s, common::clock::now(),
                     leader_share);
    member one(*this, "m1", "h1");
    BOOST_TEST(run_until(
        context, [&] { return one.job("j") && one.job("j")->runner == "m1"; }));
    BOOST_TEST(!one.membership.is_leader());
}

BOOST_AUTO_TEST_CASE(jobs_of_a_stopped_process_are_reassigned)
{
    member one(*this, "m1", "h1");
    auto two = std::make_unique<member>(*this, "m2", "h2");
    BOOST_REQUIRE(run_until(context,
                            [&]
                            {
                                return one.jobs.table().find_member("m2") &&
                                       two->membership.is_leader() !=
                                           one.membership.is_leader();
                            }));
    add_job("j", "m2");
    two->membership.stop();
    BOOST_TEST(run_until(
        context, [&] { return one.job("j") && one.job("j")->runner == "m1"; }));
}

// Guards against jobs that are reassigned, and start again, only because the
// store dropped a member by itself or assigned all partitions anew.
BOOST_AUTO_TEST_CASE(
    member_dropped_by_the_store_keeps_its_jobs_while_it_reports_contact)
{
    member one(*this, "m1", "h1");
    member two(*this, "m2", "h2");
    BOOST_REQUIRE(
        run_until(context, [&]
                  { return one.jobs.table().find_member("m2") != nullptr; }));
    add_job("j", "m2");
    for (int n = 0; n < 60; ++n)
    {
        one.store_contacts["m2"] = common::clock::now();
        store.model.revoke("m2");
        store.model.rebalance();
        run_for(context, 10ms);
    }
    BOOST_TEST(one.membership.is_leader());
    BOOST_TEST(one.job("j")->runner == "m2");

    // When it reports no contact with the store any more, its jobs are
    // reassigned.
    BOOST_TEST(
        run_until(context, [&] { return one.job("j")->runner == "m1"; }));
}

// Guards against items that stop in an outage of the store. While no process
// reaches the store, none can take over jobs of another, so that all processes
// may continue.
BOOST_AUTO_TEST_CASE(store_outage_for_all_processes_pauses_none)
{
    member one(*this, "m1", "h1");
    BOOST_REQUIRE(
        run_until(context, [&] { return one.membership.is_leader(); }));
    store.read_outcome = []
    {
        return call_outcome::refused;
    };
    one.last_peer_contact = store.last_contact;
    run_for(context, 500ms);
    BOOST_TEST(!one.paused);
    BOOST_TEST(!one.membership.is_leader());
    store.read_outcome = []
    {
        return call_outcome::done;
    };
    BOOST_TEST(run_until(context, [&] { return one.membership.is_leader(); }));
}

// Guards against items that run although their results can't be recorded. A
// process that can't reach a store which others reach can't record results, and
// its jobs are reassigned.
BOOST_AUTO_TEST_CASE(process_that_alone_cannot_reach_the_store_pauses)
{
    member one(*this, "m1", "h1");
    BOOST_REQUIRE(
        run_until(context, [&] { return one.membership.is_leader(); }));
    store.read_outcome = []
    {
        return call_outcome::refused;
    };
    BOOST_TEST(run_until(context,
                         [&]
                         {
                             one.last_peer_contact = common::clock::now();
                             return one.paused;
                         }));
    store.read_outcome = []
    {
        return call_outcome::done;
    };
    BOOST_TEST(run_until(context, [&] { return !one.paused; }));
}

// Guards against jobs that are reassigned because their runners are missing in
// the first list of members after an outage. No member could renew its session
// during the outage, so that a missing member may still be alive.
BOOST_AUTO_TEST_CASE(members_keep_their_jobs_while_they_rejoin_after_an_outage)
{
    member one(*this, "m1", "h1");
    BOOST_REQUIRE(
        run_until(context, [&] { return one.membership.is_leader(); }));
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
    BOOST_REQUIRE(one.membership.is_leader());
    store.read_outcome = []
    {
        return call_outcome::refused;
    };
    run_for(context, 700ms);
    store.read_outcome = []
    {
        return call_outcome::done;
    };
    run_for(context, 100ms);
    for (int n = 0; n < 10; ++n)
    {
        renew();
        run_for(context, 10ms);
    }
    BOOST_TEST(one.job("j")->runner == "m2");
}

// Guards against a live process that the others consider departed. The start
// record of an earlier process of this host may be appended late, and marks the
// current one as departed.
BOOST_AUTO_TEST_CASE(process_declared_departed_announces_itself_again)
{
    member one(*this, "m1", "h1");
    BOOST_REQUIRE(
        run_until(context, [&]
                  { return one.jobs.table().find_member("m1") != nullptr; }));
    add_member("m0", "h1");
    BOOST_TEST(
        run_until(context,
                  [&]
                  {
                      const auto* earlier = one.jobs.table().find_member("m0");
                      return earlier != nullptr && earlier->departed &&
                             !one.jobs.table().find_member("m1")->departed;
                  }));
}

BOOST_AUTO_TEST_SUITE_END()
