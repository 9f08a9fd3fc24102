#include "bench/fleet_emulator.hpp"

#include "bench/entry_model.hpp"

#include <algorithm>
#include <deque>
#include <random>
#include <string>
#include <utility>

namespace tanagertrack::bench
{

using std::chrono::milliseconds;

namespace
{

/// Intervals of the periodic checks of the entries and of the samples.
constexpr auto late_interval = milliseconds(50);
constexpr auto progress_interval = milliseconds(500);
constexpr auto sample_interval = milliseconds(100);

/// Slowdown of targets that do not report it.
constexpr double hidden_slowdown = 4;

/// Maximum number of targets that are tried for an online request.
constexpr int max_sends = 3;

constexpr double ms_per_second = 1000;

/// An online request that has not ended.
struct open_request
{
    engine_work_ptr work;
    bool has_event = false;
};

/// A load message that was sent and not received yet.
struct message_in_transit
{
    milliseconds arrives_at{0};
    std::size_t sender = 0;
    peers::LoadMessage content;
};

/// Returns the quantile `fraction` (0 to 1), or 0 if there are no values. Sorts
/// the values.
double quantile(std::vector<double>& values, double fraction)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(last * fraction)];
}

/// State of one emulation: the models of targets and entries, messages in
/// transit and requests in progress.
class emulator
{
public:
    explicit emulator(const emulation_settings& settings)
        : settings_(settings), load_random_(settings.seed),
          choice_random_(settings.seed + 1), placement_(make_placement())
    {
        for (std::size_t i = 0; i < settings.fleet.targets; ++i)
        {
            targets_.emplace_back(settings_.fleet, settings.seed, i);
            targets_.back().on_start([this](const engine_work& it)
                                     { record_wait(it); });
        }
        for (std::size_t i = 0; i < settings.fleet.entries; ++i)
            entries_.emplace_back(settings_, "entry-" + std::to_string(i),
                                  placement_);
        target_is_up_.assign(targets_.size(), true);
        entry_is_up_.assign(entries_.size(), true);
    }

    emulation_result run()
    {
        for (; now_ < settings_.length; ++now_)
        {
            start_and_end_faults();
            exchange_messages();
            step_targets();
            record_first_events();
            add_online_requests();
            add_jobs();
            preempt_excess();
            run_periodic_checks();
            start_items();
            record_sample();
        }
        return finish();
    }

private:
    routing::placement make_placement()
    {
        routing::placement_settings out;
        out.policy =
            routing::parse_placement_policy(settings_.policy.placement);
        return {out, [this](std::size_t n)
                {
                    return std::uniform_int_distribution<std::size_t>(0, n - 1)(
                        choice_random_);
                }};
    }

    /// Returns the current time for the modules of the entries. It starts an
    /// hour after the epoch of the clock: time points that were never set are
    /// then in the past, so that no target appears to be avoided.
    common::time_point time() const
    {
        return common::time_point(std::chrono::hours(1)) + now_;
    }

    bool is_time_for(milliseconds interval) const
    {
        return now_ % interval == milliseconds(0);
    }

    // ---- injected faults ----

    void start_and_end_faults()
    {
        for (const auto& it : settings_.faults)
        {
            if (now_ == it.at)
                apply_fault(it, false);
            if (now_ == it.at + it.length)
                apply_fault(it, true);
        }
    }

    /// Starts the fault if `is_up` is false, ends it otherwise.
    void apply_fault(const fault& it, bool is_up)
    {
        if (it.failure == fault::kind::targets_slow)
            return set_slowdown(it.count, is_up ? 1 : hidden_slowdown);
        const bool are_targets = it.failure == fault::kind::targets_down;
        auto& all = are_targets ? target_is_up_ : entry_is_up_;
        for (std::size_t i = 0; i < std::min(it.count, all.size()); ++i)
        {
            all[i] = is_up;
            if (is_up)
                continue;
            if (are_targets)
                stop_target(i);
            else
                crash_entry(i);
        }
    }

    void set_slowdown(std::size_t count, double factor)
    {
        for (std::size_t i = 0; i < std::min(count, targets_.size()); ++i)
            targets_[i].set_slowdown(factor);
    }

    void stop_target(std::size_t target)
    {
        for (const auto& it : targets_[target].clear())
        {
            if (it->is_batch)
                stop_item(it);
            else
                fail_online(it);
        }
    }

