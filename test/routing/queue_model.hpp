#ifndef TANAGERTRACK_TEST_ROUTING_QUEUE_MODEL_HPP
#define TANAGERTRACK_TEST_ROUTING_QUEUE_MODEL_HPP

#include "routing/capacity_table.hpp"
#include "routing/placement.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <numeric>
#include <random>
#include <vector>

namespace tanagertrack::test
{

/// Speed of a target in the model.
struct model_curve
{
    /// Time of its work relative to the usual one.
    double relative_time = 1;

    /// Requests from which further ones slow all down; 0: none.
    unsigned knee = 0;

    /// Time and factor of a change of `relative_time` that ends again; 0: none.
    double step_at_s = 0;
    double step_until_s = 0;
    double step_factor = 1;

    /// Increase of `relative_time` in each second.
    double drift_per_s = 0;

    /// Returns the relative time at a time of the run, without disturbances.
    double at(double now_s) const
    {
        const bool in_step = now_s >= step_at_s && now_s < step_until_s;
        return (relative_time + drift_per_s * now_s) *
               (in_step ? step_factor : 1);
    }

    /// Returns the time of a step of the engine with `n` requests in ms.
    double step_ms(unsigned n, double now_s) const
    {
        constexpr double base_ms = 8;
        constexpr double per_request_ms = 0.6;
        constexpr double knee_loss = 0.35;
        const double usual = (base_ms + per_request_ms * n) * at(now_s);
        return knee != 0 && n > knee ? usual * (1 + knee_loss * (n - knee))
                                     : usual;
    }
};

struct model_settings
{
    std::vector<model_curve> curves;
    std::size_t entries = 37;
    routing::placement_policy policy =
        routing::placement_policy::expected_start;
    bool learned = false;
    double length_s = 30;

    /// Requests/s on average, and the factors between which it alternates.
    double rate = 280;
    double low = 0.38;
    double high = 1.85;
    double phase_s = 5.2;

    /// Disturbances: share of time, mean length and factor.
    double disturbed_share = 0.15;
    double disturbance_s = 0.6;
    double disturbance_factor = 2.5;

    /// Extra delay of all events at one entry of this index, in ms.
    std::size_t slow_entry = SIZE_MAX;
    double slow_entry_delay_ms = 0;

    /// Time at which the first target restarts with another speed; 0: never.
    double restart_at_s = 0;
    double restarted_relative_time = 1;
    std::uint64_t seed = 1;
};

struct model_result
{
    std::uint64_t requests = 0;
    std::uint64_t sends = 0;
    std::uint64_t turned_away = 0;
    std::uint64_t late = 0;
    std::vector<double> first_event_ms;
    std::vector<std::uint64_t> started;

    /// Estimates of the entries at the times that `on_second` is called are
    /// read by the test itself.
    double quantile(double fraction)
    {
        const auto it =
            first_event_ms.begin() +
            static_cast<std::ptrdiff_t>(
                fraction * static_cast<double>(first_event_ms.size() - 1));
        std::nth_element(first_event_ms.begin(), it, first_event_ms.end());
        return *it;
    }

    double mean_ms() const
    {
        return std::accumulate(first_event_ms.begin(), first_event_ms.end(),
                               0.0) /
               static_cast<double>(first_event_ms.size());
    }

    double late_share() const
    {
        return static_cast<double>(late) / static_cast<double>(requests);
    }

    double turned_away_share() const
    {
        return static_cast<double>(turned_away) / static_cast<double>(sends);
    }
};

/// Entries that place requests on targets with continuous batching, in steps of
/// some milliseconds.
class queue_model
{
public:
    explicit queue_model(model_settings settings)
        : settings_(std::move(settings)), arrivals_(settings_.seed),
          disturbances_(settings_.seed + 1), choices_(settings_.seed + 2),
          targets_(settings_.curves.size()), entries_(settings_.entries)
    {
        result_.started.resize(targets_.size());
        for (std::size_t i = 0; i < targets_.size(); ++i)
            targets_[i].curve = settings_.curves[i];
        routing::placement_settings values;
        values.policy = settings_.policy;
        for (std::size_t i = 0; i < entries_.size(); ++i)
        {
            auto& it = entries_[i];
            it.chooser = std::make_unique<routing::placement>(
                values, [this](std::size_t n) { return choices_() % n; });
            it.loads.resize(targets_.size());
            it.next_message_s = message_interval_s() * random(choices_);
            for (std::size_t t = 0; t < targets_.size(); ++t)
            {
                it.loads[t].slots = slots;
                it.loads[t].key = static_cast<std::uint32_t>(t);
                it.pointers.push_back(&it.loads[t]);
                it.table.add_target(it.loads[t].key, "lm", slots, 1);
            }
        }
    }

