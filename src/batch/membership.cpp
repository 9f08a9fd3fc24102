#include "batch/membership.hpp"

#include "common/logging.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace tanagertrack::batch
{

namespace
{

/// Name of the entries' group in the store.
constexpr auto group = "entries";

} // namespace

membership::membership(boost::asio::io_context& context,
                       store::store_service service, job_log& jobs,
                       membership_settings settings, membership_hooks hooks)
    : service_(std::move(service)), jobs_(jobs), settings_(std::move(settings)),
      hooks_(std::move(hooks)), timer_(context)
{
    job_listener listener;
    listener.on_current = [this]
    {
        announce();
        claim_jobs_of_own_host();
    };
    listener.changes.on_member = [this](const state::batch_member& it)
    {
        // A delayed record of an earlier process of this host marked this
        // process as departed.
        if (it.id == jobs_.member() && it.departed && !stopped_)
            announce();
        if (it.departed && leader_)
            reassign_orphaned_jobs();
    };
    listener.on_loaded = [this]
    {
        const auto* own = jobs_.table().find_member(jobs_.member());
        if (announced_ && (own == nullptr || own->departed))
            announce();
    };
    jobs_.add_listener(std::move(listener));
}

void membership::start()
{
    last_join_ = common::clock::now();
    send_join();
}

void membership::announce()
{
    proto::JobRecord record;
    auto& it = *record.mutable_member_started();
    it.set_member(jobs_.member());
    it.set_host(settings_.host);
    it.set_address(settings_.address.address);
    it.set_port(settings_.address.port);
    jobs_.append(record);
    announced_ = true;
}

std::vector<std::string> membership::topics() const
{
    // The store lists only members that own a partition, so the members join
    // topics that have at least twice as many partitions as there are members.
    std::size_t members = 0;
    jobs_.table().for_each_member([&members](const auto&) { ++members; });
    std::vector<std::string> names{job_log::topic_partition().topic, "texts"};
    while (names.size() * settings_.partitions < 2 * members)
        names.push_back("members-" + std::to_string(names.size()));
    return names;
}

void membership::send_join()
{
    store::join_call call;
    call.group = group;
    call.member = jobs_.member();
    call.topics = topics();
    call.session_timeout = settings_.session_timeout;
    call.generation = generation_;
    service_.join(call, [this](const store::join_result& result)
                  { handle_join(result); });
    timer_.expires_after(settings_.join_interval);
    timer_.async_wait(
        [this](const auto& ec)
        {
            if (ec || stopped_)
                return;
            check_store_contact();
            send_join();
        });
}

void membership::handle_join(const store::join_result& result)
{
    if (result.ec || stopped_)
        return;
    last_join_ = common::clock::now();
    generation_ = result.generation;
    const bool leads =
        std::ranges::find(result.partitions, job_log::topic_partition()) !=
        result.partitions.end();
    if (std::exchange(leader_, leads) != leads)
        common::log_info("batch_leader", {{"leads", leads ? 1 : 0},
                                          {"generation", generation_}});
    check_store_contact();
    if (leader_ && jobs_.is_current())
        request_owners();
}

void membership::check_store_contact()
{
    // A process that does not reach the store while others do can neither
    // record results nor read the log, and its jobs are reassigned: it pauses.
    // While no process reaches the store, no job can be reassigned, and all
    // processes continue to run items.
    const bool lost_contact =
        common::clock::now() - last_join_ >
        settings_.session_timeout + settings_.join_interval;
    const auto others = hooks_.last_store_contact();
    const bool pause =
        lost_contact && others &&
        *others > service_.last_contact() + settings_.contact_lead;
    if (lost_contact)
        leader_ = false;
    if (std::exchange(paused_, pause) != pause)
        hooks_.set_paused(pause);
}

void membership::request_owners()
{
    if (std::exchange(owners_requested_, true))
        return;
    service_.owners(group, [this](const store::owners_result& result)
                    { handle_owners(result); });
}

void membership::handle_owners(const store::owners_result& result)
{
    owners_requested_ = false;
    if (result.ec || stopped_ || !leader_)
        return;
    const auto now = common::clock::now();
    if (now - last_owners_ > settings_.list_gap)
    {
        jobs_.table().for_each_member([&](const state::batch_member& it)
                                      { last_listed_[it.id] = now; });
    }
    last_owners_ = now;
    for (const auto& row : result.rows)
        last_listed_[row.member] = now;
    reassign_orphaned_jobs();
}

bool membership::has_departed(const std::string& member,
                              common::time_point now) const
{
    if (member == jobs_.member())
        return false;
    const auto* known = jobs_.table().find_member(member);
    if (known == nullptr || known->departed)
        return true;
    const auto listed_at = last_listed_.find(member);
    const bool listed = listed_at != last_listed_.end() &&
                        now - listed_at->second < settings_.absence_timeout;

    // The store may remove a member that is alive. A member that still gets
    // answers from the store can record what it runs.
    const auto contact = hooks_.store_contact(member);
    const bool is_working =
        contact && now - *contact < settings_.session_timeout;
    return !listed && !is_working;
}

bool membership::is_responsible_for(const std::string& runner) const
{
    return runner == jobs_.member() ||
           (leader_ && has_departed(runner, common::clock::now()));
}

std::vector<std::string> membership::live_members(common::time_point now) const
{
    std::vector<std::string> live{jobs_.member()};
    jobs_.table().for_each_member(
        [&](const state::batch_member& it)
        {
            if (it.id != jobs_.member() && !has_departed(it.id, now))
                live.push_back(it.id);
        });
    return live;
}

void membership::claim_jobs_of_own_host()
{
    // Jobs of an earlier process of this host are taken over without waiting
    // for a leader.
    std::vector<const state::batch_job*> orphans;
    jobs_.table().for_each(
        [&](const state::batch_job& job)
        {
            const auto* runner = jobs_.table().find_member(job.runner);
            if (job.is_open() && runner != nullptr &&
                runner->host == settings_.host && runner->id != jobs_.member())
                orphans.push_back(&job);
        });
    for (const auto* job : orphans)
        reassign_job(*job, jobs_.member());
}

void membership::reassign_orphaned_jobs()
{
    const auto now = common::clock::now();
    const auto live = live_members(now);
    std::map<std::string, std::size_t> open_items;
    std::vector<const state::batch_job*> orphans;
    jobs_.table().for_each(
        [&](const state::batch_job& job)
        {
            if (!job.is_open())
                return;
            open_items[job.runner] += job.items.size() - job.results.size();
            if (has_departed(job.runner, now))
                orphans.push_back(&job);
        });
    for (const auto* job : orphans)
    {
        const auto least_loaded_member = std::ranges::min_element(
            live, {}, [&](const std::string& it) { return open_items[it]; });
        open_items[*least_loaded_member] +=
            job->items.size() - job->results.size();
        reassign_job(*job, *least_loaded_member);
    }
}

void membership::reassign_job(const state::batch_job& job,
                              const std::string& member)
{
    // A reassignment is not repeated while its record may still be on the way.
    const auto now = common::clock::now();
    auto& requested = reassignments_[job.id];
    if (requested.from == job.runner &&
        now - requested.at < settings_.absence_timeout)
        return;
    requested = {job.runner, now};
    common::log_info("job_reassigned",
                     {{"job", job.id}, {"from", job.runner}, {"to", member}});
    proto::JobRecord record;
    auto& reassigned = *record.mutable_taken();
    reassigned.set_job(job.id);
    reassigned.set_from(job.runner);
    reassigned.set_member(member);
    jobs_.append(record);
}

void membership::stop()
{
    stopped_ = true;
    timer_.cancel();
    if (announced_)
    {
        proto::JobRecord record;
        record.mutable_member_stopped()->set_member(jobs_.member());
        jobs_.append(record);
    }
    service_.leave(group, jobs_.member(), [](std::error_code) {});
}

} // namespace tanagertrack::batch
