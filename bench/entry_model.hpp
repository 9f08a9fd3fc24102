#ifndef TANAGERTRACK_BENCH_ENTRY_MODEL_HPP
#define TANAGERTRACK_BENCH_ENTRY_MODEL_HPP

#include "batch/peer_reservation.hpp"
#include "batch/preemption.hpp"
#include "batch/run_time_estimate.hpp"
#include "bench/engine_model.hpp"
#include "peers/peer_loads.hpp"
#include "routing/placement.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tanagertrack::bench
{

/// A batch item on its way.
struct model_item
    : boost::intrusive_ref_counter<model_item, boost::thread_unsafe_counter>
{
    /// Number of the item in the load.
    std::uint64_t number = 0;
    batch::item_rank rank;
    double events = 0;
    double events_made = 0;
    double recorded_events = 0;
    common::duration run_time{0};
    common::duration recorded_run_time{0};
    std::optional<common::time_point> first_started;

    /// The present run, and its start.
    engine_work_ptr work;
    common::time_point started_at;

    /// Time under way in all runs.
    common::duration run_time_at(common::time_point now) const
    {
        return work ? run_time + (now - started_at) : run_time;
    }

    /// Events that were made, with those of the present run.
    double events_at_hand() const
    {
        return work ? events_made + work->events_made : events_made;
    }
};

using model_item_ptr = boost::intrusive_ptr<model_item>;

/// Order of items that does not change from run to run.
struct by_number
{
    bool operator()(const model_item_ptr& a, const model_item_ptr& b) const
    {
        return a->number < b->number;
    }
};

using model_item_set = std::set<model_item_ptr, by_number>;

/// The decisions of one entry, made by the entries' own modules, on what it
/// knows: its own requests, and those of others as of their last message.
class entry_model
{
public:
    /// `place` outlives the model.
    entry_model(const emulation_settings& settings, std::string name,
                routing::placement& place);

    const std::string& name() const
    {
        return name_;
    }

    /// Its messages: what it has under way and what waits.
    peers::LoadMessage make_message(common::time_point now);
    void take_message(const peers::LoadMessage& message,
                      common::time_point now);

    /// Drops entries that are silent for too long.
    void expire_peers(common::time_point now);

    /// Counts a request that starts or ends on a target.
    void add_use(std::size_t target, bool is_batch);
    void end_use(std::size_t target, bool is_batch);

    /// A target can't be reached.
    void note_unreachable(std::size_t target, common::time_point now);

    /// Target of an online request; nothing: it is refused.
    std::optional<std::size_t> choose_online(common::time_point now);

    /// Item that gives its place on a target to an online request.
    model_item_ptr choose_preempted(std::size_t target) const;

    /// Items that this entry takes back from a target with too many requests.
    std::uint32_t count_items_to_preempt(std::size_t target) const;

    /// Adds an item that waits.
    void add_item(const model_item_ptr& item);

    /// An item that may start now, and its target.
    struct start
    {
        model_item_ptr item;
        std::size_t target = 0;
    };

    std::optional<start> next_start(common::time_point now);

    /// The item runs, as `work`.
    void note_started(const model_item_ptr& item, engine_work_ptr work,
                      common::time_point now);

    /// The item's run was ended before its time: it waits again.
    void note_stopped(const model_item_ptr& item, common::time_point now);

    /// The item is done.
    void record_completion(const model_item_ptr& item, common::time_point now);

    /// Marks items that can't be in time any more.
    void find_late(common::time_point now);

    /// Records what items have reached.
    void record_progress(common::time_point now);

    /// The process is lost. Items are what was recorded. Returns the events
    /// that have to be made again.
    double lose_state();

    const model_item_set& running() const
    {
        return running_;
    }

    std::size_t pending() const
    {
        return pending_.size();
    }

private:
    std::vector<const routing::target_load*> all_loads() const;
    bool is_late(const model_item& it, common::time_point now) const;
    void refresh(std::size_t target);

    const emulation_settings& settings_;
    batch::batch_order order_;
    std::string name_;
    routing::placement& place_;
    std::vector<routing::target_load> loads_;
    peers::peer_loads peers_;
    std::uint64_t sequence_ = 0;
    std::map<batch::item_rank, model_item_ptr> pending_;
    model_item_set running_;
    batch::peer_reservation reservation_;
    batch::run_time_estimate run_times_;
};

} // namespace tanagertrack::bench

#endif
