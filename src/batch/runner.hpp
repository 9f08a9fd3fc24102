#ifndef TANAGERTRACK_BATCH_RUNNER_HPP
#define TANAGERTRACK_BATCH_RUNNER_HPP

#include "batch/attempt_decision.hpp"
#include "batch/environment.hpp"
#include "batch/intake.hpp"
#include "batch/item_run.hpp"
#include "batch/job_log.hpp"
#include "batch/part_loader.hpp"
#include "batch/peer_reservation.hpp"
#include "batch/pending_items.hpp"
#include "batch/progress_recorder.hpp"
#include "batch/result_recorder.hpp"
#include "batch/run_time_estimate.hpp"
#include "batch/text_store.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::batch
{

/// Loaded items by state, and totals since the start of the process.
struct runner_counts
{
    /// Items that wait for a slot, and those with a running attempt.
    std::size_t pending = 0;
    std::size_t running = 0;

    /// Attempts that were started.
    std::uint64_t started = 0;

    /// Items that ended, by their final state, see `proto::ItemState`.
    std::uint64_t done = 0;
    std::uint64_t dead = 0;
    std::uint64_t unknown = 0;

    /// Attempts that were stopped to free a slot for online work.
    std::uint64_t preempted = 0;
};

/// Runs the items of the jobs that are assigned to this process, in slots of
/// targets that online work does not use. Not thread-safe: all calls are made
/// on the thread of the io_context.
class runner
{
public:
    /// All arguments must outlive the runner. `submissions` must be constructed
    /// first: listeners of the log are called in the order of their
    /// registration, and the runner extracts the items of an accepted job from
    /// `submissions`.
    runner(environment& env, job_log& jobs, text_store& texts,
           result_recorder& recorder, intake& submissions);

    runner(const runner&) = delete;
    runner& operator=(const runner&) = delete;

    /// Starts the periodic checks, which start items.
    void start();

    /// While paused, no item is started; preemptible items that are running are
    /// stopped and wait.
    void set_paused(bool paused);

    /// Hands the work over before a planned stop: stops all preemptible items,
    /// starts no further ones and appends their progress, so that another
    /// process resumes them. `done` is called when the appends have ended,
    /// successfully or not.
    void hand_over(std::function<void()> done);

    /// Frees one slot of a target by preempting an item. Returns false if this
    /// process runs no preemptible item there.
    bool preempt_one(targets::target& target);

    /// Preempts items on targets that have more requests than slots.
    void preempt_excess();

    /// Posts one call that starts items; further calls until then have no
    /// effect.
    void schedule_start();

    /// Returns the items that wait for a slot and may start now, the most
    /// urgent ones first, in at most `max_groups` groups of equal service, job
    /// and urgency. Services without targets are left out.
    std::vector<routing::waiting_items> waiting(std::size_t max_groups) const;

    runner_counts counts() const;

    /// Returns the number of items of a job that are running now.
    std::size_t running_items(std::string_view job) const;

private:
    /// Search for items of a service to start.
    struct service_scan
    {
        std::string service;

        /// Next item to examine.
        item_run_ptr item;

        /// Number of items examined so far.
        std::size_t examined = 0;
    };

    job_listener make_listener();
    void start_items();
    void run_checks();

    // Jobs.
    void add_job(const state::batch_job& job);

    /// Adds and drops jobs and items to match the table, which was replaced by
    /// that of a checkpoint.
    void handle_loaded();

    /// Cancels the items of a job and removes them; nothing is recorded.
    void drop_job(const std::string& id);
    void load_parts(common::time_point now);
    void handle_part(const std::string& job, std::uint32_t first,
                     const std::vector<proto::JobItem>& items);
    void add_items(job_run& run, const state::batch_job& job,
                   std::uint32_t first,
                   const std::vector<proto::JobItem>& items);

    /// Returns true if a service has a target.
    bool has_targets(const std::string& service) const;

    /// Returns true if the job has no loaded item that could start, and few
    /// loaded bytes.
    bool lacks_items(const job_run& run) const;

    /// Looks the routes of the pending items up again if the configuration has
    /// changed.
    void update_routes();

    /// Ends the items whose route was removed some time ago.
    void check_removed_routes(common::time_point now);
    void fail_unrouted_items(const job_run& run,
                             const std::vector<item_run_ptr>& items);

    // Items.
    void remove_item(job_run& run, const item_run_ptr& item);
    void handle_item_result(const std::string& job, std::uint32_t index);

    /// Starts a pending item if it may start now. Returns false if no target of
    /// its service has a free slot.
    bool start_item(const item_run_ptr& item, common::time_point now);

    /// Returns true if the item may start now. Otherwise lets it wait, or
    /// requests the intent of an item that must not run more than once.
    bool may_start(const job_run& run, const item_run_ptr& item,
                   common::time_point now);

    /// Lets an item wait whose prompt crashes targets, and ends it once the
    /// route says that it may be given up.
    void hold_refused_item(const job_run& run, const item_run_ptr& item,
                           std::chrono::milliseconds refused_for,
                           common::time_point now);

    /// Returns whether the time is over after which the route permits to give
    /// the item up; std::nullopt if there is no such time.
    std::optional<bool> has_expired(const job_run& run, const item_run& item,
                                    common::time_point now) const;
    void handle_intent(const proto::ItemIntent& intent,
                       state::intent_result result);
    targets::target_ptr choose_target(const item_run& item,
                                      const std::string& service,
                                      common::time_point now);
    void mark_late_items(common::time_point now);

    /// Returns true if the item is not expected to end by its due time.
    bool is_late(const item_run& item, common::time_point now) const;
    void start_attempt(const job_run& run, const item_run_ptr& item,
                       const targets::target_ptr& target);
    void handle_attempt_end(const item_run_ptr& item,
                            const targets::attempt_end& end);

    /// Decides how an item continues after an attempt at `target`.
    attempt_decision decide(item_run& item, const targets::attempt_end& end,
                            const std::string& target);

    /// Ends the item in a final state and passes its result to the recorder.
    /// The item is removed from its job when the result is read back.
    void finish_item(const item_run_ptr& item, proto::ItemState state,
                     unsigned status, const std::string& target);
    void record_run_time(const item_run& item);
    void requeue(const item_run_ptr& item);

    /// Returns the route of an item in the configuration in effect.
    item_route find_route(const item_run& item) const;
    void interrupt_item(const item_run_ptr& item, std::string_view reason);
    void check_timeouts(common::time_point now);
    targets::attempt_ptr cancel_attempt(const item_run_ptr& item);

    environment& environment_;
    job_log& jobs_;
    text_store& texts_;
    result_recorder& recorder_;
    intake& intake_;
    boost::asio::steady_timer timer_;
    part_loader loader_;
    progress_recorder progress_;
    std::map<std::string, job_run, std::less<>> runs_;

    /// Items that wait for a slot, and those with a running attempt.
    pending_items pending_;
    std::set<item_run_ptr> running_;

    /// Configuration by which the routes of the pending items were looked up.
    fleet::configuration_ptr routes_as_of_;

    /// Slots reserved for other processes, by service.
    std::map<std::string, peer_reservation, std::less<>> reservations_;
    run_time_estimate run_times_;

    /// Serialized size of all loaded items, in bytes.
    std::size_t loaded_bytes_ = 0;
    runner_counts counts_;
    bool paused_ = false;
    bool handed_over_ = false;
    bool start_scheduled_ = false;
};

} // namespace tanagertrack::batch

#endif
