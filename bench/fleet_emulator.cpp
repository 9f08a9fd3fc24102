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

/// Times of the entries' periodic looks.
constexpr auto late_interval = milliseconds(50);
constexpr auto progress_interval = milliseconds(500);
constexpr auto sample_interval = milliseconds(100);

/// Slowdown of targets that don't tell it.
constexpr double hidden_slowdown = 4;

/// Targets that an online request tries.
constexpr int max_sends = 3;

constexpr double ms_per_second = 1000;

/// An online request that has no event yet, or is not done.
struct open_request
{
    engine_work_ptr work;
    bool has_event = false;
};

/// A message on its way.
struct message_on_way
{
    milliseconds arrives{0};
    std::size_t from = 0;
    peers::LoadMessage content;
};

double percentile(std::vector<double>& values, double share)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(last * share)];
}

class emulator
{
public:
    explicit emulator(const emulation_settings& settings)
        : settings_(settings), load_random_(settings.seed),
          choice_random_(settings.seed + 1), place_(make_placement())
    {
        for (std::size_t i = 0; i < settings.fleet.targets; ++i)
        {
            targets_.emplace_back(settings_.fleet, settings.seed, i);
            targets_.back().on_start([this](const engine_work& it)
                                     { note_run(it); });
        }
        for (std::size_t i = 0; i < settings.fleet.entries; ++i)
            entries_.emplace_back(settings_, "entry-" + std::to_string(i),
                                  place_);
        target_is_up_.assign(targets_.size(), true);
        entry_is_up_.assign(entries_.size(), true);
    }

