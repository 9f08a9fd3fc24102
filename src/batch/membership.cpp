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

/// Group of the entries in the store.
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
        adopt_own();
    };
    listener.changes.on_member = [this](const state::batch_member& it)
    {
        // A late write of an earlier process of this host.
        if (it.id == jobs_.member() && it.departed && !stopped_)
            announce();
        if (it.departed && leader_)
            adopt_orphans();
    };
    listener.on_loaded = [this]
    {
        const auto* own = jobs_.table().find_member(jobs_.member());
        if (started_ && (own == nullptr || own->departed))
            announce();
    };
    jobs_.add_listener(std::move(listener));
}

void membership::start()
{
    last_join_ = common::clock::now();
    join();
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
    started_ = true;
}

std::vector<std::string> membership::topics() const
{
    // A member without a partition is not in the store's list: there are at
    // least as many partitions as members.
    std::size_t members = 0;
    jobs_.table().for_each_member([&members](const auto&) { ++members; });
    std::vector<std::string> names{job_log::place().topic, "texts"};
    while (names.size() * settings_.partitions < 2 * members)
        names.push_back("members-" + std::to_string(names.size()));
    return names;
}

void membership::join()
{
    store::join_call call;
    call.group = group;
    call.member = jobs_.member();
    call.topics = topics();
    call.session_timeout = settings_.session_timeout;
    call.generation = generation_;
    service_.join(call, [this](const store::join_result& result)
                  { take_join(result); });
    timer_.expires_after(settings_.join_interval);
    timer_.async_wait(
        [this](const auto& ec)
        {
            if (ec || stopped_)
                return;
            check_contact();
            join();
        });
}

void membership::take_join(const store::join_result& result)
{
    if (result.ec || stopped_)
        return;
    last_join_ = common::clock::now();
    generation_ = result.generation;
    const bool leads = std::ranges::find(result.partitions, job_log::place()) !=
                       result.partitions.end();
    if (std::exchange(leader_, leads) != leads)
        common::log_info("batch_leader", {{"leads", leads ? 1 : 0},
                                          {"generation", generation_}});
    check_contact();
    if (leader_ && jobs_.is_current())
        poll_owners();
}

void membership::check_contact()
{
    // Cut off from a store that others reach, this process can neither record
    // nor learn anything: its jobs are given to others. While nobody reaches
    // the store, nobody can take them.
    const bool silent = common::clock::now() - last_join_ >
                        settings_.session_timeout + settings_.join_interval;
    const auto others = hooks_.last_store_contact();
    const bool pause =
        silent && others &&
        *others > service_.last_contact() + settings_.contact_lead;
    if (silent)
        leader_ = false;
    if (std::exchange(paused_, pause) != pause)
        hooks_.set_paused(pause);
}

void membership::poll_owners()
{
    if (std::exchange(polling_, true))
        return;
    service_.owners(group, [this](const store::owners_result& result)
                    { take_owners(result); });
}

void membership::take_owners(const store::owners_result& result)
{
    polling_ = false;
    if (result.ec || stopped_ || !leader_)
        return;
    const auto now = common::clock::now();
    if (now - last_owners_ > settings_.list_gap)
    {
        jobs_.table().for_each_member([&](const state::batch_member& it)
                                      { seen_[it.id] = now; });
    }
    last_owners_ = now;
    for (const auto& row : result.rows)
        seen_[row.member] = now;
    adopt_orphans();
}

bool membership::is_gone(const std::string& member,
                         common::time_point now) const
{
    if (member == jobs_.member())
        return false;
    const auto* known = jobs_.table().find_member(member);
    if (known == nullptr || known->departed)
        return true;
    const auto seen = seen_.find(member);
    const bool listed =
        seen != seen_.end() && now - seen->second < settings_.absence;

    // The store may drop members by itself. One that it still answers can
    // record what it runs.
    const auto contact = hooks_.store_contact(member);
    const bool works = contact && now - *contact < settings_.session_timeout;
    return !listed && !works;
}

bool membership::is_responsible_for(const std::string& runner) const
{
    return runner == jobs_.member() ||
           (leader_ && is_gone(runner, common::clock::now()));
}

std::vector<std::string> membership::live_members(common::time_point now) const
{
    std::vector<std::string> live{jobs_.member()};
    jobs_.table().for_each_member(
        [&](const state::batch_member& it)
        {
            if (it.id != jobs_.member() && !is_gone(it.id, now))
                live.push_back(it.id);
        });
    return live;
}

void membership::adopt_own()
{
    // Jobs of an earlier process of this host need not wait for a leader.
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
        take_job(*job, jobs_.member());
}

void membership::adopt_orphans()
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
            if (is_gone(job.runner, now))
                orphans.push_back(&job);
        });
    for (const auto* job : orphans)
    {
        const auto least = std::ranges::min_element(
            live, {}, [&](const std::string& it) { return open_items[it]; });
        open_items[*least] += job->items.size() - job->results.size();
        take_job(*job, *least);
    }
}

void membership::take_job(const state::batch_job& job,
                          const std::string& member)
{
    // Not asked twice while the first record is on its way.
    const auto now = common::clock::now();
    auto& asked = asked_[job.id];
    if (asked.from == job.runner && now - asked.at < settings_.absence)
        return;
    asked = {job.runner, now};
    common::log_info("job_reassigned",
                     {{"job", job.id}, {"from", job.runner}, {"to", member}});
    proto::JobRecord record;
    auto& taken = *record.mutable_taken();
    taken.set_job(job.id);
    taken.set_from(job.runner);
    taken.set_member(member);
    jobs_.append(record);
}

void membership::stop()
{
    stopped_ = true;
    timer_.cancel();
    if (started_)
    {
        proto::JobRecord record;
        record.mutable_member_stopped()->set_member(jobs_.member());
        jobs_.append(record);
    }
    service_.leave(group, jobs_.member(), [](std::error_code) {});
}

} // namespace tanagertrack::batch
