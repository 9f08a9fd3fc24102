#ifndef TANAGERTRACK_AGENT_ADMISSION_HPP
#define TANAGERTRACK_AGENT_ADMISSION_HPP

#include "agent/batch_limit.hpp"
#include "common/clock.hpp"
#include "common/result_code.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace tanagertrack::agent
{

enum class work_class
{
    online,
    batch
};

enum class admission_policy
{
    /// Online first, with preemption, reserve and limits.
    online_first,

    /// Baseline: one queue in order of arrival, slots for all.
    fifo
};

/// Settings of admission.
struct admission_settings
{
    admission_policy policy = admission_policy::online_first;

    /// Requests that the target carries at a time; at least 1.
    std::uint32_t slots = 16;

    /// Slots that batch leaves free. Batch keeps at least one slot.
    std::uint32_t online_reserve = 2;

    /// Batch items that wait at the agent.
    std::uint32_t batch_stock = 16;

    /// Online requests that wait; further ones are refused.
    std::uint32_t max_queued_online = 256;

    /// Times that an item is preempted before others are preferred.
    std::uint32_t max_preemptions = 3;

    /// An item that runs for this many times the usual time of an item, and
    /// at least for `long_minimum`, is long. Long items hold at most this
    /// part of the batch slots (at least one) while shorter ones wait.
    double long_factor = 8;
    std::chrono::milliseconds long_minimum{100};
    double long_share = 0.25;

    /// Items whose preemptions are remembered.
    std::size_t max_remembered = 1024;

    batch_limit_settings limit;
};

/// One piece of work that asks for a slot.
struct admission_request
{
    /// Unique among the work that is queued or running.
    std::uint64_t id = 0;

    work_class kind = work_class::online;

    /// Whether it may be stopped and run again.
    bool preemptible = false;
    common::time_point deadline;

    /// Identifies a batch item over its preemptions.
    std::string item;

    /// Bytes of text that earlier attempts generated.
    std::size_t text_bytes = 0;
};

/// What is to be done with a piece of work.
struct admission_action
{
    enum class kind
    {
        /// Hand it to the target. It holds a slot until `ended`.
        start,

        /// Stop it at the target. It holds no slot any more.
        preempt,

        /// It has left the queue and was not run.
        refuse
    };

    kind what = kind::start;
    std::uint64_t id = 0;

    /// Reason of a refusal.
    common::result_code code = common::result_code::ok;
};

/// Decides what runs in the target's slots. Pure: time is an argument, and
/// the decisions are returned as actions. One thread.
class admission
{
public:
    explicit admission(admission_settings settings);

    /// Adds work to its queue. The next `decide` starts or refuses it.
    void offer(admission_request request, common::time_point now);

    /// The target generated `bytes` of text for running work.
    void progress(std::uint64_t id, std::size_t bytes, common::time_point now);

    /// Work has ended or was given up, running or queued. Harmless for
    /// unknown work.
    void ended(std::uint64_t id, common::time_point now);

    /// All that is due now; to be called after each change and at
    /// `next_deadline`.
    std::vector<admission_action> decide(common::time_point now);

    /// Refuses all queued work with `code`, and preempts batch items.
    std::vector<admission_action> drain(common::result_code code);

    /// Earliest deadline in the queues; the maximum when they are empty.
    common::time_point next_deadline() const;

    /// Changes the target's slots; at least 1.
    void set_slots(std::uint32_t slots);

    /// Batch items that can be taken now: free batch slots and stock.
    std::uint32_t batch_room(common::time_point now);

    std::uint32_t slots() const
    {
        return settings_.slots;
    }

    std::uint32_t running_online() const
    {
        return running_online_;
    }

    std::uint32_t running_batch() const
    {
        return static_cast<std::uint32_t>(running_.size()) - running_online_;
    }

    std::uint32_t queued_online() const;

    std::uint32_t queued_batch() const;

    /// Measured times and the adaptive limit.
    batch_limit& limit()
    {
        return limit_;
    }

    const batch_limit& limit() const
    {
        return limit_;
    }

private:
    struct running_work
    {
        admission_request request;
        common::time_point started;
        bool is_long = false;
    };

    /// What is known of an item that was preempted.
    struct item_history
    {
        std::uint32_t preemptions = 0;
        bool is_long = false;
    };

    using actions = std::vector<admission_action>;
    using queue = std::deque<admission_request>;

    void refuse_late(queue& from, actions& out, common::time_point now);
    void refuse_late(actions& out, common::time_point now);
    void start_online(actions& out, common::time_point now);
    void start_batch(actions& out, common::time_point now);
    void start_fifo(actions& out, common::time_point now);
    void start(admission_request request, actions& out, common::time_point now);
    bool preempt_cheapest(actions& out);
    void preempt(std::uint64_t id, actions& out);
    void mark_long(common::time_point now);
    void preempt_long(actions& out, common::time_point now);
    std::uint32_t long_limit(common::time_point now);
    std::uint32_t batch_slots(common::time_point now);
    bool has_free_slot() const;
    const item_history* history(const std::string& item) const;
    item_history& remember(const std::string& item);

    admission_settings settings_;
    batch_limit limit_;

    // With policy fifo all work is in `online_`.
    queue online_;
    queue batch_;
    std::unordered_map<std::uint64_t, running_work> running_;
    std::uint32_t running_online_ = 0;
    std::uint32_t long_running_ = 0;

    // Smoothed durations in seconds; 0 without a sample.
    double online_seconds_ = 0;
    double batch_seconds_ = 0;

    std::unordered_map<std::string, item_history> history_;
    std::deque<std::string> history_order_;
};

} // namespace tanagertrack::agent

#endif
