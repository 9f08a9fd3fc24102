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

/// Number of checks in the retention time.
constexpr int checks_per_retention = 64;

/// Bytes of read texts at which they are appended.
constexpr std::size_t max_copy_bytes = 256UL * 1024;

/// Maximum number of result locations in one record.
constexpr int max_locations = 4000;

} // namespace

/// A job whose records are being copied.
struct record_mover::job_move
{
    std::string job;
    bool copies_parts = false;
    std::size_t next_part = 0;
    std::vector<proto::PartPlace> parts;

    /// Items whose texts are copied: first those with results, then those with
    /// progress. The texts before the position `next_item` were appended.
    std::vector<std::uint32_t> items;
    std::size_t result_count = 0;
    std::size_t next_item = 0;

    /// Last event of the copied text, by item with progress.
    std::map<std::uint32_t, std::uint64_t> last_events;

    /// Texts that were read and not appended yet, their bytes, and the
    /// locations of the appended ones.
    std::vector<proto::ItemText> texts;
    std::size_t text_bytes = 0;
    std::vector<state::text_location> locations;
};

record_mover::record_mover(
    boost::asio::io_context& context, job_log& jobs, text_store& texts,
    milliseconds retention,
    std::function<bool(const std::string&)> is_responsible_for)
    : jobs_(jobs), texts_(texts), retention_(retention),
      is_responsible_for_(std::move(is_responsible_for)),
      timer_(context, retention / checks_per_retention, [this] { check(); })
{
    job_listener listener;
    listener.changes.on_moved = [this](const state::batch_job& job)
    {
        job_ages_[job.id] = {common::clock::now(), true, {}};
    };
    jobs_.add_listener(std::move(listener));
}

void record_mover::start()
{
    timer_.start();
}

bool record_mover::is_due(ages& known_ages, const std::string& id,
                          std::uint64_t created_ms)
{
    // Half of the retention time is left for the copying, for differences
    // between clocks, and for an outage of the store.
    const auto limit = retention_ / 2;
    const auto now = common::clock::now();
    const auto& it =
        known_ages.try_emplace(id, age{now, false, {}}).first->second;
    const auto now_ms = common::unix_time_ms();

    // `created_ms` tells only the age of the original records, not of copies.
    const milliseconds wall_age(now_ms - std::min(now_ms, created_ms));
    return now >= it.not_before &&
           (now - it.since >= limit || (!it.was_moved && wall_age >= limit));
}

void record_mover::check()
{
    if (moving_ || !jobs_.is_current() || !jobs_.reachable())
        return;
    prune_ages();

    // is_due() is called for every job and call that may have to be copied,
    // since it records when they were first seen.
    const state::batch_job* due = nullptr;
    jobs_.table().for_each(
        [&](const state::batch_job& job)
        {
            const bool is_needed = !job.results.empty() || job.is_open();
            if (is_needed && is_due(job_ages_, job.id, job.created_ms) &&
                due == nullptr && is_responsible_for_(job.runner))
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
                call == nullptr && is_responsible_for_(it.member))
            {
                call = &it;
                call_id = id;
            }
        });
    if (call != nullptr)
        move_call(call_id, *call->outcome_at);
}

common::time_point record_mover::retry_time() const
{
    return common::clock::now() + retention_ / checks_per_retention * 2;
}

void record_mover::prune_ages()
{
    std::erase_if(job_ages_, [this](const auto& it)
                  { return jobs_.table().find(it.first) == nullptr; });
    std::erase_if(call_ages_, [this](const auto& it)
                  { return jobs_.table().find_call(it.first) == nullptr; });
}

// ---- one job ----

void record_mover::move_job(const state::batch_job& job)
{
    moving_ = true;
    const auto task = std::make_shared<job_move>();
    task->job = job.id;
    task->copies_parts = job.is_open();
    task->items = job.results;
    task->result_count = job.results.size();
    for (const auto& [item, progress] : job.progress)
        task->items.push_back(item);
    copy_part(task);
}

void record_mover::copy_part(const job_move_ptr& task)
{
    const auto* job = jobs_.table().find(task->job);
    if (job == nullptr)
        return finish_move(task, make_error_code(result_code::unknown_job));
    if (!task->copies_parts || task->next_part == job->parts.size())
        return copy_texts(task);
    jobs_.read_record(
        job->parts[task->next_part].offset,
        [this, task](std::error_code ec, const proto::JobRecord& record)
        {
            if (ec)
                return finish_move(task, ec);
            append_part(task, record);
        });
}

void record_mover::append_part(const job_move_ptr& task,
                               const proto::JobRecord& record)
{
    const auto* job = jobs_.table().find(task->job);
    if (job == nullptr)
        return finish_move(task, make_error_code(result_code::unknown_job));
    proto::JobRecord copy;
    auto& part = *copy.mutable_part_copy()->mutable_part();
    part = part_of(record);

    // The request of an item that has ended is not needed any more; only its id
    // is kept.
    for (int i = 0; i < part.items_size(); ++i)
    {
        const auto index = part.first_item() + static_cast<std::uint32_t>(i);
        if (index >= job->items.size() ||
            job->items[index].state == proto::ITEM_OPEN)
            continue;
        proto::JobItem stub;
        stub.set_id(part.items(i).id());
        *part.mutable_items(i) = std::move(stub);
    }
    jobs_.append({copy}, true,
                 [this, task, first_item = part.first_item()](
                     std::error_code ec, std::uint64_t offset)
                 {
                     if (ec)
                         return finish_move(task, ec);
                     auto& location = task->parts.emplace_back();
                     location.set_first_item(first_item);
                     location.set_offset(offset);
                     ++task->next_part;
                     copy_part(task);
                 });
}