    void crash_entry(std::size_t entry)
    {
        // Iterates over a copy, because `fail_online` removes requests.
        for (const auto& it : std::deque(open_requests_))
        {
            if (it.work->entry != entry)
                continue;
            targets_[it.work->target].remove(it.work);
            fail_online(it.work);
        }
        for (const auto& it : entries_[entry].running())
        {
            targets_[it->work->target].remove(it->work);
            running_items_.erase(it->work);
        }
        result_.batch.lost_events += entries_[entry].handle_crash();
    }

    void fail_online(const engine_work_ptr& it)
    {
        ++result_.online.failed;
        end_online(it);
    }

    // ---- messages ----

    void exchange_messages()
    {
        for (std::size_t i = 0; i < entries_.size(); ++i)
        {
            // Shifted, so that entries do not send at the same time.
            const auto phase = milliseconds(i);
            if (entry_is_up_[i] &&
                (now_ + phase) % settings_.fleet.message_interval ==
                    milliseconds(0))
                messages_.push_back({now_ + settings_.fleet.message_delay, i,
                                     entries_[i].make_message(time())});
        }
        while (!messages_.empty() && messages_.front().arrives_at <= now_)
        {
            deliver(messages_.front());
            messages_.pop_front();
        }
    }

    void deliver(const message_in_transit& it)
    {
        for (std::size_t i = 0; i < entries_.size(); ++i)
        {
            if (i == it.sender || !entry_is_up_[i])
                continue;
            entries_[i].apply_message(it.content, time());
            changed_entries_.insert(i);
        }
    }

    // ---- targets ----

    void step_targets()
    {
        for (std::size_t t = 0; t < targets_.size(); ++t)
        {
            if (!target_is_up_[t])
                continue;
            busy_slot_ms_ += targets_[t].running();
            targets_[t].step(now_, [this](const engine_work_ptr& it)
                             { handle_completion(it); });
        }
    }

    void handle_completion(const engine_work_ptr& it)
    {
        if (!it->is_batch)
        {
            record_only_event(it);
            answer_times_.push_back(
                static_cast<double>((now_ - it->arrived_at).count()));
            return end_online(it);
        }
        const auto item = running_items_.at(it);
        running_items_.erase(it);
        entries_[it->entry].record_completion(item, time());
        changed_entries_.insert(it->entry);
        ++result_.batch.done;
        if (time() <= item->rank.urgency.due &&
            is_counted(item->rank.urgency.due))
            ++result_.batch.in_time;
    }

    /// Records the time from arrival to start of an online request.
    void record_wait(const engine_work& it)
    {
        if (!it.is_batch)
            wait_times_.push_back(
                static_cast<double>((now_ - it.arrived_at).count()));
    }

    // ---- online requests ----

    void add_online_requests()
    {
        const auto& load = settings_.online;
        const auto cycle = load.low_time + load.high_time;
        const double factor =
            now_ % cycle < load.low_time ? load.low : load.high;
        const double mean = load.per_second * factor / ms_per_second;
        if (mean <= 0)
            return;
        std::poisson_distribution<unsigned> arrivals(mean);
        for (auto n = arrivals(load_random_); n != 0; --n)
        {
            std::exponential_distribution<double> events(1 / load.events);
            const double length = 1 + events(load_random_);
            handle_online_request(choose_entry(), length);
        }
    }

    /// Returns a random entry that is up, as the load balancer would choose it,
    /// or std::nullopt if all are down. Draws one random number in any case, so
    /// that the later load does not depend on the faults.
    std::optional<std::size_t> choose_entry()
    {
        std::vector<std::size_t> up;
        const auto drawn = load_random_();
        for (std::size_t i = 0; i < entries_.size(); ++i)
        {
            if (entry_is_up_[i])
                up.push_back(i);
        }
        if (up.empty())
            return std::nullopt;
        return up[drawn % up.size()];
    }

    /// Sends a request that arrives at `entry`. It fails if no entry is up.
    void handle_online_request(std::optional<std::size_t> entry, double events)
    {
        ++result_.online.requests;
        if (!entry)
        {
            ++result_.online.failed;
            return;
        }
        auto& model = entries_[*entry];
        for (int n = 0; n < max_sends; ++n)
        {
            const auto target = model.choose_online(time());
            if (!target)
            {
                ++result_.online.refused;
                return;
            }
            if (target_is_up_[*target])
                return send_online(*entry, *target, events);
            model.record_unreachable(*target, time());
        }
        ++result_.online.failed;
    }

