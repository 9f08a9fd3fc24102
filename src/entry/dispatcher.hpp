#ifndef TANAGERTRACK_ENTRY_DISPATCHER_HPP
#define TANAGERTRACK_ENTRY_DISPATCHER_HPP

#include "common/clock.hpp"
#include "entry/partition_owner.hpp"
#include "entry/record_cache.hpp"
#include "entry/result_recorder.hpp"
#include "entry/work_gate.hpp"
#include "entry/work_queue.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tanagertrack::entry
{

/// Bounds and times of the dispatch of items.
struct dispatch_settings
{
    std::size_t max_in_flight = 1024;
    std::size_t max_unrecorded_results = 4096;
    std::size_t max_unrecorded_bytes = 32 * 1024 * 1024;
    std::uint32_t max_attempts = 4;
    std::chrono::milliseconds attempt_timeout{120000};
    std::chrono::milliseconds flush_interval{200};

    /// Time in which attempts of a partition that is given back may end.
    std::chrono::milliseconds drain_timeout{2000};
    queue_order order = queue_order::fair_deadline;
};

/// Counts of the dispatcher.
struct dispatch_counts
{
    /// Attempts that run, wait for their intent, or wait to be repeated.
    std::size_t in_flight = 0;
    std::uint64_t attempts = 0;
    std::uint64_t finished = 0;
    std::uint64_t failed = 0;
    std::uint64_t unknown = 0;
    std::uint64_t preempted = 0;
};

/// Starts the pending items of the held partitions, repeats what failed, and
/// records results. One thread.
class dispatcher
{
public:
    /// `may_start` says whether new items may start at all.
    dispatcher(boost::asio::io_context& context, work_gate gate,
               record_cache& cache, dispatch_settings settings,
               std::function<bool()> may_start);
    ~dispatcher();

    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    /// Starts the timer.
    void start();

    /// Takes all jobs of a partition that is held now. `owner` stays valid
    /// until `drop_partition`.
    void add_partition(partition_owner& owner);

    /// Cancels all attempts of a partition that is lost or given back.
    void drop_partition(std::uint32_t partition);

    /// Starts no item of the partition any more; calls `drained` when no
    /// attempt is left and all results are read back, or the partition is
    /// dropped. Attempts that outlast the drain timeout are cancelled.
    void drain_partition(std::uint32_t partition,
                         std::function<void()> drained);

    /// A job of a partition was accepted.
    void add_job(std::uint32_t partition, const state::job& job);

    /// The cancel of a job was read back: ends its attempts.
    void cancel_job(const state::job& job);

    /// The job is no longer in the state.
    void forget_job(const std::string& id);

    /// Attempts of a job that have not ended, and results not read back.
    std::size_t open_work(std::string_view job_id) const;

    const dispatch_counts& counts() const
    {
        return counts_;
    }

    const result_recorder& recorder() const
    {
        return recorder_;
    }

private:
    using run_key = std::uint64_t;

    /// An item on its way, through all its attempts.
    struct item_run
    {
        run_key run = 0;
        std::uint32_t item = 0;
        std::uint32_t attempts = 0;
        bool not_repeatable = false;
        bool intent_recorded = false;
        std::string model;
        std::vector<std::string> excluded;

        /// Text of a preempted attempt; dropped when there is too much.
        std::string text;

        /// Attempt at a target; 0: none runs.
        work_gate::ticket ticket = 0;
    };

    /// Why an attempt failed.
    struct failure
    {
        std::uint32_t code = 0;
        std::uint32_t http_status = 0;
        std::string body;

        /// Another attempt would fail the same way.
        bool final = false;
    };

    /// A job with items that are not finished.
    struct job_run
    {
        run_key key = 0;
        std::string id;
        std::uint32_t partition = 0;
        queued_job rank;

        /// Items before it were started or are finished.
        std::uint32_t next_item = 0;

        /// Items to be started again, before others.
        std::deque<item_run> retries;

        /// Attempts and delayed retries.
        std::size_t in_flight = 0;
        std::size_t unrecorded = 0;

        /// Queue in which the job waits: that of the model of its next item,
        /// as far as known.
        std::string queue;
        bool loading = false;
        bool cancelled = false;
    };

    /// A partition that is held.
    struct partition_run
    {
        partition_owner* owner = nullptr;
        std::size_t in_flight = 0;
        std::function<void()> drained;
        std::optional<common::time_point> drain_end;
    };

    /// Jobs whose next item is for one model.
    struct model_queue
    {
        explicit model_queue(queue_order order) : jobs(order)
        {
        }

        work_queue jobs;
        std::size_t credit = 0;

        /// Jobs of the queue whose next body is being read.
        std::size_t loading = 0;
        bool asked = false;
    };

    void schedule_tick();
    void tick();
    void pump();
    bool has_capacity() const;
    void pick(model_queue& queue);
    void pick_item(job_run& run, const state::job& job);
    bool take_body(job_run& run, const state::job& job, std::uint32_t item,
                   proto::Item& out);
    void load_chunk(job_run& run, const state::chunk_location& chunk);
    void prefetch_after(const job_run& run, const state::job& job,
                        std::uint32_t item);
    void add_ready(job_run& run);
    void remove_ready(job_run& run);
    model_queue& queue_of(const std::string& model);
    void ask_credit(const std::string& model, model_queue& queue);
    void start_item(job_run& run, const state::job& job, item_run it,
                    proto::Item body);
    void append_intent(std::uint64_t id, proto::Item body);
    void send_item(std::uint64_t id, proto::Item body);
    void finish_attempt(std::uint64_t id, attempt_end end);
    void take_outcome(job_run& run, item_run it, const attempt_end& end,
                      const proto::WorkFinished& outcome);
    void take_outcome(job_run& run, item_run it, const attempt_end& end,
                      const proto::WorkFailed& outcome);
    void take_outcome(job_run& run, item_run it, const attempt_end& end,
                      const proto::WorkPreempted& outcome);
    void take_outcome(job_run& run, item_run it, const attempt_end& end,
                      const proto::WorkRefused& outcome);
    void take_outcome(job_run& run, item_run it, const attempt_end& end,
                      const no_target_now& outcome);
    void fail_attempt(job_run& run, item_run it, const attempt_end& end,
                      const failure& why);
    void retry_later(job_run& run, item_run it,
                     std::chrono::milliseconds delay);
    void release_item(job_run& run);
    void record_result(job_run& run, const item_run& it,
                       proto::ItemResult result);
    void record_unknown(job_run& run, const item_run& it,
                        const std::string& target);
    void note_recorded(const std::string& job_id, std::size_t count);
    void cancel_attempts(const std::function<bool(const item_run&)>& chosen,
                         bool record);
    void drop_retries(job_run& run);
    void end_drains(common::time_point now);
    job_run* find_run(run_key key);
    const state::job* find_job(const job_run& run) const;
    void erase_if_done(run_key key);

    boost::asio::io_context& context_;
    work_gate gate_;
    record_cache& cache_;
    dispatch_settings settings_;
    result_recorder recorder_;
    std::function<bool()> may_start_;
    boost::asio::steady_timer timer_;
    dispatch_counts counts_;
    run_key last_key_ = 0;
    std::uint64_t last_item_ = 0;
    std::size_t text_bytes_ = 0;
    std::size_t loading_ = 0;
    std::unordered_map<run_key, job_run> runs_;
    std::map<std::string, run_key, std::less<>> run_ids_;
    std::unordered_map<std::uint64_t, item_run> items_;
    std::multimap<common::time_point, item_run> delayed_;
    std::map<std::uint32_t, partition_run> partitions_;
    std::map<std::string, model_queue> queues_;
    bool pumping_ = false;
    bool pump_again_ = false;

    /// Expires with this object; guards answers that are on their way.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace tanagertrack::entry

#endif
