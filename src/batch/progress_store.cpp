#include "batch/progress_store.hpp"

#include "common/logging.hpp"

#include <utility>

namespace tanagertrack::batch
{

namespace
{

void append_places(job_log& jobs, const std::vector<item_run_ptr>& its,
                   const std::vector<state::text_location>& places,
                   std::function<void()> done)
{
    std::vector<proto::JobRecord> records(its.size());
    for (std::size_t i = 0; i < its.size(); ++i)
    {
        auto& it = *records[i].mutable_progress();
        it.set_job(its[i]->job);
        it.set_item(its[i]->index);
        it.set_last_event(*its[i]->last_event);
        it.set_text_partition(places[i].partition);
        it.set_text_offset(places[i].offset);
        it.set_failures(its[i]->failures);
    }
    jobs.append(records, true,
                [done = std::move(done)](std::error_code ec, std::uint64_t)
                {
                    if (ec)
                        common::log_warning("progress_unwritten",
                                            {{"what", ec.message()}});
                    done();
                });
}

} // namespace

void write_progress(job_log& jobs, text_store& texts,
                    std::vector<item_run_ptr> its, std::function<void()> done)
{
    if (its.empty())
        return done();
    std::vector<proto::ItemText> contents;
    for (const auto& it : its)
        contents.push_back(it->make_text(true));
    texts.write(
        std::move(contents),
        [&jobs, its = std::move(its), done = std::move(done)](
            std::error_code ec, const std::vector<state::text_location>& places)
        {
            if (!ec)
                return append_places(jobs, its, places, done);
            common::log_warning("progress_unwritten", {{"what", ec.message()}});
            done();
        });
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
                       item->last_event = progress.last_event;
                       item->events = 1;
                   }
                   done();
               });
}

} // namespace tanagertrack::batch