    /// Called at each full second with its number.
    std::function<void(queue_model&, int)> on_second = [](queue_model&, int) {
    };

    model_result run()
    {
        int second = 0;
        while (now_s_ < settings_.length_s)
        {
            add_arrivals();
            for (std::size_t i = 0; i < targets_.size(); ++i)
                advance(i);
            for (auto& it : entries_)
                exchange(it);
            now_s_ += step_s;
            if (now_s_ >= second + 1)
                on_second(*this, ++second);
        }
        return std::move(result_);
    }

    routing::capacity_estimate estimate(std::size_t entry,
                                        std::size_t target) const
    {
        return entries_[entry].loads[target].capacity;
    }

    double truth(std::size_t target) const
    {
        return targets_[target].curve.at(now_s_);
    }

    /// Returns the requests that a target runs and has waiting.
    std::size_t requests_at(std::size_t target) const
    {
        return targets_[target].requests.size();
    }

    static constexpr unsigned slots = 8;

private:
    static constexpr double step_s = 0.004;
    static constexpr std::size_t queue = 24;
    static constexpr double late_ms = 1000;

    struct request
    {
        std::size_t entry = 0;
        double arrived_s = 0;
        double done = 0; // steps, the first ones read the prompt
        double needed = 0;
        double measured_from_s = -1;
        double measured_done = 0;
        double running = 0;
        double slowdown = 1;
    };

    struct target_state
    {
        model_curve curve;
        std::uint64_t start = 1;
        bool disturbed = false;
        std::deque<request> requests;
    };

    struct entry_state
    {
        std::unique_ptr<routing::placement> chooser;
        std::vector<routing::target_load> loads;
        std::vector<const routing::target_load*> pointers;
        routing::capacity_table table;
        double next_message_s = 0;
        double next_refresh_s = 0;
    };

    static common::time_point at(double seconds)
    {
        return common::time_point(std::chrono::hours(1)) +
               std::chrono::duration_cast<common::duration>(
                   std::chrono::duration<double>(seconds));
    }

    static double random(std::mt19937_64& engine)
    {
        return std::uniform_real_distribution<double>()(engine);
    }

    double message_interval_s() const
    {
        return std::clamp(0.0005 * static_cast<double>(settings_.entries),
                          0.015, 0.4);
    }

    void add_arrivals()
    {
        const bool high =
            std::fmod(now_s_, 2 * settings_.phase_s) > settings_.phase_s;
        const double rate =
            settings_.rate * (high ? settings_.high : settings_.low);
        auto n = std::poisson_distribution<int>(rate * step_s)(arrivals_);
        for (; n > 0; --n)
        {
            request it;
            it.entry = arrivals_() % entries_.size();
            it.arrived_s = now_s_;
            it.needed = 3 + 20 + 80 * random(arrivals_);
            place(it);
        }
    }

    void place(const request& it)
    {
        auto& entry = entries_[it.entry];
        auto candidates = entry.pointers;
        ++result_.requests;
        constexpr int max_sends = 5;
        for (int i = 0; i < max_sends && !candidates.empty(); ++i)
        {
            const auto choice =
                entry.chooser->choose_online(candidates, at(now_s_));
            if (i == 0 && static_cast<double>(choice->wait.count()) > late_ms)
                break; // refused at once, as not run
            const auto key = candidates[choice->index]->key;
            auto& target = targets_[key];
            ++result_.sends;
            if (target.requests.size() < slots + queue)
            {
                target.requests.push_back(it);
                target.requests.back().slowdown =
                    target.disturbed ? settings_.disturbance_factor : 1;
                ++entry.loads[key].own_online;
                ++result_.started[key];
                return;
            }
            ++result_.turned_away;
            entry.table.add_refusal(
                key, static_cast<std::uint32_t>(target.requests.size()),
                at(now_s_));
            candidates.erase(candidates.begin() +
                             static_cast<std::ptrdiff_t>(choice->index));
        }
        ++result_.late;
    }

