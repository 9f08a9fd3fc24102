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

/// Names one partition of a topic.
struct partition_ref
{
    std::string topic;
    std::uint32_t partition = 0;

    bool operator==(const partition_ref&) const = default;
};

/// Identifies a producer and the sequence number of its append to a partition.
/// The store rejects an epoch lower than the highest one it has seen from this
/// producer, and executes each sequence number of an epoch at most once.
struct producer_stamp
{
    std::string name;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

/// Request to append records atomically: either all of them or none.
struct append_call
{
    partition_ref to;

    /// Records in order. If empty, only the producer's epoch is set.
    std::vector<std::string> records;

    /// If set, the append is executed only if the partition ends at this
    /// offset.
    std::optional<std::uint64_t> expected_end;
    std::optional<producer_stamp> producer;
};

/// Result of an append.
struct append_result
{
    /// No error, or one of:
    /// - `log_unavailable`: nothing was appended.
    /// - `log_append_unknown`: the records may have been appended, or may still
    ///   be appended seconds later.
    /// - `log_moved`: the partition did not end at `expected_end`; `end` holds
    ///   its actual end.
    /// - `producer_fenced`: the store has seen a higher epoch of the producer.
    /// - `producer_sequence`: the sequence number is not the expected one,
    ///   which is in `end`.
    /// - `log_full`: the store has no space left.
    std::error_code ec;

    /// Offset of the first appended record.
    std::uint64_t offset = 0;

    /// Offset after the last appended record.
    std::uint64_t end = 0;
};

/// Request to read records of a partition.
struct read_call
{
    partition_ref from;
    std::uint64_t offset = 0;
    std::size_t max_bytes = 1024UL * 1024;

    /// Time for which the store waits for a record before it returns an empty
    /// result; 0: it returns at once.
    std::chrono::milliseconds wait{0};
};

/// Consecutive records of a partition.
struct read_result
{
    /// No error, `log_unavailable`, or `log_offset_expired` (the requested
    /// offset is no longer retained; `first` is set).
    std::error_code ec;

    /// First offset that is retained, and the offset after the partition's last
    /// record.
    std::uint64_t first = 0;
    std::uint64_t end = 0;
    std::vector<std::string> records;
};

/// Newest record of a key in a keyed topic.
struct keyed_record
{
    std::string key;
    std::string value;
    std::uint64_t offset = 0;
};

/// Newest records of all keys in a partition of a keyed topic.
struct newest_result
{
    std::error_code ec;
    std::vector<keyed_record> records;

    /// Offset from which to read the changes made after this result.
    std::uint64_t end = 0;
};

/// Request to join a group, or to renew the membership in it.
struct join_call
{
    std::string group;
    std::string member;

    /// Topics whose partitions are assigned to the members of the group.
    std::vector<std::string> topics;

    /// Time without a renewal after which the member is removed.
    std::chrono::milliseconds session_timeout{3000};

    /// Last generation received; 0 in the first call.
    std::uint64_t generation = 0;
};

/// Partitions assigned to a member in one generation of the group.
struct join_result
{
    std::error_code ec;
    std::uint64_t generation = 0;
    std::vector<partition_ref> partitions;
};

/// Member that a partition is assigned to.
struct partition_owner_row
{
    partition_ref partition;
    std::string member;
};

/// Partition assignments of a group, as the store has them.
struct owners_result
{
    std::error_code ec;
    std::vector<partition_owner_row> rows;
};

/// Client interface of the platform's metadata store: logs with conditional
/// appends, keyed topics that retain the newest record of each key, and groups.
/// All calls are made on one thread, and all handlers run on it. Each handler
/// is called exactly once.
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

    /// Returns the time at which the store last answered a call of any kind.
    std::function<common::time_point()> last_contact;
};

/// Limits published by the store.
struct store_limits
{
    /// Number of partitions of each topic.
    std::uint32_t partitions = 1;

    /// Maximum size of one record, and of all records of one append.
    std::size_t max_record_bytes = 256UL * 1024;
    std::size_t max_append_bytes = 2UL * 1024 * 1024;

    /// Minimum time for which records are retained.
    std::chrono::milliseconds retention{std::chrono::minutes(5)};

    /// Shortest session timeout that a member of a group may request.
    std::chrono::milliseconds min_session_timeout{1000};
};

} // namespace tanagertrack::store

#endif