void record_mover::copy_texts(const job_move_ptr& task)
{
    const auto* job = jobs_.table().find(task->job);
    if (job == nullptr)
        return finish_move(task, make_error_code(result_code::unknown_job));
    const auto next = task->next_item + task->texts.size();
    const bool all_read = next == task->items.size();
    if (task->text_bytes >= max_copy_bytes ||
        (all_read && !task->texts.empty()))
        return write_texts(task);
    if (all_read)
        return append_locations(task);

    // If an item with progress has ended since the move was started, the text
    // of its result is read, and the location of the copy is not recorded.
    const auto item = task->items[next];
    const auto progress = job->progress.find(item);
    const bool has_progress =
        next >= task->result_count && progress != job->progress.end();
    const auto location =
        has_progress ? progress->second.text : job->items[item].text;
    if (has_progress)
        task->last_events[item] = progress->second.last_event;
    texts_.read(location,
                [this, task](std::error_code ec, const proto::ItemText& text)
                {
                    if (ec)
                        return finish_move(task, ec);
                    task->text_bytes += text.ByteSizeLong();
                    task->texts.push_back(text);
                    copy_texts(task);
                });
}

void record_mover::write_texts(const job_move_ptr& task)
{
    task->text_bytes = 0;

    // Texts written as progress are not cached.
    texts_.write(
        std::move(task->texts), text_use::progress,
        [this, task](std::error_code ec,
                     const std::vector<state::text_location>& locations)
        {
            if (ec)
                return finish_move(task, ec);
            task->locations.insert(task->locations.end(), locations.begin(),
                                   locations.end());
            task->next_item += locations.size();
            copy_texts(task);
        });
    task->texts.clear();
}

void record_mover::append_locations(const job_move_ptr& task)
{
    const auto* job = jobs_.table().find(task->job);
    if (job == nullptr)
        return finish_move(task, make_error_code(result_code::unknown_job));
    std::vector<proto::JobRecord> records;
    auto* moved = records.emplace_back().mutable_moved();
    moved->mutable_parts()->Assign(task->parts.begin(), task->parts.end());
    for (std::size_t i = 0; i < task->result_count; ++i)
    {
        if (moved->results_size() == max_locations)
        {
            moved->set_job(task->job);
            moved = records.emplace_back().mutable_moved();
        }
        auto& location = *moved->add_results();
        location.set_item(task->items[i]);
        location.set_state(job->items[task->items[i]].state);
        location.set_text_partition(task->locations[i].partition);
        location.set_text_offset(task->locations[i].offset);
    }
    for (std::size_t i = task->result_count; i < task->items.size(); ++i)
    {
        const auto last_event = task->last_events.find(task->items[i]);
        if (last_event == task->last_events.end())
            continue;
        auto& location = *moved->add_progress();
        location.set_item(task->items[i]);
        location.set_last_event(last_event->second);
        location.set_text_partition(task->locations[i].partition);
        location.set_text_offset(task->locations[i].offset);
    }
    moved->set_job(task->job);
    moved->set_complete(true);
    jobs_.append(records, true,
                 [this, task](std::error_code ec, std::uint64_t)
                 { finish_move(task, ec); });
}

void record_mover::finish_move(const job_move_ptr& task, std::error_code ec)
{
    moving_ = false;
    if (ec)
    {
        // Delays the next try, so that other jobs are copied first.
        job_ages_[task->job].not_before = retry_time();
        return common::log_warning(
            "job_move_failed", {{"job", task->job}, {"what", ec.message()}});
    }
    ++moved_;
    common::log_info("job_moved", {{"job", task->job},
                                   {"parts", task->parts.size()},
                                   {"texts", task->locations.size()}});
}

// ---- one outcome ----

void record_mover::move_call(const std::string& call, std::uint64_t offset)
{
    moving_ = true;
    const auto finish = [this, call](std::error_code ec, std::uint64_t = 0)
    {
        moving_ = false;
        auto& call_age = call_ages_[call];
        if (ec)
        {
            call_age.not_before = retry_time();
            return common::log_warning(
                "call_move_failed", {{"call", call}, {"what", ec.message()}});
        }
        ++moved_;
        call_age = {common::clock::now(), true, {}};
    };
    jobs_.read_record(
        offset,
        [this, finish](std::error_code ec, const proto::JobRecord& record)
        {
            if (ec)
                return finish(ec);
            auto copy = record;
            copy.mutable_call_outcome()->set_copied(true);
            jobs_.append({copy}, true, finish);
        });
}

} // namespace tanagertrack::batch
