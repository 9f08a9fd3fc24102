#include "entry/retention_keeper.hpp"

#include "common/logging.hpp"
#include "entry/async_call.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace tanagertrack::entry
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

/// Looks during the time for which the log keeps a record.
constexpr int looks = 64;
constexpr milliseconds min_interval{50};
constexpr milliseconds max_interval{60000};

/// Samples of a partition; they reach back over the whole retention.
constexpr std::size_t max_samples = 4096;

/// Bytes of results that are appended again at a time.
constexpr std::size_t move_bytes = 64 * 1024;

constexpr std::chrono::seconds append_timeout{10};

} // namespace

retention_keeper::retention_keeper(std::shared_ptr<batch_core> core)
    : core_(std::move(core))
{
}

asio::awaitable<void> retention_keeper::run()
{
    const auto self = shared_from_this();
    const auto interval =
        std::clamp(core_->settings().batch.log_retention / looks, min_interval,
                   max_interval);
    asio::steady_timer timer(core_->context());
    while (!core_->is_stopping())
    {
        timer.expires_after(interval);
        co_await timer.async_wait(asio::use_awaitable);
        for (std::uint32_t i = 0; i < core_->partitions(); ++i)
        {
            if (core_->owner(i).is_held())
                co_await keep(i);
            else
                ages_.erase(i);
        }
    }
}

bool retention_keeper::is_held(std::uint32_t partition)
{
    auto& owner = core_->owner(partition);
    const auto it = ages_.find(partition);
    return owner.is_held() && it != ages_.end() &&
           it->second.claim == owner.claim_offset();
}

const state::job* retention_keeper::find_job(std::uint32_t partition,
                                             const std::string& id)
{
    return is_held(partition) ? core_->owner(partition).state().find_job(id)
                              : nullptr;
}

asio::awaitable<void> retention_keeper::keep(std::uint32_t partition)
{
    const auto now = common::unix_time_ms();
    take_sample(partition, now);
    co_await forget(partition, now);
    if (!is_held(partition))
        co_return;

    const auto half = core_->settings().batch.log_retention / 2;
    const auto limit = offset_before(
        partition, now - static_cast<std::uint64_t>(half.count()));
    const auto& state = core_->owner(partition).state();
    const auto needed = state.oldest_needed_offset(false);
    if (needed != 0 && needed < limit)
    {
        std::vector<std::string> ids;
        state.for_each_job([&](const state::job& job)
                           { ids.push_back(job.id()); });
        for (const auto& id : ids)
            co_await move_job(partition, id, limit);
        if (!is_held(partition))
            co_return;
        std::vector<state::entry_location> outcomes;
        core_->owner(partition).state().for_each_call(
            [&](const std::string&, const state::call_info& call)
            {
                if (call.outcome.offset != 0 && call.outcome.offset < limit)
                    outcomes.push_back(call.outcome);
            });
        for (const auto& place : outcomes)
            co_await move_outcome(partition, place);
    }
    if (is_held(partition) &&
        core_->owner(partition).state().checkpoint_offset() < limit)
        core_->owner(partition).write_checkpoint();
}

void retention_keeper::take_sample(std::uint32_t partition, std::uint64_t now)
{
    auto& owner = core_->owner(partition);
    auto& age = ages_[partition];
    if (age.claim != owner.claim_offset())
    {
        // Jobs tell the age of what a former holder wrote.
        age = {owner.claim_offset(), {}};
        std::vector<offset_sample> known;
        owner.state().for_each_job(
            [&](const state::job& job) {
                known.push_back(
                    {job.commit().created_ms(), job.accepted_offset()});
            });
        std::ranges::sort(known, {}, &offset_sample::offset);
        age.samples.assign(known.begin(), known.end());
    }
    age.samples.push_back({now, owner.state().next_offset()});
    while (age.samples.size() > max_samples)
        age.samples.pop_front();
}

std::uint64_t retention_keeper::offset_before(std::uint32_t partition,
                                              std::uint64_t unix_ms) const
{
    std::uint64_t offset = 0;
    for (const auto& it : ages_.at(partition).samples)
        if (it.unix_ms <= unix_ms)
            offset = std::max(offset, it.offset);
    return offset;
}

