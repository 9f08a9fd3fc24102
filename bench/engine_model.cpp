#include "bench/engine_model.hpp"

#include "common/hash.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace tanagertrack::bench
{

using std::chrono::milliseconds;

engine_model::engine_model(const fleet_settings& settings, std::uint64_t seed,
                           std::size_t number)
    : settings_(settings),
      noise_seed_(common::hash64("target " + std::to_string(number), seed))
{
}

void engine_model::add(const engine_work_ptr& work)
{
    waiting_.push_back(work);
    start_waiting();
}

void engine_model::remove(const engine_work_ptr& work)
{
    std::erase(waiting_, work);
    std::erase(running_, work);
    start_waiting();
}

std::vector<engine_work_ptr> engine_model::clear()
{
    auto all = std::exchange(running_, {});
    all.insert(all.end(), waiting_.begin(), waiting_.end());
    waiting_.clear();
    return all;
}

void engine_model::start_waiting()
{
    while (running_.size() < settings_.slots && !waiting_.empty())
    {
        running_.push_back(waiting_.front());
        waiting_.pop_front();
        if (on_start_)
            on_start_(*running_.back());
    }
}

bool engine_model::is_slowed(milliseconds now) const
{
    constexpr std::uint64_t resolution = 1000000;
    const auto period = now / settings_.noise_time;
    const auto drawn =
        common::hash64(std::to_string(period), noise_seed_) % resolution;
    return static_cast<double>(drawn) <
           settings_.noise_share * static_cast<double>(resolution);
}

double engine_model::read_prompts(double budget_ms)
{
    for (const auto& it : running_)
    {
        const double read_ms = std::min(
            budget_ms, it->prompt_tokens / settings_.prompt_tokens_per_ms);
        it->prompt_tokens -= read_ms * settings_.prompt_tokens_per_ms;
        budget_ms -= read_ms;
    }
    return budget_ms;
}

void engine_model::step(
    milliseconds now,
    const std::function<void(const engine_work_ptr&)>& on_completed)
{
    // Time for which the target works in this millisecond of simulated time, as
    // it would without a slowdown.
    double budget_ms =
        (is_slowed(now) ? 1 / settings_.noise_slowdown : 1) / slowdown_;
    budget_ms = read_prompts(budget_ms);
    const double step_ms =
        settings_.step_ms +
        settings_.step_ms_per_request * static_cast<double>(running_.size());
    const double events = budget_ms / step_ms / settings_.tokens_per_event;
    std::vector<engine_work_ptr> completed;
    for (const auto& it : running_)
    {
        it->events_made += std::min(events, it->events_left);
        it->events_left -= events;
        if (it->events_left <= 0)
            completed.push_back(it);
    }
    for (const auto& it : completed)
    {
        std::erase(running_, it);
        on_completed(it);
    }
    start_waiting();
}

} // namespace tanagertrack::bench
