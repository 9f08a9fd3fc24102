#include "slow_targets.hpp"

#include "bench_support.hpp"
#include "report.hpp"
#include "routing/slow_target_detector.hpp"
#include "routing/target_choice.hpp"

#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <utility>

namespace tanagertrack::bench
{

namespace
{

using routing::choice_policy;

constexpr std::size_t target_count = 10;
constexpr std::size_t slow_count = 2;
constexpr double slow_factor = 8;
constexpr double change_interval = 10;
constexpr std::size_t slots = 16;
constexpr unsigned tokens = 20;
constexpr double step_seconds = 0.02;

/// Steps until the first token.
constexpr double prefill_steps = 2;

/// Least time between two statuses of a target, and weight of a new
/// measurement in its smoothed times.
constexpr double status_interval = 0.05;
constexpr double smoothing = 0.2;

constexpr double ms = 1000;
constexpr double us = 1e6;

struct request
{
    double arrived = 0;
    double started = 0;
    double last = 0;
    unsigned tokens = 0;
};

struct target
{
    std::string name;
    double factor = 1;
    std::size_t running = 0;
    std::deque<request> queue;
    double step_us = 0;
    double first_us = 0;
    double last_status = -1;
};

struct event
{
    double at = 0;
    std::size_t index = 0;
    request work;

    bool operator>(const event& other) const
    {
        return at > other.at;
    }
};

struct variant
{
    std::string_view name;
    choice_policy policy;
    bool avoid;
    bool slowed;
};

struct model_settings
{
    double seconds;
    double rate;
    unsigned seed;
};

common::time_point to_time(double seconds)
{
    const std::chrono::duration<double> value(1000 + seconds);
    return common::time_point(
        std::chrono::duration_cast<common::duration>(value));
}

void smooth(double& value, double measured)
{
    value = value == 0 ? measured : value + smoothing * (measured - value);
}

routing::slow_target_settings detector_settings(bool avoid)
{
    routing::slow_target_settings settings;
    settings.enabled = avoid;
    return settings;
}

/// One run of the model.
class model
{
public:
    model(const variant& chosen, const model_settings& settings)
        : variant_(chosen), settings_(settings), random_(settings.seed),
          choice_(chosen.policy,
                  [this](std::size_t n) {
                      return std::uniform_int_distribution<std::size_t>(
                          0, n - 1)(random_);
                  }),
          detector_(detector_settings(chosen.avoid)), targets_(target_count)
    {
        for (std::size_t i = 0; i < target_count; ++i)
            targets_[i].name = "lm-" + std::to_string(i);
    }

    void run()
    {
        std::mt19937 arrivals(settings_.seed);
        std::mt19937 changes(settings_.seed + 1);
        std::exponential_distribution<double> gap(settings_.rate);
        double next = gap(arrivals);
        double change = 0;
        while (next < settings_.seconds)
        {
            const double token = events_.empty() ? next : events_.top().at;
            if (variant_.slowed && change <= std::min(next, token))
            {
                slow_others(changes);
                change += change_interval;
            }
            else if (!events_.empty() && token <= next)
                take_token();
            else
            {
                arrive(next);
                next += gap(arrivals);
            }
        }
    }

    sample_set first_token;
    sample_set whole;

private:
    void slow_others(std::mt19937& random)
    {
        for (auto& it : targets_)
            it.factor = 1;
        std::uniform_int_distribution<std::size_t> any(0, target_count - 1);
        for (std::size_t slowed = 0; slowed < slow_count;)
        {
            auto& it = targets_[any(random)];
            slowed += it.factor == 1 ? 1 : 0;
            it.factor = slow_factor;
        }
    }

    /// Adds the targets that may get a request, as the entry does.
    void collect(double now, bool with_slow)
    {
        for (std::size_t i = 0; i < target_count; ++i)
        {
            const auto& it = targets_[i];
            const double share = detector_.share(it.name, to_time(now));
            if (share <= 0 && !with_slow)
                continue;
            const double load =
                static_cast<double>(it.running + it.queue.size()) / slots;
            usable_.push_back(i);
            candidates_.push_back({load, {}, share > 0 ? share : 1});
        }
    }

    void arrive(double now)
    {
        usable_.clear();
        candidates_.clear();
        collect(now, false);
        if (usable_.empty())
            collect(now, true);
        const auto index = usable_[choice_.choose(candidates_)];
        detector_.chosen(targets_[index].name, to_time(now));
        targets_[index].queue.push_back({now, 0, 0, 0});
        start_waiting(index, now);
    }

    void start_waiting(std::size_t index, double now)
    {
        auto& it = targets_[index];
        while (it.running < slots && !it.queue.empty())
        {
            auto work = it.queue.front();
            it.queue.pop_front();
            ++it.running;
            work.started = now;
            work.last = now;
            events_.push(
                {now + prefill_steps * step_seconds * it.factor, index, work});
        }
    }

    void take_token()
    {
        auto [now, index, work] = events_.top();
        events_.pop();
        auto& it = targets_[index];
        if (work.tokens == 0)
        {
            first_token.add((now - work.arrived) * ms);
            smooth(it.first_us, (now - work.started) * us);
        }
        else
            smooth(it.step_us, (now - work.last) * us);
        work.last = now;
        report_status(it, now);
        if (++work.tokens < tokens)
        {
            events_.push({now + step_seconds * it.factor, index, work});
            return;
        }
        whole.add((now - work.arrived) * ms);
        --it.running;
        start_waiting(index, now);
    }

    void report_status(target& it, double now)
    {
        if (now - it.last_status < status_interval)
            return;
        it.last_status = now;
        detector_.report(it.name, "m",
                         {static_cast<std::uint32_t>(it.step_us),
                          static_cast<std::uint32_t>(it.first_us)},
                         to_time(now));
    }

    variant variant_;
    model_settings settings_;
    std::mt19937_64 random_;
    routing::target_choice choice_;
    routing::slow_target_detector detector_;
    std::vector<target> targets_;
    std::vector<std::size_t> usable_;
    std::vector<routing::candidate> candidates_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
};

constexpr variant variants[] = {
    {"two_choices, none slowed", choice_policy::two_choices, true, false},
    {"two_choices, avoid", choice_policy::two_choices, true, true},
    {"two_choices, ignore", choice_policy::two_choices, false, true},
    {"round_robin", choice_policy::round_robin, false, true},
    {"random", choice_policy::random, false, true},
};

} // namespace

int run_slow_targets(std::span<const std::string> arguments)
{
    const model_settings settings{
        number_option(arguments, "--seconds", 300),
        number_option(arguments, "--rate", 200),
        static_cast<unsigned>(number_option(arguments, "--seed", 20261204))};
    std::printf("seed %u\n", settings.seed);
    report out("slow_targets");
    for (const auto& it : variants)
    {
        model run(it, settings);
        run.run();
        out.add(it.name,
                {{"requests", static_cast<double>(run.first_token.count())},
                 {"first token p50 ms", run.first_token.quantile(0.5)},
                 {"first token p99 ms", run.first_token.quantile(0.99)},
                 {"whole p50 ms", run.whole.quantile(0.5)},
                 {"whole p99 ms", run.whole.quantile(0.99)}});
    }
    return out.write_json(option(arguments, "--json", "")) ? 0 : 1;
}

} // namespace tanagertrack::bench