    void send_online(std::size_t entry, std::size_t target, double events)
    {
        if (targets_[target].running() >= settings_.fleet.slots &&
            !preempt(entry, target))
            ++result_.online.queued;
        const auto work = make_work(entry, target, false);
        work->prompt_tokens = settings_.online.prompt_tokens;
        work->events_left = events;
        open_requests_.push_back({work});
        entries_[entry].add_use(target, false);
        targets_[target].add(work);
    }

    engine_work_ptr make_work(std::size_t entry, std::size_t target,
                              bool is_batch) const
    {
        engine_work_ptr work(new engine_work);
        work->entry = entry;
        work->target = target;
        work->is_batch = is_batch;
        work->arrived_at = now_;
        return work;
    }

    /// Records the first events of requests that are still running.
    void record_first_events()
    {
        for (auto& it : open_requests_)
        {
            if (it.has_event || it.work->events_made <= 0)
                continue;
            it.has_event = true;
            record_first_event(*it.work);
        }
    }

    /// Records the first event of a completed request if it is the last one
    /// too.
    void record_only_event(const engine_work_ptr& work)
    {
        const auto it =
            std::ranges::find(open_requests_, work, &open_request::work);
        if (!it->has_event)
            record_first_event(*work);
    }

    void record_first_event(const engine_work& work)
    {
        const auto elapsed = now_ - work.arrived_at;
        first_event_times_.push_back(static_cast<double>(elapsed.count()));
        if (elapsed <= settings_.online.objective)
            ++result_.online.in_time;
    }

    void end_online(const engine_work_ptr& work)
    {
        entries_[work->entry].remove_use(work->target, false);
        changed_entries_.insert(work->entry);
        std::erase_if(open_requests_,
                      [&](const open_request& it) { return it.work == work; });
    }

    // ---- batch items ----

    void add_jobs()
    {
        const auto& load = settings_.batch;
        if (load.jobs_per_second <= 0)
            return;
        std::poisson_distribution<unsigned> arrivals(load.jobs_per_second /
                                                     ms_per_second);
        for (auto n = arrivals(load_random_); n != 0; --n)
            add_job();
    }

    void add_job()
    {
        const auto& load = settings_.batch;
        const auto due = time() + load.due_after;
        const auto entry = choose_entry();
        std::normal_distribution<double> events(load.events,
                                                load.events * load.spread);
        ++job_count_;
        for (std::uint32_t i = 0; i < load.items; ++i)
        {
            const double length = std::max(1.0, events(load_random_));
            if (is_counted(due))
                ++result_.batch.due;
            if (!entry)
                continue;
            model_item_ptr item(new model_item);
            item->number = ++item_count_;
            item->rank = {{false, due}, job_count_, i};
            item->events = length;
            entries_[*entry].add_item(item);
            changed_entries_.insert(*entry);
        }
    }

    /// Returns true if an item with this due time is due before the end of the
    /// emulation. Only those items count in the result.
    bool is_counted(common::time_point due) const
    {
        return due - time() <= settings_.length - now_;
    }

    void run_periodic_checks()
    {
        for (std::size_t i = 0; i < entries_.size(); ++i)
        {
            if (!entry_is_up_[i])
                continue;
            auto& it = entries_[i];
            if (is_time_for(late_interval))
            {
                it.expire_peers(time());
                it.mark_late_items(time());
                changed_entries_.insert(i);
            }
            if (is_time_for(progress_interval))
                it.record_progress(time());
        }
    }

    /// Starts items of each entry whose state has changed, as long as there are
    /// slots.
    void start_items()
    {
        for (const auto e : std::exchange(changed_entries_, {}))
        {
            while (entry_is_up_[e])
            {
                const auto next = entries_[e].next_start(time());
                if (!next)
                    break;
                if (target_is_up_[next->target])
                    send_item(e, *next);
                else
                    entries_[e].record_unreachable(next->target, time());
            }
        }
    }

