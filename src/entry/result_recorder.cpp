#include "entry/result_recorder.hpp"

#include "common/result_code.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/assert.hpp>

#include <utility>

namespace tanagertrack::entry
{

using common::result_code;

namespace
{

/// Results and bytes at which a record is written without waiting.
constexpr std::size_t flush_count = 256;
constexpr std::size_t flush_bytes = 64 * 1024;

/// Room in an entry for all but the answer of one result.
constexpr std::size_t result_overhead_bytes = 1024;

} // namespace

result_recorder::result_recorder(boost::asio::io_context& context,
                                 std::chrono::milliseconds flush_interval,
                                 recorded_hook on_recorded)
    : context_(context), flush_interval_(flush_interval),
      on_recorded_(std::move(on_recorded))
{
}

result_recorder::~result_recorder() = default;

void result_recorder::add_partition(partition_owner& owner)
{
    partitions_[owner.partition()] =
        std::make_unique<partition_buffer>(owner, context_);
}

void result_recorder::drop_partition(std::uint32_t partition)
{
    const auto node = partitions_.extract(partition);
    if (node.empty())
        return;
    // What the appender holds is ended by its handlers.
    auto& buffer = *node.mapped();
    unrecorded_ -= buffer.count;
    bytes_ -= buffer.bytes;
}

std::size_t result_recorder::unrecorded(std::uint32_t partition) const
{
    const auto it = partitions_.find(partition);
    return it != partitions_.end() ? it->second->unrecorded : 0;
}

void result_recorder::add(std::uint32_t partition, const std::string& job_id,
                          proto::ItemResult result)
{
    const auto it = partitions_.find(partition);
    BOOST_ASSERT(it != partitions_.end());
    auto& buffer = *it->second;
    auto* appender = buffer.owner.appender();
    BOOST_ASSERT(appender != nullptr);
    if (result.ByteSizeLong() + result_overhead_bytes >
        appender->max_entry_bytes())
    {
        result.set_status(proto::ITEM_FAILED);
        result.set_code(
            static_cast<std::uint32_t>(result_code::body_too_large));
        result.clear_body();
    }

    const auto bytes = result.ByteSizeLong();
    if (buffer.bytes + bytes + result_overhead_bytes >
        appender->max_entry_bytes())
        flush(partition);
    auto& results = buffer.jobs[job_id];
    results.set_job_id(job_id);
    *results.add_results() = std::move(result);
    ++buffer.count;
    ++buffer.unrecorded;
    ++unrecorded_;
    buffer.bytes += bytes;
    bytes_ += bytes;
    if (buffer.count >= flush_count || buffer.bytes >= flush_bytes)
        flush(partition);
    else if (buffer.count == 1)
        flush_later(partition, buffer);
}

void result_recorder::flush_later(std::uint32_t partition,
                                  partition_buffer& buffer)
{
    buffer.timer.expires_after(flush_interval_);
    buffer.timer.async_wait(
        [this, partition,
         alive = std::weak_ptr(alive_)](boost::system::error_code ec)
        {
            if (!ec && !alive.expired())
                flush(partition);
        });
}

void result_recorder::flush(std::uint32_t partition)
{
    const auto it = partitions_.find(partition);
    if (it == partitions_.end())
        return;
    auto& buffer = *it->second;
    auto* appender = buffer.owner.appender();
    BOOST_ASSERT(appender != nullptr);
    buffer.timer.cancel();
    buffer.count = 0;
    buffer.bytes = 0;
    for (auto& [job_id, results] : std::exchange(buffer.jobs, {}))
    {
        const auto count = static_cast<std::size_t>(results.results_size());
        std::size_t bytes = 0;
        for (const auto& result : results.results())
            bytes += result.ByteSizeLong();
        proto::PartitionEntry entry;
        *entry.mutable_item_results() = std::move(results);
        // `add` keeps entries below the limit.
        const bool pushed = appender->push_bounded(
            std::move(entry),
            [this, partition, id = job_id, count, bytes,
             alive = std::weak_ptr(alive_)](std::error_code, record_position)
            {
                if (!alive.expired())
                    finish(partition, id, count, bytes);
            });
        BOOST_ASSERT(pushed);
        (void)pushed;
    }
}

void result_recorder::finish(std::uint32_t partition, const std::string& job_id,
                             std::size_t count, std::size_t bytes)
{
    unrecorded_ -= count;
    bytes_ -= bytes;
    const auto it = partitions_.find(partition);
    if (it != partitions_.end())
        it->second->unrecorded -= count;
    on_recorded_(job_id, count);
}

} // namespace tanagertrack::entry
