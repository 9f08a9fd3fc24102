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

/// A request or an item on a target.
struct engine_work
    : boost::intrusive_ref_counter<engine_work, boost::thread_unsafe_counter>
{
    std::size_t entry = 0;
    std::size_t target = 0;
    bool is_batch = false;

    /// When it was sent.
    std::chrono::milliseconds arrived{0};

    /// What is left to be read and to be made.
    double prompt_tokens = 0;
    double events_left = 0;

    /// What was made.
    double events_made = 0;
};

using engine_work_ptr = boost::intrusive_ptr<engine_work>;

/// A target that admits requests in the order of their arrival and makes the
/// tokens of all that run in common steps. Reading a prompt holds up the
/// others. One step lasts a millisecond of simulated time.
class engine_model
{
public:
    /// `number` selects the target's noise.
    engine_model(const fleet_settings& settings, std::uint64_t seed,
                 std::size_t number);

    /// Takes a request in.
    void enter(const engine_work_ptr& work);

    /// Drops a request, as when its connection closes.
    void remove(const engine_work_ptr& work);

    /// Drops everything. Returns what was there.
    std::vector<engine_work_ptr> clear();

    /// Lets a millisecond pass; `ended` is called with what is done.
    void step(std::chrono::milliseconds now,
              const std::function<void(const engine_work_ptr&)>& ended);

    /// Requests that run, and those that wait.
    std::size_t running() const
    {
        return running_.size();
    }

    std::size_t waiting() const
    {
        return waiting_.size();
    }

    /// Sets what is called when a request begins to run.
    void on_start(std::function<void(const engine_work&)> hook)
    {
        started_ = std::move(hook);
    }

    /// Makes the target slower than usual by a factor.
    void set_slowdown(double factor)
    {
        slowdown_ = factor;
    }

private:
    void fill();
    bool is_slowed(std::chrono::milliseconds now) const;
    double read_prompts(double budget_ms);

    const fleet_settings& settings_;
    std::uint64_t noise_seed_;
    std::vector<engine_work_ptr> running_;
    std::deque<engine_work_ptr> waiting_;
    std::function<void(const engine_work&)> started_;
    double slowdown_ = 1;
};

} // namespace tanagertrack::bench

#endif
