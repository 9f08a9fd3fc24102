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

/// Bytes of texts in one append.
constexpr std::size_t max_write_bytes = 512UL * 1024;

/// Several appends that end together.
struct progress_write
{
    std::size_t open = 0;
    std::error_code ec;
    std::function<void(std::error_code)> done;

    void end_one(std::error_code result)
    {
        if (result)
        {
            ec = result;
            common::log_warning("progress_unwritten",
                                {{"what", result.message()}});
        }
        if (--open == 0)
            done(ec);
    }
};

using progress_write_ptr = std::shared_ptr<progress_write>;

void append_places(job_log& jobs, const std::vector<progress_snapshot>& its,
                   const std::vector<state::text_location>& places,
                   const progress_write_ptr& all)
{
    std::vector<proto::JobRecord> records(its.size());
    for (std::size_t i = 0; i < its.size(); ++i)
    {
        auto& it = *records[i].mutable_progress();
        it.set_job(its[i].job);
        it.set_item(its[i].item);
        it.set_last_event(its[i].last_event);
        it.set_text_partition(places[i].partition);
        it.set_text_offset(places[i].offset);
        it.set_failures(its[i].failures);
        it.set_run_ms(static_cast<std::uint32_t>(its[i].run_time.count()));
    }
    jobs.append(records, true,
                [all](std::error_code ec, std::uint64_t) { all->end_one(ec); });
}

void write_some(job_log& jobs, text_store& texts,
                std::vector<progress_snapshot> its,
                const progress_write_ptr& all)
{
    std::vector<proto::ItemText> contents;
    for (auto& it : its)
        contents.push_back(std::move(it.text));
    texts.write(std::move(contents), text_use::progress,
                [&jobs, its = std::move(its),
                 all](std::error_code ec,
                      const std::vector<state::text_location>& places)
                {
                    if (ec)
                        return all->end_one(ec);
                    append_places(jobs, its, places, all);
                });
}

/// Splits what is to be written into appends.
std::vector<std::vector<progress_snapshot>>
split_writes(std::vector<progress_snapshot> its)
{
    std::vector<std::vector<progress_snapshot>> out;
    std::size_t bytes = max_write_bytes;
    for (auto& it : its)
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

progress_snapshot capture_progress(const item_run& it, common::time_point now)
{
    BOOST_ASSERT(it.last_event);
    return {it.job,
            it.index,
            *it.last_event,
            it.failures,
            std::chrono::duration_cast<std::chrono::milliseconds>(
                it.run_time_at(now)),
            it.make_text(true)};
}

void write_progress(job_log& jobs, text_store& texts,
                    std::vector<progress_snapshot> its,
                    std::function<void(std::error_code)> done)
{
    if (its.empty())
        return done({});
    auto writes = split_writes(std::move(its));
    const auto all = std::make_shared<progress_write>();
    all->open = writes.size();
    all->done = std::move(done);
    for (auto& some : writes)
        write_some(jobs, texts, std::move(some), all);
}

void read_progress(text_store& texts, item_run_ptr item,
                   const state::item_progress& progress,
                   std::function<void()> done)
{
    texts.read(progress.text,
               [item = std::move(item), progress, done = std::move(done)](
                   std::error_code ec, const proto::ItemText& text)
               {
                   if (item->over)
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
                       item->events = 1;
                   }
                   done();
               });
}

} // namespace tanagertrack::batch
