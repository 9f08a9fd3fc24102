#include "batch/runner.hpp"

#include "batch/item_intents.hpp"
#include "batch/item_request.hpp"
#include "batch/item_route.hpp"
#include "batch/preemption.hpp"
#include "batch/progress_store.hpp"
#include "batch/waiting_groups.hpp"
#include "common/logging.hpp"
#include "common/result_code.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace tanagertrack::batch
{

using state::intent_result;
using std::chrono::milliseconds;

namespace
{

/// Maximum number of pending items of a service examined in one search for
/// items to start.
constexpr std::size_t max_examined_items = 256;

/// Bytes of loaded items above which no further parts are loaded; jobs that are
/// due later wait.
constexpr std::size_t max_loaded_bytes = 8UL * 1024 * 1024;

/// Time after which an item whose prompt crashes targets is examined again. The
/// verdict may be lifted earlier than it ends.
constexpr auto max_quarantine_pause = milliseconds(1000);

/// Pending items that could start, above which no further parts are loaded.
constexpr std::size_t max_pending_for_load = 512;

/// Bytes of loaded items up to which a job without an item that could start
/// loads a further part, whatever other jobs have loaded.
constexpr std::size_t min_loaded_job_bytes = 256UL * 1024;

} // namespace

runner::runner(environment& env, job_log& jobs, text_store& texts,
               result_recorder& recorder, intake& submissions)
    : environment_(env), jobs_(jobs), texts_(texts), recorder_(recorder),
      intake_(submissions), timer_(env.context),
      loader_(jobs, [this](const std::string& job, std::uint32_t first,
                           const std::vector<proto::JobItem>& items)
              { handle_part(job, first, items); }),
      progress_(jobs, texts, env.settings.progress)
{
    jobs_.add_listener(make_listener());
}

job_listener runner::make_listener()
{
    job_listener listener;
    listener.changes.on_commit =
        [this](const proto::JobCommit& commit, state::commit_result result)
    {
        if (result == state::commit_result::accepted &&
            commit.member() == jobs_.member())
            add_job(*jobs_.table().find(commit.job()));
    };
    listener.changes.on_result =
        [this](const state::batch_job& job, std::uint32_t item)
    {
        handle_item_result(job.id, item);
    };
    listener.changes.on_cancelled = [this](const state::batch_job& job)
    {
        drop_job(job.id);
    };
    listener.changes.on_reassigned =
        [this](const state::batch_job& job, const std::string& from)
    {
        if (from == jobs_.member())
            drop_job(job.id);
        if (job.runner == jobs_.member())
            add_job(job);
    };
    listener.changes.on_item_intent =
        [this](const proto::ItemIntent& intent, intent_result result)
    {
        handle_intent(intent, result);
    };
    listener.on_loaded = [this]
    {
        handle_loaded();
    };
    return listener;
}

void runner::start()
{
    run_checks();
}

void runner::run_checks()
{
    const auto now = common::clock::now();
    check_timeouts(now);
    mark_late_items(now);
    progress_.record_due_items(running_, now);
    update_routes();
    check_removed_routes(now);
    load_parts(now);
    preempt_excess();
    start_items();
    timer_.expires_after(environment_.settings.check_interval);
    timer_.async_wait(
        [this](const auto& ec)
        {
            if (!ec && !handed_over_)
                run_checks();
        });
}

void runner::set_paused(bool paused)
{
    if (std::exchange(paused_, paused) == paused)
        return;
    common::log_info(
        paused ? "batch_paused" : "batch_resumed",
        {{"running", running_.size()}, {"pending", pending_.size()}});
    if (!paused)
        return schedule_start();
    for (const auto& it : std::vector(running_.begin(), running_.end()))
    {
        if (it->is_preemptible())
            interrupt_item(it, "paused");
    }
}

// ---- jobs ----

void runner::add_job(const state::batch_job& job)
{
    if (!job.is_open() || handed_over_)
        return;
    auto& run = runs_[job.id];
    run.id = job.id;
    run.route = job.route;
    run.host = job.host;
    run.configuration_version = job.configuration_version;
    run.order = job.accepted_at;

    // Wall clocks may be wrong: the age is limited to the range from zero to
    // the time until the job is due.
    const auto due_after = job.due_after_ms != 0
                               ? milliseconds(job.due_after_ms)
                               : environment_.settings.default_due;
    const auto now_ms = common::unix_time_ms();
    const auto age = milliseconds(now_ms - std::min(now_ms, job.created_ms));
    run.due = common::clock::now() + due_after - std::min(age, due_after);

    const auto items = intake_.extract_items(job.id);
    if (items.empty())
    {
        loader_.add(job.id, {run.due, run.order}, 0);
        return load_parts(common::clock::now());
    }
    add_items(run, job, 0, items);
    schedule_start();
}

void runner::handle_loaded()
{
    std::vector<std::string> obsolete;
    for (auto& [id, run] : runs_)
    {
        const auto* job = jobs_.table().find(id);
        if (job == nullptr || !job->is_open() || job->runner != jobs_.member())
        {
            obsolete.push_back(id);
            continue;
        }
        for (const auto& [index, item] : std::map(run.items))
        {
            if (job->items[index].state != proto::ITEM_OPEN)
                remove_item(run, item);
        }
    }
    for (const auto& it : obsolete)
        drop_job(it);
    jobs_.table().for_each(
        [this](const state::batch_job& job)
        {
            if (job.runner == jobs_.member() && !runs_.contains(job.id))
                add_job(job);
        });
}

void runner::drop_job(const std::string& id)
{
    const auto found = runs_.find(id);
    if (found == runs_.end())
        return;
    auto run = std::move(found->second);
    runs_.erase(found);
    loader_.remove(id);
    common::log_info("job_dropped",
                     {{"job", id}, {"loaded_items", run.items.size()}});
    for (const auto& [index, item] : std::map(run.items))
        remove_item(run, item);
}

void runner::load_parts(common::time_point now)
{
    if (handed_over_)
        return;

    // Items of a service without targets don't count: they must not keep the
    // items of other services from being loaded.
    std::size_t startable = 0;
    for (const auto& [service, items] : pending_.by_service())
        startable += has_targets(service) ? items.size() : 0;
    const bool has_room =
        loaded_bytes_ < max_loaded_bytes && startable < max_pending_for_load;
    loader_.load(now, [this, has_room](const std::string& job)
                 { return has_room || lacks_items(runs_.find(job)->second); });
}

bool runner::has_targets(const std::string& service) const
{
    return !environment_.targets.of_service(service).empty();
}

bool runner::lacks_items(const job_run& run) const
{
    return run.loaded_bytes < min_loaded_job_bytes &&
           std::ranges::none_of(run.items,
                                [this](const auto& it)
                                {
                                    const auto& item = *it.second;
                                    return !item.closed && !item.attempt &&
                                           has_targets(item.route.service);
                                });
}

void runner::handle_part(const std::string& job, std::uint32_t first,
                         const std::vector<proto::JobItem>& items)
{
    const auto run = runs_.find(job);
    if (run == runs_.end())
        return;
    add_items(run->second, *jobs_.table().find(job), first, items);
    schedule_start();
}

void runner::add_items(job_run& run, const state::batch_job& job,
                       std::uint32_t first,
                       const std::vector<proto::JobItem>& items)
{
    for (std::size_t i = 0; i < items.size(); ++i)
    {
        const auto index = first + static_cast<std::uint32_t>(i);
        if (job.items[index].state != proto::ITEM_OPEN)
            continue;
        const auto item = add_item(run, index, items[i]);
        loaded_bytes_ += item->data_bytes;
        run.loaded_bytes += item->data_bytes;

        const auto progress = job.progress.find(index);
        if (job.intents.contains(index))
        {
            // The process that appended the intent may have run the item.
            finish_item(item, proto::ITEM_UNKNOWN, 0, {});
        }
        else if (progress != job.progress.end())
            read_progress(texts_, item, progress->second,
                          [this, item]
                          {
                              requeue(item);
                              schedule_start();
                          });
        else
            requeue(item);
    }
}

void runner::update_routes()
{
    if (routes_as_of_ == environment_.configuration())
        return;
    routes_as_of_ = environment_.configuration();
    std::vector<item_run_ptr> items;
    pending_.for_each([&items](const item_run_ptr& it)
                      { items.push_back(it); });
    for (const auto& it : items)
        requeue(it);
}

void runner::check_removed_routes(common::time_point now)
{
    std::map<job_run*, std::vector<item_run_ptr>> unrouted;
    for (const auto& [rank, item] : pending_.unrouted())
    {
        if (item->route.status == route_status::removed)
            unrouted[&runs_.find(item->job)->second].push_back(item);
    }
    for (auto& [id, run] : runs_)
    {
        const auto found = unrouted.find(&run);
        if (found == unrouted.end())
            run.route_missing_since.reset();
        else if (!run.route_missing_since)
            run.route_missing_since = now;
        else if (now - *run.route_missing_since >
                 environment_.settings.missing_route_timeout)
            fail_unrouted_items(run, found->second);
    }
}

void runner::fail_unrouted_items(const job_run& run,
                                 const std::vector<item_run_ptr>& items)
{
    common::log_info("job_without_route",
                     {{"job", run.id},
                      {"items", items.size()},
                      {"submitted_version", run.configuration_version},
                      {"version", environment_.configuration()->version()}});
    for (const auto& it : items)
        finish_item(it, proto::ITEM_DEAD, 0, {});
}

// ---- items ----

void runner::remove_item(job_run& run, const item_run_ptr& item)
{
    item->closed = true;
    pending_.erase(*item);
    running_.erase(item);
    loaded_bytes_ -= item->data_bytes;
    run.loaded_bytes -= std::exchange(item->data_bytes, 0);
    run.items.erase(item->index);
    if (auto attempt = std::exchange(item->attempt, nullptr))
        attempt->cancel();
}

void runner::handle_item_result(const std::string& job, std::uint32_t index)
{
    const auto run = runs_.find(job);
    if (run == runs_.end())
        return;
    const auto found = run->second.items.find(index);
    if (found != run->second.items.end())
        remove_item(run->second, item_run_ptr(found->second));
    if (jobs_.table().find(job)->is_open())
        return;
    runs_.erase(run);
    loader_.remove(job);
}

void runner::schedule_start()
{
    if (std::exchange(start_scheduled_, true))
        return;
    boost::asio::post(environment_.context,
                      [this]
                      {
                          start_scheduled_ = false;
                          start_items();
                      });
}

void runner::start_items()
{
    const bool recorder_full =
        recorder_.unrecorded() >= environment_.settings.max_unrecorded ||
        recorder_.unrecorded_bytes() >=
            environment_.settings.max_unrecorded_bytes;
    if (paused_ || handed_over_ || recorder_full || pending_.empty())
        return;
    update_routes();
    const auto now = common::clock::now();

    // The next item of each service, by rank. A service is dropped once no
    // target is found for an item: its other items are less urgent.
    std::map<item_rank, service_scan> scans;
    const auto add_next = [&](service_scan scan, const item_rank* after)
    {
        scan.item = pending_.find_next(scan.service, after, now);
        if (scan.item && scan.examined < max_examined_items)
            scans.emplace(scan.item->rank, std::move(scan));
    };
    for (const auto& [service, items] : pending_.by_service())
        add_next({service, nullptr, 0}, nullptr);
    while (!scans.empty())
    {
        auto scan = std::move(scans.extract(scans.begin()).mapped());
        const auto rank = scan.item->rank;
        if (!start_item(scan.item, now))
            continue;
        ++scan.examined;
        add_next(std::move(scan), &rank);
    }
}

bool runner::start_item(const item_run_ptr& item, common::time_point now)
{
    const auto& run = runs_.find(item->job)->second;
    if (!may_start(run, item, now))
        return true;
    const auto target = choose_target(*item, item->route.service, now);
    if (!target)
        return false;
    pending_.erase(*item);
    start_attempt(run, item, target);
    return true;
}

bool runner::may_start(const job_run& run, const item_run_ptr& item,
                       common::time_point now)
{
    if (const auto refused_for = environment_.time_refused(item->prompt))
    {
        hold_refused_item(run, item, *refused_for, now);
        return false;
    }
    return ensure_intent_granted(jobs_, *item);
}

void runner::hold_refused_item(const job_run& run, const item_run_ptr& item,
                               milliseconds refused_for, common::time_point now)
{
    item->not_before = now + std::min(refused_for, max_quarantine_pause);
    if (has_expired(run, *item, now).value_or(false))
        finish_item(item, proto::ITEM_DEAD, 0, {});
}

std::optional<bool> runner::has_expired(const job_run& run,
                                        const item_run& item,
                                        common::time_point now) const
{
    const auto due_after =
        milliseconds(jobs_.table().find(run.id)->due_after_ms);
    const auto expires_after = item.route.expires_after;
    if (due_after.count() == 0 || !expires_after)
        return std::nullopt;
    return now > run.due - due_after + *expires_after;
}

void runner::handle_intent(const proto::ItemIntent& intent,
                           intent_result result)
{
    const auto run = runs_.find(intent.job());
    if (run == runs_.end())
        return;
    const auto found = run->second.items.find(intent.item());
    if (found == run->second.items.end() || found->second->closed)
        return;
    const auto item = found->second;
    if (apply_intent_result(*item, intent.member() == jobs_.member(), result))
        finish_item(item, proto::ITEM_UNKNOWN, 0, {});
    else
        schedule_start();
}

targets::target_ptr runner::choose_target(const item_run& item,
                                          const std::string& service,
                                          common::time_point now)
{
    std::vector<targets::target_ptr> candidates;
    std::vector<const routing::target_load*> loads;
    const auto& service_targets = environment_.targets.of_service(service);
    for (const auto& it : service_targets)
    {
        if (it->id() == item.avoided_target && service_targets.size() > 1)
            continue;
        candidates.push_back(it);
        loads.push_back(&it->load);
    }
    const auto reserve = environment_.settings.reserve;
    const auto reserved = reservations_[service].reserved_for_peers(
        routing::placement::count_batch_slots(loads, reserve, now),
        environment_.peer_items_ahead(service, item.rank.urgency), now);
    const auto choice =
        environment_.placement.choose_batch(loads, reserve, reserved, now);
    return choice ? candidates[choice->index] : nullptr;
}

bool runner::is_late(const item_run& item, common::time_point now) const
{
    const bool has_started = item.first_started || item.last_event;
    const auto needed_time = has_started
                                 ? run_times_.time_left(item.run_time_at(now))
                                 : run_times_.turnaround();
    return item.rank.urgency.due - now < needed_time;
}

void runner::mark_late_items(common::time_point now)
{
    if (environment_.settings.order != batch_order::urgency)
        return;
    const auto is_late_now = [this, now](const item_run& item)
    {
        return is_late(item, now);
    };
    pending_.mark_late(is_late_now);
    mark_late_running_items(running_, is_late_now);
}

void runner::start_attempt(const job_run& run, const item_run_ptr& item,
                           const targets::target_ptr& target)
{
    auto request =
        make_item_request(environment_.protocol, *item, run.host, target->id());

    // A response that is not a stream can't be resumed.
    if (item->data.whole_answer())
        item->discard_received();

    targets::attempt_hooks hooks;
    hooks.on_piece =
        [item, max_bytes = environment_.settings.max_text_bytes](
            std::string_view piece, std::optional<std::uint64_t> event)
    {
        // A piece without a number belongs to a response that is not a stream.
        // In a stream it is no part of the text: it is the body of an error
        // response, or no event.
        if (!event && !item->data.whole_answer())
            return;
        item->broken_attempts = 0;
        item->refused_attempts = 0;
        item->add_to_text(piece, event);
        if (item->text.size() > max_bytes)
            item->attempt->refuse_large_answer();
    };
    hooks.on_end = [this, item](const targets::attempt_end& end)
    {
        handle_attempt_end(item, end);
    };
    ++counts_.started;
    ++item->attempts;
    if (!item->first_started)
        item->first_started = common::clock::now();
    common::log_info("item_sent",
                     {{"job", item->job},
                      {"item", item->data.id()},
                      {"target", target->id()},
                      {"parts", routing::list_parts(item->prompt.shared)},
                      {"after_event", item->last_event.value_or(0)},
                      {"attempt", item->attempts},
                      {"online", target->load.online()},
                      {"batch", target->load.batch()},
                      {"slots", target->load.slots}});
    item->attempt = new targets::attempt(environment_.protocol, target,
                                         std::move(request), std::move(hooks));
    running_.insert(item);
    item->attempt->start();
}

void runner::handle_attempt_end(const item_run_ptr& item,
                                const targets::attempt_end& end)
{
    const auto attempt = std::exchange(item->attempt, nullptr);
    running_.erase(item);
    if (item->closed)
        return;
    item->run_time += common::clock::now() - attempt->started_at();
    const auto& target = attempt->destination()->id();
    const auto decision = decide(*item, end, target);
    if (decision.end != proto::ITEM_DONE)
        common::log_info("item_attempt_failed",
                         {{"job", item->job},
                          {"item", item->data.id()},
                          {"target", target},
                          {"status", end.status},
                          {"reason", end.reason},
                          {"what", end.ec.message()},
                          {"events", item->events},
                          {"failures", item->failures},
                          {"again_after_ms", decision.pause.count()}});
    if (decision.restarts)
        item->discard_received();
    if (decision.end == proto::ITEM_DONE && !item->rank.urgency.is_late)
        record_run_time(*item);
    if (decision.end)
        finish_item(item, *decision.end, end.status, target);
    else
    {
        item->avoided_target = target;
        item->not_before = common::clock::now() + decision.pause;
        requeue(item);
    }
    schedule_start();
}

attempt_decision runner::decide(item_run& item, const targets::attempt_end& end,
                                const std::string& target)
{
    const auto route = find_route(item);
    const auto max_failures =
        route.max_failures.value_or(environment_.settings.max_failures);
    if (end.ec != common::result_code::answer_too_large)
        return decide_after_attempt(
            item, end, environment_.classify_failure(end.status), max_failures);
    common::log_warning("item_text_too_large",
                        {{"job", item.job},
                         {"item", item.data.id()},
                         {"target", target},
                         {"bytes", item.text.size()},
                         {"max_bytes", environment_.settings.max_text_bytes}});
    return decide_after_large_text(
        item, {target, environment_.targets.of_service(route.service).size(),
               max_failures,
               has_expired(runs_.find(item.job)->second, item,
                           common::clock::now())});
}

void runner::finish_item(const item_run_ptr& item, proto::ItemState state,
                         unsigned status, const std::string& target)
{
    const bool done = state == proto::ITEM_DONE;
    const bool unknown = state == proto::ITEM_UNKNOWN;
    ++(done ? counts_.done : unknown ? counts_.unknown : counts_.dead);
    common::log_info("item_ended", {{"job", item->job},
                                    {"item", item->data.id()},
                                    {"state", done      ? "done"
                                              : unknown ? "unknown"
                                                        : "dead"},
                                    {"status", status},
                                    {"events", item->events},
                                    {"attempts", item->attempts},
                                    {"failures", item->failures}});
    item->closed = true;
    pending_.erase(*item);
    item_end end;
    end.job = item->job;
    end.item = item->index;
    end.state = state;
    end.text = item->make_text(done || item->data.whole_answer());
    end.text.set_http_status(status);
    end.text.set_target(target);
    recorder_.add(std::move(end));
}

void runner::record_run_time(const item_run& item)
{
    // Another process may have started the item: then a part of the run time
    // was before its first start here.
    const auto since_start = common::clock::now() - *item.first_started;
    run_times_.record_completion(item.run_time,
                                 std::max(item.run_time, since_start));
}

void runner::requeue(const item_run_ptr& item)
{
    if (!item->closed)
        pending_.insert(item, find_route(*item));
}

item_route runner::find_route(const item_run& item) const
{
    return find_item_route(environment_.configuration().get(),
                           runs_.find(item.job)->second, item);
}

bool runner::preempt_one(targets::target& target)
{
    const auto chosen = choose_item_to_preempt(running_, target);
    if (!chosen)
        return false;
    ++counts_.preempted;
    interrupt_item(chosen, "preempted");
    return true;
}

void runner::preempt_excess()
{
    std::set<targets::target_ptr> used_targets;
    for (const auto& it : running_)
        used_targets.insert(it->attempt->destination());
    for (const auto& it : used_targets)
    {
        if (!is_oversubscribed(it->load))
            continue;
        auto n = count_items_to_preempt(it->load,
                                        environment_.preempted_by_peers(*it));
        while (n-- != 0)
            preempt_one(*it);
    }
}

void runner::interrupt_item(const item_run_ptr& item, std::string_view reason)
{
    const auto attempt = cancel_attempt(item);
    common::log_info("item_stopped", {{"job", item->job},
                                      {"item", item->data.id()},
                                      {"target", attempt->destination()->id()},
                                      {"why", reason},
                                      {"events", item->events}});
    requeue(item);
}

void runner::check_timeouts(common::time_point now)
{
    for (const auto& it : std::vector(running_.begin(), running_.end()))
    {
        const auto timeout = it->data.whole_answer()
                                 ? environment_.settings.answer_timeout
                                 : environment_.settings.event_timeout;
        if (now - it->attempt->last_progress() < timeout)
            continue;
        it->avoided_target = it->attempt->destination()->id();
        it->attempt->cancel_silent();
        if (it->is_preemptible())
        {
            interrupt_item(it, "silent");
            continue;
        }

        // The target may have run the item, which must not run twice.
        cancel_attempt(it);
        finish_item(it, proto::ITEM_UNKNOWN, 0, it->avoided_target);
    }
}

targets::attempt_ptr runner::cancel_attempt(const item_run_ptr& item)
{
    auto attempt = std::exchange(item->attempt, nullptr);
    attempt->cancel();
    running_.erase(item);
    item->run_time += common::clock::now() - attempt->started_at();
    return attempt;
}

// ---- planned stop ----

void runner::hand_over(std::function<void()> done)
{
    handed_over_ = true;
    timer_.cancel();
    for (const auto& it : std::vector(running_.begin(), running_.end()))
    {
        if (it->is_preemptible())
            interrupt_item(it, "hand_over");
    }
    recorder_.flush();

    const auto now = common::clock::now();
    std::vector<progress_snapshot> snapshots;
    pending_.for_each(
        [&](const item_run_ptr& it)
        {
            if (it->last_event)
                snapshots.push_back(capture_progress(*it, now));
        });
    write_progress(jobs_, texts_, std::move(snapshots),
                   [done = std::move(done)](std::error_code) { done(); });
}

// ---- counts ----

std::vector<routing::waiting_items>
runner::waiting(std::size_t max_groups) const
{
    if (paused_ || handed_over_)
        return {};
    return group_waiting_items(
        pending_, max_groups,
        [this](const std::string& service) { return has_targets(service); },
        common::clock::now());
}

runner_counts runner::counts() const
{
    auto counts = counts_;
    counts.pending = pending_.size();
    counts.running = running_.size();
    return counts;
}

std::size_t runner::running_items(std::string_view job) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        running_, [job](const auto& it) { return it->job == job; }));
}

} // namespace tanagertrack::batch
