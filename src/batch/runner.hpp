#ifndef TANAGERTRACK_BATCH_RUNNER_HPP
#define TANAGERTRACK_BATCH_RUNNER_HPP

#include "batch/environment.hpp"
#include "batch/intake.hpp"
#include "batch/item_run.hpp"
#include "batch/job_log.hpp"
#include "batch/result_recorder.hpp"
#include "batch/text_store.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace tanagertrack::batch
{

/// Counts of a runner.
struct runner_counts
{
    std::size_t pending = 0;
    std::size_t running = 0;
    std::uint64_t started = 0;
    std::uint64_t done = 0;
    std::uint64_t dead = 0;
    std::uint64_t preempted = 0;
};

/// Runs the items of the jobs whose runner is this process, on places of
/// targets that online work leaves. One thread.
class runner
{
public:
    /// All arguments outlive the runner. `intake` was made before, so that it
    /// is told of accepted jobs first.
    runner(environment& shared, job_log& jobs, text_store& texts,
           result_recorder& recorder, intake& submissions);
    ~runner();

    runner(const runner&) = delete;
    runner& operator=(const runner&) = delete;

    /// Starts to run items.
    void start();

    /// Sets whether new items may start at all.
    void set_paused(bool paused);

    /// Ends all runs and starts none. What was reached is appended as
    /// progress, so that another process goes on from there; `done` is called
    /// when the store has it.
    void hand_over(std::function<void()> done);

    /// Frees one place of a target by taking an item back. False: none of
    /// this process runs there.
    bool make_room(targets::target& where);

    /// Takes items back from targets that have more requests than places.
    void yield();

    /// Looks for items to start, soon; several calls share one look.
    void pump_soon();

    runner_counts counts() const;

private:
    /// A job that this process runs.
    struct job_run
    {
        std::string id;
        std::string host;
        common::time_point due;

        /// Order among jobs that are due at the same time.
        std::uint64_t order = 0;

        /// Items by index; those that have ended are gone.
        std::map<std::uint32_t, item_run_ptr> items;

        /// Offsets of parts that could not be read, and when to try again.
        std::vector<std::uint64_t> unread_parts;
        common::time_point read_again_at;

        /// Since when the configuration has no route for the job.
        std::optional<common::time_point> routeless_since;
    };

    /// Order in which items start: due time, then age of the job, then place
    /// in the job.
    using item_rank =
        std::tuple<common::time_point, std::uint64_t, std::uint32_t>;

    /// Service that an item goes to, or why none.
    struct item_route
    {
        const fleet::route* route = nullptr;
        std::string service;
    };

    void pump();
    void take_job(const state::batch_job& job);
    void load_items(const state::batch_job& job);
    void load_part(const std::string& job, std::uint64_t offset);
    void take_part(const std::string& job, std::uint64_t offset,
                   std::error_code ec, const jobs::JobRecord& record);
    void load_unread(job_run& run, common::time_point now);
    void add_items(job_run& run, const state::batch_job& job,
                   std::uint32_t first, const std::vector<jobs::JobItem>& its);
    void load_progress(const item_run_ptr& item,
                       const state::item_progress& progress);
    void drop_job(const std::string& id);
    void drop_item(const std::string& job, std::uint32_t item);
    item_route find_route(job_run& run, const item_run& item);
    void give_up(job_run& run);
    bool start_item(job_run& run, const item_run_ptr& item,
                    const item_route& to);
    std::string write_request(const job_run& run, const item_run& item,
                              const targets::target& where) const;
    void take_end(const item_run_ptr& item, const targets::attempt_end& end);
    void take_answer(const item_run_ptr& item, unsigned status);
    void end_item(const item_run_ptr& item, jobs::ItemState state);
    void requeue(const item_run_ptr& item);
    void stop_attempt(const item_run_ptr& item, std::string_view why);
    void stop_silent(common::time_point now);
    void append_progress(const std::vector<item_run_ptr>& its,
                         const std::vector<state::text_location>& places,
                         const std::function<void()>& done);
    void tick();
    item_rank rank_of(const job_run& run, const item_run& item) const;
    std::uint32_t max_attempts(const std::string& job) const;

    environment& shared_;
    job_log& jobs_;
    text_store& texts_;
    result_recorder& recorder_;
    intake& intake_;
    boost::asio::steady_timer timer_;
    std::map<std::string, std::unique_ptr<job_run>> runs_;
    std::map<item_rank, item_run_ptr> pending_;
    std::set<item_run_ptr> running_;
    runner_counts counts_;
    bool paused_ = false;
    bool handed_over_ = false;
    bool pump_posted_ = false;
};

} // namespace tanagertrack::batch

#endif