    void send_item(std::size_t entry, const entry_model::item_start& it)
    {
        const auto work = make_work(entry, it.target, true);

        // A run that continues an earlier one reads the events generated so far
        // as part of its prompt.
        work->prompt_tokens =
            settings_.batch.prompt_tokens +
            it.item->events_made * settings_.fleet.tokens_per_event;
        work->events_left = it.item->events - it.item->events_made;
        running_items_[work] = it.item;
        entries_[entry].handle_start(it.item, work, time());
        targets_[it.target].add(work);
    }

    /// Preempts one item of an entry at a target. Returns false if it has none
    /// there.
    bool preempt(std::size_t entry, std::size_t target)
    {
        const auto item = entries_[entry].choose_item_to_preempt(target);
        if (!item)
            return false;
        targets_[target].remove(item->work);
        stop_item(item->work);
        ++result_.batch.preempted;
        return true;
    }

    /// Ends a run before its completion. `work` is passed by value because the
    /// item may hold the last other reference to it.
    void stop_item(engine_work_ptr work)
    {
        const auto item = running_items_.at(work);
        running_items_.erase(work);
        entries_[work->entry].handle_stop(item, time());
        changed_entries_.insert(work->entry);
    }

    /// Entries preempt items at targets with more requests than slots. All
    /// entries compute the same order of items, so that they do not all preempt
    /// one for the same request.
    void preempt_excess()
    {
        for (std::size_t e = 0; e < entries_.size(); ++e)
        {
            for (std::size_t t = 0; t < targets_.size(); ++t)
            {
                for (auto n = entries_[e].count_items_to_preempt(t); n != 0;
                     --n)
                    preempt(e, t);
            }
        }
    }

    // ---- result ----

    void record_sample()
    {
        if (!is_time_for(sample_interval))
            return;
        fleet_sample it;
        it.at = now_;
        for (const auto& entry : entries_)
        {
            it.batch_running += entry.running().size();
            it.batch_waiting += entry.pending();
        }
        std::size_t running = 0;
        for (const auto& target : targets_)
            running += target.running();
        it.online_running = std::min(running, open_requests_.size());
        it.online_waiting = open_requests_.size() - it.online_running;
        result_.samples.push_back(it);
    }

    emulation_result finish()
    {
        constexpr double p50 = 0.5;
        constexpr double p99 = 0.99;
        auto& online = result_.online;
        online.wait_p50_ms = quantile(wait_times_, p50);
        online.wait_p99_ms = quantile(wait_times_, p99);
        online.first_event_p50_ms = quantile(first_event_times_, p50);
        online.first_event_p99_ms = quantile(first_event_times_, p99);
        online.answer_p50_ms = quantile(answer_times_, p50);
        online.answer_p99_ms = quantile(answer_times_, p99);
        const auto available_slot_ms =
            static_cast<double>(settings_.fleet.slots) *
            static_cast<double>(targets_.size()) *
            static_cast<double>(settings_.length.count());
        result_.use = static_cast<double>(busy_slot_ms_) / available_slot_ms;
        return std::move(result_);
    }

    emulation_settings settings_;

    /// The load has a random generator of its own, so that it is the same for
    /// all policies.
    std::mt19937_64 load_random_;
    std::mt19937_64 choice_random_;
    routing::placement placement_;
    std::deque<engine_model> targets_;
    std::deque<entry_model> entries_;
    std::vector<bool> target_is_up_;
    std::vector<bool> entry_is_up_;

    /// Entries whose state has changed since they last tried to start items.
    std::set<std::size_t> changed_entries_;
    std::deque<message_in_transit> messages_;
    std::deque<open_request> open_requests_;

    /// Running items by their run.
    std::map<engine_work_ptr, model_item_ptr> running_items_;
    std::uint64_t job_count_ = 0;
    std::uint64_t item_count_ = 0;

    /// Sum over all steps of the running requests.
    std::uint64_t busy_slot_ms_ = 0;

    /// Times from the arrival of online requests to their start, first event
    /// and last event, in milliseconds.
    std::vector<double> wait_times_;
    std::vector<double> first_event_times_;
    std::vector<double> answer_times_;
    emulation_result result_;
    milliseconds now_{0};
};

} // namespace

emulation_result emulate(const emulation_settings& settings)
{
    return emulator(settings).run();
}

} // namespace tanagertrack::bench
