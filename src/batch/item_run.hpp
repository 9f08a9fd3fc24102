#ifndef TANAGERTRACK_BATCH_ITEM_RUN_HPP
#define TANAGERTRACK_BATCH_ITEM_RUN_HPP

#include "common/clock.hpp"
#include "http/event_splitter.hpp"
#include "proto/jobs.pb.h"
#include "routing/prompt.hpp"
#include "routing/urgency.hpp"
#include "targets/attempt.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace tanagertrack::batch
{

/// Order in which items start: by urgency, then by the age of the job, then by
/// index in the job.
struct item_rank
{
    routing::urgency_key urgency;
    std::uint64_t order = 0;
    std::uint32_t index = 0;

    friend auto operator<=>(const item_rank&, const item_rank&) = default;
};

/// State of the intent for an item that must not run more than once. Only the
/// process whose intent is the first one in the log may run the item.
enum class item_intent : std::uint8_t
{
    none,

    /// Appended, and not read back yet.
    requested,

    /// Read back as the first intent: this process may run the item once.
    granted
};

/// What a configuration says about the route of an item.
enum class route_status : std::uint8_t
{
    /// There is no configuration, or it is older than the one under which the
    /// job was submitted: the route may be in a later one.
    unknown,

    /// The operator has removed the route.
    removed,
    found
};

/// Route of an item, with all that it says about the item.
struct item_route
{
    route_status status = route_status::unknown;

    /// Service that runs the item, if the route was found.
    std::string service;

    /// Counted failures after which the item fails for good; std::nullopt if
    /// there is no route.
    std::optional<std::uint32_t> max_failures;

    /// Time from the submission of the job after which the item may be given
    /// up; std::nullopt if there is no route, or if it states none.
    std::optional<std::chrono::milliseconds> expires_after;
};

/// An item that this process runs, through all its attempts.
struct item_run
    : boost::intrusive_ref_counter<item_run, boost::thread_unsafe_counter>
{
    std::string job;
    std::uint32_t index = 0;
    item_rank rank;

    /// Route at the time at which the item began to wait, or at the last change
    /// of the configuration while it waits.
    item_route route;
    proto::JobItem data;
    std::size_t data_bytes = 0;

    /// Parts of the item's prompt.
    routing::prompt prompt;

    /// Data of the events received so far, or the received part of a response
    /// that is not a stream.
    std::string text;

    /// Number of events received, and the id of the last one.
    std::uint32_t events = 0;
    std::optional<std::uint64_t> last_event;

    /// Number of attempts, and of those that the target answered with a failure
    /// that counts.
    std::uint32_t attempts = 0;
    std::uint32_t failures = 0;

    /// Attempts since data was last received: those that were interrupted
    /// before the response was complete, and those that the target did not run.
    std::uint32_t broken_attempts = 0;
    std::uint32_t refused_attempts = 0;

    /// Texts that exceeded the maximum size, and the targets that sent them.
    std::uint32_t large_texts = 0;
    std::set<std::string> large_text_targets;

    /// Time at which the first attempt started.
    std::optional<common::time_point> first_started;

    /// Run time of the attempts that have ended.
    common::duration run_time{0};

    /// Run time, and bytes of the text, covered by the last recorded progress.
    common::duration recorded_run_time{0};
    std::size_t recorded_bytes = 0;

    /// Id of the target that failed last; not chosen again while the service
    /// has other targets.
    std::string avoided_target;
    targets::attempt_ptr attempt;
    item_intent intent = item_intent::none;

    /// Not started before this time.
    common::time_point not_before;

    /// True once the item has ended or is not run by this process any more.
    bool closed = false;

    /// Run time of all attempts, including the running one.
    common::duration run_time_at(common::time_point now) const
    {
        return attempt ? run_time + (now - attempt->started_at()) : run_time;
    }

    /// Returns the number of events that the item can have, since each one
    /// carries at least one token; std::nullopt if its size is not known.
    std::optional<std::uint32_t> max_events() const
    {
        return data.tokens() != 0 ? std::optional(data.tokens()) : std::nullopt;
    }

    /// Returns true if the item may be stopped and started again.
    bool is_preemptible() const
    {
        return !data.not_repeatable();
    }

    /// Returns the record of the item's text; it holds the received data only
    /// if `with_data` is true.
    proto::ItemText make_text(bool with_data) const
    {
        proto::ItemText out;
        out.set_item(data.id());
        out.set_attempts(attempts);
        if (with_data)
            out.set_text(text);
        return out;
    }

    /// Appends a piece of the response to the text: the data of a numbered
    /// event of a stream, or a part of another response.
    void add_to_text(std::string_view piece, std::optional<std::uint64_t> event)
    {
        if (!event)
        {
            text += piece;
            return;
        }
        if (events++ != 0)
            text += '\n';
        text += http::event_data(piece);
        last_event = event;
    }

    /// Discards the received data, so that the next attempt starts from the
    /// beginning.
    void discard_received()
    {
        text.clear();
        recorded_bytes = 0;
        events = 0;
        last_event.reset();
    }
};

using item_run_ptr = boost::intrusive_ptr<item_run>;

/// A job that is assigned to this process.
struct job_run
{
    std::string id;

    /// Name of the route under which the job was accepted, and its host.
    std::string route;
    std::string host;

    /// See `state::batch_job`.
    std::uint64_t configuration_version = 0;
    common::time_point due;

    /// Order among jobs that are due at the same time.
    std::uint64_t order = 0;

    /// Items that are loaded and have not ended, by index.
    std::map<std::uint32_t, item_run_ptr> items;

    /// Serialized size of these items in bytes.
    std::size_t loaded_bytes = 0;

    /// Time since which the configuration has no route for an item of the job,
    /// although it is as new as the one under which the job was submitted.
    std::optional<common::time_point> route_missing_since;
};

/// Adds an item that has not started to the items of a job.
inline item_run_ptr add_item(job_run& run, std::uint32_t index,
                             const proto::JobItem& data)
{
    item_run_ptr it(new item_run);
    it->job = run.id;
    it->index = index;
    it->rank = {{false, run.due}, run.order, index};
    it->data = data;
    it->data_bytes = data.ByteSizeLong();
    it->prompt = routing::make_prompt(
        {data.prompt_parts().data(),
         static_cast<std::size_t>(data.prompt_parts_size())});
    run.items[index] = it;
    return it;
}

} // namespace tanagertrack::batch

#endif
