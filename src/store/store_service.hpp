#ifndef TANAGERTRACK_STORE_STORE_SERVICE_HPP
#define TANAGERTRACK_STORE_STORE_SERVICE_HPP

#include "common/clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace tanagertrack::store
{

/// One partition of a topic.
struct partition_ref
{
    std::string topic;
    std::uint32_t partition = 0;

    bool operator==(const partition_ref&) const = default;
};

/// Identity of a writer that numbers its appends to one partition. The store
/// refuses a lower epoch than it has seen, and carries out each number of an
/// epoch once.
struct producer_stamp
{
    std::string name;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

/// One append: all records or none.
struct append_call
{
    partition_ref to;

    /// Records in order. Without any, only the producer's epoch is set.
    std::vector<std::string> records;

    /// Offset at which the partition must end, or nothing is appended.
    std::optional<std::uint64_t> expected_end;
    std::optional<producer_stamp> producer;
};

/// Place of an append.
struct append_result
{
    /// No error, or: `log_unavailable` (nothing was done),
    /// `log_append_unknown` (may be done, also seconds later), `log_moved`
    /// (another end than expected; `end` is set), `producer_fenced`,
    /// `producer_sequence` (`end` is the expected number), `log_full`.
    std::error_code ec;

    /// Offset of the first record.
    std::uint64_t offset = 0;

    /// Offset behind the last record.
    std::uint64_t end = 0;
};

/// One read.
struct read_call
{
    partition_ref from;
    std::uint64_t offset = 0;
    std::size_t max_bytes = 1024UL * 1024;

    /// Time for which the store holds the call back while there is no record;
    /// 0: answers at once.
    std::chrono::milliseconds wait{0};
};

/// Records of a partition, in order and without gap.
struct read_result
{
    /// No error, `log_unavailable`, or `log_offset_expired`: `first` is set.
    std::error_code ec;

    /// First offset that is kept, and the offset behind the last record.
    std::uint64_t first = 0;
    std::uint64_t end = 0;
    std::vector<std::string> records;
};

/// Newest record of a key.
struct keyed_record
{
    std::string key;
    std::string value;
    std::uint64_t offset = 0;
};

/// All keys of a keyed topic's partition.
struct newest_result
{
    std::error_code ec;
    std::vector<keyed_record> records;

    /// Offset from which later changes can be read.
    std::uint64_t end = 0;
};

/// Joins a group or keeps the membership.
struct join_call
{
    std::string group;
    std::string member;

    /// Topics whose partitions the group shares out.
    std::vector<std::string> topics;

    /// Silence after which the member is out.
    std::chrono::milliseconds session_timeout{3000};

    /// Generation received last; 0 at first.
    std::uint64_t generation = 0;
};

/// Share of a member.
struct join_result
{
    std::error_code ec;
    std::uint64_t generation = 0;
    std::vector<partition_ref> partitions;
};

/// Who holds a partition within a group.
struct partition_owner_row
{
    partition_ref partition;
    std::string member;
};

/// Members of a group as the store knows them.
struct owners_result
{
    std::error_code ec;
    std::vector<partition_owner_row> rows;
};

/// The platform's metadata store: logs with conditional appends, keyed topics
/// that keep the newest record of each key, and groups. All calls come from,
/// and all handlers run on, one thread. Each handler is called once.
struct store_service
{
    std::function<void(append_call, std::function<void(append_result)>)> append;
    std::function<void(read_call, std::function<void(read_result)>)> read;
    std::function<void(partition_ref, std::function<void(newest_result)>)>
        newest;
    std::function<void(join_call, std::function<void(join_result)>)> join;
    std::function<void(std::string group, std::string member,
                       std::function<void(std::error_code)>)>
        leave;
    std::function<void(std::string group, std::function<void(owners_result)>)>
        owners;

    /// When the store last answered anything.
    std::function<common::time_point()> last_contact;
};

} // namespace tanagertrack::store

#endif
