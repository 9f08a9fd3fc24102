#ifndef TANAGERTRACK_ENTRY_RESULT_RECORDER_HPP
#define TANAGERTRACK_ENTRY_RESULT_RECORDER_HPP

#include "entry/partition_owner.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace tanagertrack::entry
{

/// Groups the results of items into few records. A result is recorded when it
/// was read back. The number of results that wait is bounded by the caller.
/// One thread.
class result_recorder
{
public:
    /// Told when results of a job were read back, or dropped with the claim.
    using recorded_hook =
        std::function<void(const std::string& job_id, std::size_t count)>;

    result_recorder(boost::asio::io_context& context,
                    std::chrono::milliseconds flush_interval,
                    recorded_hook on_recorded);
    ~result_recorder();

    result_recorder(const result_recorder&) = delete;
    result_recorder& operator=(const result_recorder&) = delete;

    /// Takes results of a partition from now on, until `drop_partition`.
    void add_partition(partition_owner& owner);
    void drop_partition(std::uint32_t partition);

    /// Adds a result of a job of a partition that was added. An answer that
    /// doesn't fit into a record becomes a failure.
    void add(std::uint32_t partition, const std::string& job_id,
             proto::ItemResult result);

    /// Hands all results of a partition to its appender.
    void flush(std::uint32_t partition);

    /// Results that are not read back, their bytes, and those of a partition.
    std::size_t unrecorded() const
    {
        return unrecorded_;
    }

    std::size_t unrecorded_bytes() const
    {
        return bytes_;
    }

    std::size_t unrecorded(std::uint32_t partition) const;

private:
    struct partition_buffer
    {
        partition_buffer(partition_owner& partition,
                         boost::asio::io_context& context)
            : owner(partition), timer(context)
        {
        }

        partition_owner& owner;
        boost::asio::steady_timer timer;
        std::map<std::string, proto::ItemResults> jobs;
        std::size_t count = 0;
        std::size_t bytes = 0;
        std::size_t unrecorded = 0;
    };

    void flush_later(std::uint32_t partition, partition_buffer& buffer);
    void finish(std::uint32_t partition, const std::string& job_id,
                std::size_t count, std::size_t bytes);

    boost::asio::io_context& context_;
    std::chrono::milliseconds flush_interval_;
    recorded_hook on_recorded_;
    std::map<std::uint32_t, std::unique_ptr<partition_buffer>> partitions_;
    std::size_t unrecorded_ = 0;
    std::size_t bytes_ = 0;

    /// Expires with this object; guards answers that are on their way.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace tanagertrack::entry

#endif
