#include "batch/record_mover.hpp"

#include "common/logging.hpp"
#include "common/result_code.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace tanagertrack::batch
{

using common::result_code;
using std::chrono::milliseconds;

namespace
{

/// Looks in the time for which records are kept.
constexpr int looks_per_retention = 64;

/// Bytes of texts that are copied at a time.
constexpr std::size_t max_copy_bytes = 256UL * 1024;

/// Places of texts in one record.
constexpr int max_places = 4000;

} // namespace

/// A job whose records are being copied.
struct record_mover::job_move
{
    std::string job;
    bool wants_parts = false;
    std::size_t next_part = 0;
    std::vector<proto::PartPlace> parts;

    /// Items whose texts are kept: results, then those with progress.
    std::vector<std::uint32_t> items;
    std::size_t results = 0;
    std::size_t next_item = 0;

    /// Last event of the text that was read, by item with progress.
    std::map<std::uint32_t, std::uint64_t> last_events;

    /// Texts that were read and are not written.
    std::vector<proto::ItemText> texts;
    std::size_t text_bytes = 0;
    std::vector<state::text_location> places;
};

record_mover::record_mover(boost::asio::io_context& context, job_log& jobs,
                           text_store& texts, milliseconds retention,
                           std::function<bool(const std::string&)> is_mine)
    : jobs_(jobs), texts_(texts), retention_(retention),
      is_mine_(std::move(is_mine)), timer_(context)
{
    job_listener listener;
    listener.changes.on_moved = [this](const state::batch_job& job)
    {
        jobs_ages_[job.id] = {common::clock::now(), true, {}};
    };
    jobs_.add_listener(std::move(listener));
}

void record_mover::start()
{
    timer_.expires_after(retention_ / looks_per_retention);
    timer_.async_wait(
        [this](const auto& ec)
        {
            if (ec)
                return;
            check();
            start();
        });
}

bool record_mover::is_due(ages& known, const std::string& id,
                          std::uint64_t created_ms)
{
    // Half of the retention is left for the copies, for clocks that differ,
    // and for an outage of the store.
    const auto limit = retention_ / 2;
    const auto now = common::clock::now();
    const auto& it = known.try_emplace(id, age{now, false, {}}).first->second;
    const auto now_ms = common::unix_time_ms();
    const milliseconds wall_age(now_ms - std::min(now_ms, created_ms));
    return now >= it.not_before &&
           (now - it.since >= limit || (!it.was_moved && wall_age >= limit));
}

void record_mover::check()
{
    if (moving_ || !jobs_.is_current() || !jobs_.reachable())
        return;
    forget_old();
    const state::batch_job* due = nullptr;
    jobs_.table().for_each(
        [&](const state::batch_job& job)
        {
            const bool kept = !job.results.empty() || job.is_open();
            if (kept && is_due(jobs_ages_, job.id, job.created_ms) &&
                due == nullptr && is_mine_(job.runner))
                due = &job;
        });
    if (due != nullptr)
        return move_job(*due);

    const state::at_most_once_call* call = nullptr;
    std::string call_id;
    jobs_.table().for_each_call(
        [&](const std::string& id, const state::at_most_once_call& it)
        {
            if (it.outcome_at && is_due(call_ages_, id, it.created_ms) &&
                call == nullptr && is_mine_(it.member))
            {
                call = &it;
                call_id = id;
            }
        });
    if (call != nullptr)
        move_call(call_id, *call->outcome_at);
}

common::time_point record_mover::after_failure() const
{
    return common::clock::now() + retention_ / looks_per_retention * 2;
}

void record_mover::forget_old()
{
    std::erase_if(jobs_ages_, [this](const auto& it)
                  { return jobs_.table().find(it.first) == nullptr; });
    std::erase_if(call_ages_, [this](const auto& it)
                  { return jobs_.table().find_call(it.first) == nullptr; });
}

// ---- one job ----

void record_mover::move_job(const state::batch_job& job)
{
    moving_ = true;
    const auto it = std::make_shared<job_move>();
    it->job = job.id;
    it->wants_parts = job.is_open();
    it->items = job.results;
    it->results = job.results.size();
    for (const auto& [item, progress] : job.progress)
        it->items.push_back(item);
    copy_part(it);
}

void record_mover::copy_part(const job_move_ptr& it)
{
    const auto* job = jobs_.table().find(it->job);
    if (job == nullptr)
        return end_move(it, make_error_code(result_code::unknown_job));
    if (!it->wants_parts || it->next_part == job->parts.size())
        return copy_texts(it);
    jobs_.read_record(
        job->parts[it->next_part].offset,
        [this, it](std::error_code ec, const proto::JobRecord& record)
        {
            if (ec)
                return end_move(it, ec);
            append_part(it, record);
        });
}

void record_mover::append_part(const job_move_ptr& it,
                               const proto::JobRecord& record)
{
    const auto* job = jobs_.table().find(it->job);
    if (job == nullptr)
        return end_move(it, make_error_code(result_code::unknown_job));
    proto::JobRecord copy;
    auto& part = *copy.mutable_part_copy()->mutable_part();
    part = part_of(record);

    // The request of an item that has ended is not needed any more.
    for (int i = 0; i < part.items_size(); ++i)
    {
        const auto index = part.first_item() + static_cast<std::uint32_t>(i);
        if (index >= job->items.size() ||
            job->items[index].state == proto::ITEM_OPEN)
            continue;
        proto::JobItem rest;
        rest.set_id(part.items(i).id());
        *part.mutable_items(i) = std::move(rest);
    }
    jobs_.append({copy}, true,
                 [this, it, first_item = part.first_item()](
                     std::error_code ec, std::uint64_t offset)
                 {
                     if (ec)
                         return end_move(it, ec);
                     auto& place = it->parts.emplace_back();
                     place.set_first_item(first_item);
                     place.set_offset(offset);
                     ++it->next_part;
                     copy_part(it);
                 });
}

void record_mover::copy_texts(const job_move_ptr& it)
{
    const auto* job = jobs_.table().find(it->job);
    if (job == nullptr)
        return end_move(it, make_error_code(result_code::unknown_job));
    const auto next = it->next_item + it->texts.size();
    const bool all_read = next == it->items.size();
    if (it->text_bytes >= max_copy_bytes || (all_read && !it->texts.empty()))
        return write_texts(it);
    if (all_read)
        return tell_places(it);

    const auto item = it->items[next];
    const auto progress = job->progress.find(item);
    const bool has_progress =
        next >= it->results && progress != job->progress.end();
    const auto place =
        has_progress ? progress->second.text : job->items[item].text;
    if (has_progress)
        it->last_events[item] = progress->second.last_event;
    texts_.read(place,
                [this, it](std::error_code ec, const proto::ItemText& text)
                {
                    if (ec)
                        return end_move(it, ec);
                    it->text_bytes += text.ByteSizeLong();
                    it->texts.push_back(text);
                    copy_texts(it);
                });
}

void record_mover::write_texts(const job_move_ptr& it)
{
    it->text_bytes = 0;
    texts_.write(std::move(it->texts), text_use::progress,
                 [this, it](std::error_code ec,
                            const std::vector<state::text_location>& places)
                 {
                     if (ec)
                         return end_move(it, ec);
                     it->places.insert(it->places.end(), places.begin(),
                                       places.end());
                     it->next_item += places.size();
                     copy_texts(it);
                 });
    it->texts.clear();
}

void record_mover::tell_places(const job_move_ptr& it)
{
    const auto* job = jobs_.table().find(it->job);
    if (job == nullptr)
        return end_move(it, make_error_code(result_code::unknown_job));
    std::vector<proto::JobRecord> records;
    auto* moved = records.emplace_back().mutable_moved();
    moved->mutable_parts()->Assign(it->parts.begin(), it->parts.end());
    for (std::size_t i = 0; i < it->results; ++i)
    {
        if (moved->results_size() == max_places)
        {
            moved->set_job(it->job);
            moved = records.emplace_back().mutable_moved();
        }
        auto& place = *moved->add_results();
        place.set_item(it->items[i]);
        place.set_state(job->items[it->items[i]].state);
        place.set_text_partition(it->places[i].partition);
        place.set_text_offset(it->places[i].offset);
    }
    for (std::size_t i = it->results; i < it->items.size(); ++i)
    {
        const auto last_event = it->last_events.find(it->items[i]);
        if (last_event == it->last_events.end())
            continue;
        auto& place = *moved->add_progress();
        place.set_item(it->items[i]);
        place.set_last_event(last_event->second);
        place.set_text_partition(it->places[i].partition);
        place.set_text_offset(it->places[i].offset);
    }
    moved->set_job(it->job);
    moved->set_complete(true);
    jobs_.append(records, true,
                 [this, it](std::error_code ec, std::uint64_t)
                 { end_move(it, ec); });
}

void record_mover::end_move(const job_move_ptr& it, std::error_code ec)
{
    moving_ = false;
    if (ec)
    {
        // Others go first.
        jobs_ages_[it->job].not_before = after_failure();
        return common::log_warning("job_move_failed",
                                   {{"job", it->job}, {"what", ec.message()}});
    }
    ++moved_;
    common::log_info("job_moved", {{"job", it->job},
                                   {"parts", it->parts.size()},
                                   {"texts", it->places.size()}});
}

// ---- one outcome ----

void record_mover::move_call(const std::string& call, std::uint64_t offset)
{
    moving_ = true;
    const auto end = [this, call](std::error_code ec, std::uint64_t = 0)
    {
        moving_ = false;
        auto& known = call_ages_[call];
        if (ec)
        {
            known.not_before = after_failure();
            return common::log_warning(
                "call_move_failed", {{"call", call}, {"what", ec.message()}});
        }
        ++moved_;
        known = {common::clock::now(), true, {}};
    };
    jobs_.read_record(
        offset,
        [this, end](std::error_code ec, const proto::JobRecord& record)
        {
            if (ec)
                return end(ec);
            auto copy = record;
            copy.mutable_call_outcome()->set_copied(true);
            jobs_.append({copy}, true, end);
        });
}

} // namespace tanagertrack::batch
