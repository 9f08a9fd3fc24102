#ifndef TANAGERTRACK_ENTRY_RETENTION_KEEPER_HPP
#define TANAGERTRACK_ENTRY_RETENTION_KEEPER_HPP

#include "entry/batch_core.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace tanagertrack::entry
{

/// Keeps what is needed in the log and forgets what is not: appends bodies,
/// results, outcomes and checkpoints again when they have reached half of the
/// log's retention, and frees jobs and calls whose time is over. On the batch
/// thread.
class retention_keeper : public std::enable_shared_from_this<retention_keeper>
{
public:
    explicit retention_keeper(std::shared_ptr<batch_core> core);

    /// Looks after the partitions held, until the entry stops.
    boost::asio::awaitable<void> run();

private:
    /// Offset that a stream had reached at a time.
    struct offset_sample
    {
        std::uint64_t unix_ms = 0;
        std::uint64_t offset = 0;
    };

    /// A partition under one claim.
    struct partition_age
    {
        std::uint64_t claim = 0;

        /// Ascending; bounded.
        std::deque<offset_sample> samples;
    };

    boost::asio::awaitable<void> keep(std::uint32_t partition);
    void take_sample(std::uint32_t partition, std::uint64_t now);
    std::uint64_t offset_before(std::uint32_t partition,
                                std::uint64_t unix_ms) const;
    boost::asio::awaitable<void> forget(std::uint32_t partition,
                                        std::uint64_t now);
    boost::asio::awaitable<void> move_job(std::uint32_t partition,
                                          std::string id, std::uint64_t limit);
    boost::asio::awaitable<void> move_chunk(std::uint32_t partition,
                                            state::chunk_location chunk);
    boost::asio::awaitable<void>
    move_results(std::uint32_t partition, std::string id, std::uint64_t limit);
    boost::asio::awaitable<bool> append_results(std::uint32_t partition,
                                                std::string id,
                                                proto::ItemResults results);
    boost::asio::awaitable<void> move_outcome(std::uint32_t partition,
                                              state::entry_location place);
    boost::asio::awaitable<bool> append(std::uint32_t partition,
                                        proto::PartitionEntry entry);
    const state::job* find_job(std::uint32_t partition, const std::string& id);
    bool is_held(std::uint32_t partition);

    std::shared_ptr<batch_core> core_;
    std::map<std::uint32_t, partition_age> ages_;
};

} // namespace tanagertrack::entry

#endif