    emulation_result run()
    {
        for (; now_ < settings_.length; ++now_)
        {
            begin_and_end_troubles();
            exchange();
            work();
            note_first_events();
            add_online();
            add_jobs();
            yield();
            look();
            start_items();
            sample();
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

    /// Past the first moment of the clock, so that nothing seems avoided.
    common::time_point time() const
    {
        return common::time_point(std::chrono::hours(1)) + now_;
    }

    bool is_time_for(milliseconds interval) const
    {
        return now_ % interval == milliseconds(0);
    }

    // ---- troubles ----

    void begin_and_end_troubles()
    {
        for (const auto& it : settings_.troubles)
        {
            if (now_ == it.at)
                set_up(it, false);
            if (now_ == it.at + it.length)
                set_up(it, true);
        }
    }

    void set_up(const trouble& it, bool is_up)
    {
        if (it.what == trouble::kind::targets_slow)
            return set_slowdown(it.count, is_up ? 1 : hidden_slowdown);
        const bool are_targets = it.what == trouble::kind::targets_down;
        auto& all = are_targets ? target_is_up_ : entry_is_up_;
        for (std::size_t i = 0; i < std::min(it.count, all.size()); ++i)
        {
            all[i] = is_up;
            if (is_up)
                continue;
            if (are_targets)
                lose_target(i);
            else
                lose_entry(i);
        }
    }

    void set_slowdown(std::size_t count, double factor)
    {
        for (std::size_t i = 0; i < std::min(count, targets_.size()); ++i)
            targets_[i].set_slowdown(factor);
    }

    void lose_target(std::size_t target)
    {
        for (const auto& it : targets_[target].clear())
        {
            if (it->is_batch)
                stop_item(it);
            else
                fail_online(it);
        }
    }

    void lose_entry(std::size_t entry)
    {
        for (const auto& it : std::deque(open_))
        {
            if (it.work->entry != entry)
                continue;
            targets_[it.work->target].remove(it.work);
            fail_online(it.work);
        }
        for (const auto& it : entries_[entry].running())
        {
            targets_[it->work->target].remove(it->work);
            items_.erase(it->work);
        }
        result_.batch.lost_events += entries_[entry].lose_state();
    }

    void fail_online(const engine_work_ptr& it)
    {
        ++result_.online.failed;
        end_online(it);
    }

    // ---- messages ----

    void exchange()
    {
        for (std::size_t i = 0; i < entries_.size(); ++i)
        {
            // Entries don't send at the same time.
            const auto phase = milliseconds(i);
            if (entry_is_up_[i] &&
                (now_ + phase) % settings_.fleet.message_interval ==
                    milliseconds(0))
                sent_.push_back({now_ + settings_.fleet.message_delay, i,
                                 entries_[i].make_message(time())});
        }
        while (!sent_.empty() && sent_.front().arrives <= now_)
        {
            deliver(sent_.front());
            sent_.pop_front();
        }
    }

    void deliver(const message_on_way& it)
    {
        for (std::size_t i = 0; i < entries_.size(); ++i)
        {
            if (i == it.from || !entry_is_up_[i])
                continue;
            entries_[i].take_message(it.content, time());
            is_changed_.insert(i);
        }
    }

    // ---- targets ----

    void work()
    {
        for (std::size_t t = 0; t < targets_.size(); ++t)
        {
            if (!target_is_up_[t])
                continue;
            used_ += targets_[t].running();
            targets_[t].step(now_,
                             [this](const engine_work_ptr& it) { end(it); });
        }
    }

    void end(const engine_work_ptr& it)
    {
        if (!it->is_batch)
        {
            note_first_event(it);
            answers_.push_back(
                static_cast<double>((now_ - it->arrived).count()));
            return end_online(it);
        }
        const auto item = items_.at(it);
        items_.erase(it);
        entries_[it->entry].record_completion(item, time());
        is_changed_.insert(it->entry);
        ++result_.batch.done;
        if (time() <= item->rank.urgency.due &&
            is_counted(item->rank.urgency.due))
            ++result_.batch.in_time;
    }

    void note_run(const engine_work& it)
    {
        if (!it.is_batch)
            waits_.push_back(static_cast<double>((now_ - it.arrived).count()));
    }

    // ---- online requests ----

    void add_online()
    {
        const auto& load = settings_.online;
        const auto cycle = load.low_time + load.high_time;
        const double share =
            now_ % cycle < load.low_time ? load.low : load.high;
        const double mean = load.per_second * share / ms_per_second;
        if (mean <= 0)
            return;
        std::poisson_distribution<unsigned> arrivals(mean);
        for (auto n = arrivals(load_random_); n != 0; --n)
        {
            std::exponential_distribution<double> events(1 / load.events);
            const double length = 1 + events(load_random_);
            take_online(choose_entry(), length);
        }
    }

    /// The balancer's choice among the entries that are up.
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

    void take_online(std::optional<std::size_t> where, double events)
    {
        ++result_.online.requests;
        if (!where)
        {
            ++result_.online.failed;
            return;
        }
        auto& entry = entries_[*where];
        for (int n = 0; n < max_sends; ++n)
        {
            const auto target = entry.choose_online(time());
            if (!target)
            {
                ++result_.online.refused;
                return;
            }
            if (target_is_up_[*target])
                return send_online(*where, *target, events);
            entry.note_unreachable(*target, time());
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
        open_.push_back({work});
        entries_[entry].add_use(target, false);
        targets_[target].enter(work);
    }

    engine_work_ptr make_work(std::size_t entry, std::size_t target,
                              bool is_batch) const
    {
        engine_work_ptr work(new engine_work);
        work->entry = entry;
        work->target = target;
        work->is_batch = is_batch;
        work->arrived = now_;
        return work;
    }

    void note_first_events()
    {
        for (auto& it : open_)
        {
            if (it.has_event || it.work->events_made <= 0)
                continue;
            it.has_event = true;
            add_first_event(*it.work);
        }
    }

    /// The last event may be the first one.
    void note_first_event(const engine_work_ptr& work)
    {
        const auto it = std::ranges::find(open_, work, &open_request::work);
        if (!it->has_event)
            add_first_event(*work);
    }

    void add_first_event(const engine_work& work)
    {
        const auto taken = now_ - work.arrived;
        first_events_.push_back(static_cast<double>(taken.count()));
        if (taken <= settings_.online.objective)
            ++result_.online.in_time;
    }

    void end_online(const engine_work_ptr& work)
    {
        entries_[work->entry].end_use(work->target, false);
        is_changed_.insert(work->entry);
        std::erase_if(open_,
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
        ++jobs_;
        for (std::uint32_t i = 0; i < load.items; ++i)
        {
            const double length = std::max(1.0, events(load_random_));
            if (is_counted(due))
                ++result_.batch.due;
            if (!entry)
                continue;
            model_item_ptr item(new model_item);
            item->number = ++n_items_;
            item->rank = {{false, due}, jobs_, i};
            item->events = length;
            entries_[*entry].add_item(item);
            is_changed_.insert(*entry);
        }
    }

    /// Whether the outcome of an item is known at the end.
    bool is_counted(common::time_point due) const
    {
        return due - time() <= settings_.length - now_;
    }

    void look()
    {
        for (std::size_t i = 0; i < entries_.size(); ++i)
        {
            if (!entry_is_up_[i])
                continue;
            auto& it = entries_[i];
            if (is_time_for(late_interval))
            {
                it.expire_peers(time());
                it.find_late(time());
                is_changed_.insert(i);
            }
            if (is_time_for(progress_interval))
                it.record_progress(time());
        }
    }

    /// Each entry whose knowledge has changed looks for places.
    void start_items()
    {
        for (const auto e : std::exchange(is_changed_, {}))
        {
            while (entry_is_up_[e])
            {
                const auto next = entries_[e].next_start(time());
                if (!next)
                    break;
                if (target_is_up_[next->target])
                    send_item(e, *next);
                else
                    entries_[e].note_unreachable(next->target, time());
            }
        }
    }

    void send_item(std::size_t entry, const entry_model::start& it)
    {
        const auto work = make_work(entry, it.target, true);

        // A run that goes on reads what was made before as well.
        work->prompt_tokens =
            settings_.batch.prompt_tokens +
            it.item->events_made * settings_.fleet.tokens_per_event;
        work->events_left = it.item->events - it.item->events_made;
        items_[work] = it.item;
        entries_[entry].note_started(it.item, work, time());
        targets_[it.target].enter(work);
    }

    /// Takes an item of an entry back from a target.
    bool preempt(std::size_t entry, std::size_t target)
    {
        const auto item = entries_[entry].choose_preempted(target);
        if (!item)
            return false;
        targets_[target].remove(item->work);
        stop_item(item->work);
        ++result_.batch.preempted;
        return true;
    }

    /// By value: the item gives its reference up.
    void stop_item(engine_work_ptr work)
    {
        const auto item = items_.at(work);
        items_.erase(work);
        entries_[work->entry].note_stopped(item, time());
        is_changed_.insert(work->entry);
    }

    /// Entries take items back from targets that are too full, in one order.
    void yield()
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

    void sample()
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
        it.online_running = std::min(running, open_.size());
        it.online_waiting = open_.size() - it.online_running;
        result_.samples.push_back(it);
    }

    emulation_result finish()
    {
        constexpr double half = 0.5;
        constexpr double high = 0.99;
        auto& online = result_.online;
        online.wait_p50_ms = percentile(waits_, half);
        online.wait_p99_ms = percentile(waits_, high);
        online.first_event_p50_ms = percentile(first_events_, half);
        online.first_event_p99_ms = percentile(first_events_, high);
        online.answer_p50_ms = percentile(answers_, half);
        online.answer_p99_ms = percentile(answers_, high);
        const auto places = static_cast<double>(settings_.fleet.slots) *
                            static_cast<double>(targets_.size()) *
                            static_cast<double>(settings_.length.count());
        result_.use = static_cast<double>(used_) / places;
        return std::move(result_);
    }

    emulation_settings settings_;

    /// The load is drawn apart from the choices, so that policies meet the
    /// same one.
    std::mt19937_64 load_random_;
    std::mt19937_64 choice_random_;
    routing::placement place_;
    std::deque<engine_model> targets_;
    std::deque<entry_model> entries_;
    std::vector<bool> target_is_up_;
    std::vector<bool> entry_is_up_;

    /// Entries that learnt something since they last looked for places.
    std::set<std::size_t> is_changed_;
    std::deque<message_on_way> sent_;
    std::deque<open_request> open_;
    std::map<engine_work_ptr, model_item_ptr> items_;
    std::uint64_t jobs_ = 0;
    std::uint64_t n_items_ = 0;
    std::uint64_t used_ = 0;
    std::vector<double> waits_;
    std::vector<double> first_events_;
    std::vector<double> answers_;
    emulation_result result_;
    milliseconds now_{0};
};

} // namespace

emulation_result emulate(const emulation_settings& settings)
{
    return emulator(settings).run();
}

} // namespace tanagertrack::bench
