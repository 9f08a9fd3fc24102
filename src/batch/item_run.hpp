#ifndef TANAGERTRACK_BATCH_ITEM_RUN_HPP
#define TANAGERTRACK_BATCH_ITEM_RUN_HPP

#include "common/clock.hpp"
#include "proto/jobs.pb.h"
#include "routing/urgency.hpp"
#include "targets/attempt.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace tanagertrack::batch
{

/// Order in which items start: urgency, then age of the job, then place in the
/// job.
struct item_rank
{
    routing::urgency_key urgency;
    std::uint64_t order = 0;
    std::uint32_t index = 0;

    friend auto operator<=>(const item_rank&, const item_rank&) = default;
};

/// How far the permission to run an item that may not be repeated is.
enum class item_intent : std::uint8_t
{
    none,

    /// Appended, and not read back yet.
    requested,

    /// Read back as the first one: this process may run the item, once.
    granted
};

/// An item on its way, through all its attempts.
struct item_run
    : boost::intrusive_ref_counter<item_run, boost::thread_unsafe_counter>
{
    std::string job;
    std::uint32_t index = 0;
    item_rank rank;
    proto::JobItem data;
    std::size_t data_bytes = 0;

    /// Data of the events so far, or what there is of a whole answer.
    std::string text;
    std::uint32_t events = 0;
    std::optional<std::uint64_t> last_event;

    /// Attempts, and those that the target answered with a failure.
    std::uint32_t attempts = 0;
    std::uint32_t failures = 0;

    /// Attempts since the last event that ended without an answer, and those
    /// that the target did not run.
    std::uint32_t broken_attempts = 0;
    std::uint32_t refused_attempts = 0;

    /// When the first attempt began.
    std::optional<common::time_point> first_started;

    /// Time under way in the attempts that have ended.
    common::duration run_time{0};

    /// What of it the last recorded progress covers: run time, and bytes of
    /// the text.
    common::duration recorded_run_time{0};
    std::size_t recorded_bytes = 0;

    /// Target that failed last; not chosen again while there are others.
    std::string avoided;
    targets::attempt_ptr attempt;
    item_intent intent = item_intent::none;

    /// Not started before this time.
    common::time_point not_before;

    /// The item was ended or is not this process's any more.
    bool closed = false;

    /// Time under way in all attempts.
    common::duration run_time_at(common::time_point now) const
    {
        return attempt ? run_time + (now - attempt->started_at()) : run_time;
    }

    /// Whether it can be taken back and started again.
    bool is_preemptible() const
    {
        return !data.not_repeatable();
    }

    /// The record of its text; `with_data`: with what was received.
    proto::ItemText make_text(bool with_data) const
    {
        proto::ItemText out;
        out.set_item(data.id());
        out.set_attempts(attempts);
        if (with_data)
            out.set_text(text);
        return out;
    }

    /// Forgets what was received: the next attempt starts from the beginning.
    void discard_received()
    {
        text.clear();
        recorded_bytes = 0;
        events = 0;
        last_event.reset();
    }
};

using item_run_ptr = boost::intrusive_ptr<item_run>;

/// A job that this process runs.
struct job_run
{
    std::string id;
    std::string host;
    common::time_point due;

    /// Order among jobs that are due at the same time.
    std::uint64_t order = 0;

    /// Items that are loaded and have not ended, by index.
    std::map<std::uint32_t, item_run_ptr> items;

    /// Since when the configuration has no route for the job.
    std::optional<common::time_point> route_missing_since;
};

/// Adds an item that has not started to a job.
inline item_run_ptr add_item(job_run& run, std::uint32_t index,
                             const proto::JobItem& data)
{
    item_run_ptr it(new item_run);
    it->job = run.id;
    it->index = index;
    it->rank = {{false, run.due}, run.order, index};
    it->data = data;
    it->data_bytes = data.ByteSizeLong();
    run.items[index] = it;
    return it;
}

} // namespace tanagertrack::batch

#endif
