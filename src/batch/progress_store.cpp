#include "batch/progress_store.hpp"

#include "common/logging.hpp"

#include <boost/assert.hpp>

#include <cstddef>
#include <memory>
#include <utility>

namespace tanagertrack::batch
{

namespace
{

/// Maximum bytes of texts in one append.
constexpr std::size_t max_write_bytes = 512UL * 1024;

/// A group of appends with one completion handler.
struct progress_write
{
    std::size_t pending = 0;
    std::error_code ec;
    std::function<void(std::error_code)> done;

    void finish_one(std::error_code result)
    {
        if (result)
        {
            ec = result;
            common::log_warning("progress_unwritten",
                                {{"what", result.message()}});
        }
        if (--pending == 0)
            done(ec);
    }
};

using progress_write_ptr = std::shared_ptr<progress_write>;

void append_records(job_log& jobs,
                    const std::vector<progress_snapshot>& snapshots,
                    const std::vector<state::text_location>& locations,
                    const progress_write_ptr& write)
{
    std::vector<proto::JobRecord> records(snapshots.size());
    for (std::size_t i = 0; i < snapshots.size(); ++i)
    {
        auto& it = *records[i].mutable_progress();
        it.set_job(snapshots[i].job);
        it.set_item(snapshots[i].item);
        it.set_last_event(snapshots[i].last_event);
        it.set_text_partition(locations[i].partition);
        it.set_text_offset(locations[i].offset);
        it.set_failures(snapshots[i].failures);
        it.set_run_ms(
            static_cast<std::uint32_t>(snapshots[i].run_time.count()));
    }
    jobs.append(records, true,
                [write](std::error_code ec, std::uint64_t)
                { write->finish_one(ec); });
}

void write_group(job_log& jobs, text_store& texts,
                 std::vector<progress_snapshot> snapshots,
                 const progress_write_ptr& write)
{
    std::vector<proto::ItemText> contents;
    for (auto& it : snapshots)
        contents.push_back(std::move(it.text));
    texts.write(std::move(contents), text_use::progress,
                [&jobs, snapshots = std::move(snapshots),
                 write](std::error_code ec,
                        const std::vector<state::text_location>& locations)
                {
                    if (ec)
                        return write->finish_one(ec);
                    append_records(jobs, snapshots, locations, write);
                });
}

/// Splits the snapshots into groups of at most `max_write_bytes` of text; a
/// larger text is alone in its group.
std::vector<std::vector<progress_snapshot>>
split_into_appends(std::vector<progress_snapshot> snapshots)
{
    std::vector<std::vector<progress_snapshot>> out;
    std::size_t bytes = max_write_bytes;
    for (auto& it : snapshots)
    {
        const auto n = it.text.text().size();
        if (bytes + n > max_write_bytes)
        {
            out.emplace_back();
            bytes = 0;
        }
        bytes += n;
        out.back().push_back(std::move(it));
    }
    return out;
}

} // namespace

progress_snapshot capture_progress(const item_run& item, common::time_point now)
{
    BOOST_ASSERT(item.last_event);
    return {item.job,
            item.index,
            *item.last_event,
            item.failures,
            std::chrono::duration_cast<std::chrono::milliseconds>(
                item.run_time_at(now)),
            item.make_text(true)};
}

void write_progress(job_log& jobs, text_store& texts,
                    std::vector<progress_snapshot> snapshots,
                    std::function<void(std::error_code)> done)
{
    if (snapshots.empty())
        return done({});
    auto writes = split_into_appends(std::move(snapshots));
    const auto write = std::make_shared<progress_write>();
    write->pending = writes.size();
    write->done = std::move(done);
    for (auto& group : writes)
        write_group(jobs, texts, std::move(group), write);
}

void read_progress(text_store& texts, item_run_ptr item,
                   const state::item_progress& progress,
                   std::function<void()> done)
{
    texts.read(progress.text,
               [item = std::move(item), progress, done = std::move(done)](
                   std::error_code ec, const proto::ItemText& text)
               {
                   if (item->closed)
                       return;
                   item->failures = progress.failures;
                   if (ec)
                       common::log_warning("progress_unread",
                                           {{"job", item->job},
                                            {"item", item->data.id()},
                                            {"what", ec.message()}});
                   else
                   {
                       item->text = text.text();
                       item->recorded_bytes = item->text.size();
                       item->run_time = progress.run_time;
                       item->recorded_run_time = progress.run_time;
                       item->last_event = progress.last_event;

                       // The number of events is not recorded. It must not be
                       // zero, so that the next event starts a new line.
                       item->events = 1;
                   }
                   done();
               });
}

} // namespace tanagertrack::batch
