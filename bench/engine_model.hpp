#ifndef TANAGERTRACK_BENCH_ENGINE_MODEL_HPP
#define TANAGERTRACK_BENCH_ENGINE_MODEL_HPP

#include "bench/emulation_settings.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

namespace tanagertrack::bench
{

/// An online request or a run of a batch item at a target.
struct engine_work
    : boost::intrusive_ref_counter<engine_work, boost::thread_unsafe_counter>
{
    std::size_t entry = 0;
    std::size_t target = 0;
    bool is_batch = false;

    /// Simulated time at which it was sent.
    std::chrono::milliseconds arrived_at{0};

    /// Prompt tokens that are not read yet, and events that are not generated
    /// yet.
    double prompt_tokens = 0;
    double events_left = 0;

    /// Events that were generated.
    double events_made = 0;
};

using engine_work_ptr = boost::intrusive_ptr<engine_work>;

/// Model of a target. Requests start in the order of their arrival as slots
/// become free, and all running requests generate tokens in common steps. While
/// a prompt is read, no tokens are generated. Each call of `step` advances the
/// simulated time by 1 ms.
class engine_model
{
public:
    /// `seed` and `number`, the index of the target, select the periods in
    /// which the target is slowed by noise. `settings` must outlive the object.
    engine_model(const fleet_settings& settings, std::uint64_t seed,
                 std::size_t number);

    /// Adds a request. It starts at once if a slot is free.
    void add(const engine_work_ptr& work);

    /// Removes a request, as if its connection was closed.
    void remove(const engine_work_ptr& work);

    /// Removes all requests and returns them.
    std::vector<engine_work_ptr> clear();

    /// Advances by 1 ms of simulated time. Calls `on_completed` for each
    /// request that generated its last event.
    void step(std::chrono::milliseconds now,
              const std::function<void(const engine_work_ptr&)>& on_completed);

    std::size_t running() const
    {
        return running_.size();
    }

    std::size_t waiting() const
    {
        return waiting_.size();
    }

    /// Sets a hook that is called when a request starts to run.
    void on_start(std::function<void(const engine_work&)> hook)
    {
        on_start_ = std::move(hook);
    }

    /// Divides the speed of the target by `factor`, in addition to the noise.
    void set_slowdown(double factor)
    {
        slowdown_ = factor;
    }

private:
    /// Starts waiting requests while slots are free.
    void start_waiting();

    /// Returns true if noise slows the target at this time. Depends only
    /// on the seed, the number of the target and the time, so that the noise is
    /// the same for all policies.
    bool is_slowed(std::chrono::milliseconds now) const;

    /// Reads prompts for at most `budget_ms`. Returns the time that is left.
    double read_prompts(double budget_ms);

    const fleet_settings& settings_;
    std::uint64_t noise_seed_;
    std::vector<engine_work_ptr> running_;
    std::deque<engine_work_ptr> waiting_;
    std::function<void(const engine_work&)> on_start_;
    double slowdown_ = 1;
};

} // namespace tanagertrack::bench

#endif