    void advance(std::size_t index)
    {
        auto& it = targets_[index];
        if (settings_.restart_at_s != 0 && index == 0 && it.start == 1 &&
            now_s_ >= settings_.restart_at_s)
            restart(it);
        const double end_rate = step_s / settings_.disturbance_s;
        const double begin_rate = end_rate * settings_.disturbed_share /
                                  (1 - settings_.disturbed_share);
        if (random(disturbances_) < (it.disturbed ? end_rate : begin_rate))
            it.disturbed = !it.disturbed;
        const auto n = static_cast<unsigned>(
            std::min<std::size_t>(slots, it.requests.size()));
        if (n == 0)
            return;
        constexpr double ms_per_s = 1000;
        const double done = step_s * ms_per_s / it.curve.step_ms(n, now_s_) /
                            (it.disturbed ? settings_.disturbance_factor : 1);
        for (unsigned i = 0; i < n; ++i)
            advance(index, it.requests[i], done, n);
        std::erase_if(it.requests,
                      [](const request& r) { return r.done >= r.needed; });
    }

    void restart(target_state& it)
    {
        it.start = 2;
        it.curve.relative_time = settings_.restarted_relative_time;
        for (auto& entry : entries_)
            entry.table.add_target(0, "lm", slots, 2);
    }

    void advance(std::size_t index, request& it, double done, unsigned n)
    {
        constexpr double prompt_steps = 3;
        constexpr double ms_per_s = 1000;
        it.done += done;
        auto& entry = entries_[it.entry];
        if (it.measured_from_s < 0)
        {
            if (it.done < prompt_steps)
                return;
            const double first_ms = (now_s_ - it.arrived_s) * ms_per_s;
            result_.first_event_ms.push_back(first_ms);
            result_.late += first_ms > late_ms ? 1 : 0;
            begin_measurement(it, n);
            return;
        }
        const bool ended = it.done >= it.needed;
        if (ended || now_s_ - it.measured_from_s >= 0.5)
        {
            const double units = it.done - it.measured_done;
            const bool slow = it.entry == settings_.slow_entry;
            const double delay_s =
                slow ? settings_.slow_entry_delay_ms * units / ms_per_s : 0;
            if (units >= 4)
                entry.table.add_timing(static_cast<std::uint32_t>(index),
                                       {routing::timing_kind::event,
                                        at(it.measured_from_s),
                                        at(now_s_ + delay_s), units,
                                        (it.running + n) / 2, it.slowdown});
            begin_measurement(it, n);
        }
        if (ended)
            --entry.loads[index].own_online;
    }

    void begin_measurement(request& it, unsigned n) const
    {
        it.measured_from_s = now_s_;
        it.measured_done = it.done;
        it.running = n;
    }

    void exchange(entry_state& it)
    {
        if (settings_.learned && now_s_ >= it.next_refresh_s)
        {
            it.next_refresh_s = now_s_ + 0.25;
            it.table.refresh(at(now_s_), [](const auto&) {});
            for (auto& load : it.loads)
                load.capacity = it.table.estimate_of(load.key);
        }
        if (now_s_ < it.next_message_s)
            return;
        it.next_message_s = now_s_ + message_interval_s();

        // The loads of all other entries, as of this moment; they get older
        // until the next message.
        for (std::size_t i = 0; i < targets_.size(); ++i)
            it.loads[i].peer_online =
                static_cast<std::uint32_t>(targets_[i].requests.size()) -
                it.loads[i].own_online;
        if (!settings_.learned)
            return;
        for (const auto& news : it.table.take_news(2, at(now_s_)))
            for (auto& other : entries_)
                if (&other != &it)
                    other.table.add_news(news, at(now_s_));
    }

    model_settings settings_;

    // Separate sources, so that all policies of a seed meet the same requests
    // and disturbances.
    std::mt19937_64 arrivals_;
    std::mt19937_64 disturbances_;
    std::mt19937_64 choices_;
    std::vector<target_state> targets_;
    std::vector<entry_state> entries_;
    model_result result_;
    double now_s_ = 0;
};

} // namespace tanagertrack::test

#endif