asio::awaitable<void> retention_keeper::forget(std::uint32_t partition,
                                               std::uint64_t now)
{
    const auto& state = core_->owner(partition).state();
    std::vector<std::string> ids;
    state.for_each_job(
        [&](const state::job& job)
        {
            if (job.commit().keep_until_ms() <= now)
                ids.push_back(job.id());
        });
    const auto retention = core_->settings().batch.key_retention.count();
    const auto limit =
        offset_before(partition, now - static_cast<std::uint64_t>(retention));
    state.for_each_call(
        [&](const std::string& id, const state::call_info& call)
        {
            if (call.outcome.offset != 0 && call.outcome.offset < limit)
                ids.push_back(id);
        });
    for (const auto& id : ids)
    {
        proto::PartitionEntry entry;
        entry.mutable_job_forget()->set_job_id(id);
        const bool done = co_await append(partition, std::move(entry));
        if (!done)
            co_return;
    }
}

asio::awaitable<void> retention_keeper::move_job(std::uint32_t partition,
                                                 std::string id,
                                                 std::uint64_t limit)
{
    const auto* job = find_job(partition, id);
    if (job == nullptr)
        co_return;
    std::vector<state::chunk_location> chunks;
    for (const auto& it : job->chunks())
        if (it.place.offset < limit)
            chunks.push_back(it);
    for (const auto& it : chunks)
        co_await move_chunk(partition, it);
    co_await move_results(partition, std::move(id), limit);
}

asio::awaitable<void> retention_keeper::move_chunk(std::uint32_t partition,
                                                   state::chunk_location chunk)
{
    auto got =
        co_await load_record(core_->cache(), partition, chunk.place.offset);
    if (got.ec)
    {
        common::log_error("move_failed", {{"partition", partition},
                                          {"offset", chunk.place.offset},
                                          {"what", got.ec.message()}});
        co_return;
    }
    proto::PartitionEntry entry =
        got.record->entries(static_cast<int>(chunk.place.entry));
    entry.mutable_job_chunk()->set_moved(true);
    co_await append(partition, std::move(entry));
}

asio::awaitable<void> retention_keeper::move_results(std::uint32_t partition,
                                                     std::string id,
                                                     std::uint64_t limit)
{
    const auto max_bytes =
        std::min(move_bytes, core_->settings().platform.max_record_bytes / 2);
    proto::ItemResults moved;
    std::size_t bytes = 0;
    for (std::uint32_t item = 0;; ++item)
    {
        const auto* job = find_job(partition, id);
        if (job == nullptr)
            co_return;
        while (item < job->item_count() && (job->result(item).offset == 0 ||
                                            job->result(item).offset >= limit))
            ++item;
        if (item >= job->item_count())
            break;
        const auto place = job->result(item);
        auto got =
            co_await load_record(core_->cache(), partition, place.offset);
        if (got.ec)
            co_return;
        const auto& results =
            got.record->entries(static_cast<int>(place.entry)).item_results();
        const auto it = std::ranges::find(results.results(), item,
                                          &proto::ItemResult::item);
        if (it == results.results().end())
            continue;
        const auto size = it->ByteSizeLong();
        if (moved.results_size() > 0 && bytes + size > max_bytes)
        {
            const bool done = co_await append_results(partition, id,
                                                      std::exchange(moved, {}));
            if (!done)
                co_return;
            bytes = 0;
        }
        *moved.add_results() = *it;
        bytes += size;
    }
    if (moved.results_size() > 0)
        co_await append_results(partition, id, std::move(moved));
}

asio::awaitable<bool>
retention_keeper::append_results(std::uint32_t partition, std::string id,
                                 proto::ItemResults results)
{
    proto::PartitionEntry entry;
    results.set_job_id(std::move(id));
    results.set_moved(true);
    *entry.mutable_item_results() = std::move(results);
    co_return co_await append(partition, std::move(entry));
}

asio::awaitable<void>
retention_keeper::move_outcome(std::uint32_t partition,
                               state::entry_location place)
{
    auto got = co_await load_record(core_->cache(), partition, place.offset);
    if (got.ec)
        co_return;
    proto::PartitionEntry entry =
        got.record->entries(static_cast<int>(place.entry));
    entry.mutable_outcome()->set_moved(true);
    co_await append(partition, std::move(entry));
}

asio::awaitable<bool> retention_keeper::append(std::uint32_t partition,
                                               proto::PartitionEntry entry)
{
    if (!is_held(partition))
        co_return false;
    const auto done = co_await core_->record(
        partition, ages_.at(partition).claim, std::move(entry),
        common::clock::now() + append_timeout);
    co_return !done.ec;
}

} // namespace tanagertrack::entry
