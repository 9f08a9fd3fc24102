#ifndef TANAGERTRACK_STANDIN_STORE_MODEL_HPP
#define TANAGERTRACK_STANDIN_STORE_MODEL_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tanagertrack::standin
{

/// Limits of a store.
struct store_limits
{
    std::uint32_t partitions = 12;
    std::size_t max_record_bytes = 256UL * 1024;
    std::size_t max_append_bytes = 2UL * 1024 * 1024;
    std::size_t max_bytes = 400UL * 1024 * 1024;
    std::size_t max_topics = 100;

    /// Records older than this are dropped.
    std::chrono::milliseconds retention{300000};

    /// Lower bound of the session timeout of group members.
    std::chrono::milliseconds min_session{1000};
};

/// Arguments of an append.
struct model_append
{
    std::string topic;
    std::uint32_t partition = 0;
    std::vector<std::string> records;

    /// The append is refused with 412 if the partition ends at another offset.
    std::optional<std::uint64_t> expected_end;

    /// Name of the producer; empty: the append is not deduplicated. Within
    /// an epoch, a producer numbers its appends consecutively; a gap or an
    /// older epoch gets 409.
    std::string producer;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

/// HTTP status and fields of the answer to an append.
struct model_append_result
{
    unsigned status = 200;

    /// Offset of the first record appended.
    std::uint64_t offset = 0;

    /// End of the partition after the append.
    std::uint64_t end = 0;

    /// With status 409: "fenced" (the epoch is out of date) or "seq" (the
    /// append does not have the number `expected_sequence`).
    std::string conflict;
    std::uint64_t expected_sequence = 0;
};

/// HTTP status and fields of the answer to a read.
struct model_read_result
{
    unsigned status = 200;

    /// Offsets of the oldest record that is kept and behind the newest one.
    std::uint64_t first = 0;
    std::uint64_t end = 0;
    std::vector<std::string> records;
};

/// Newest value of a key and the offset of its record.
struct model_key
{
    std::string key;
    std::string value;
    std::uint64_t offset = 0;
};

/// Partition that is assigned to a member of a group.
struct model_share
{
    std::string topic;
    std::uint32_t partition = 0;
    std::string member;

    /// Offset that was committed last for the partition; 0: none.
    std::uint64_t committed = 0;
};

/// In-memory model of the platform's metadata store as PROTOCOL.md describes
/// it: logs with conditional appends and idempotent producers, keyed topics,
/// and consumer groups. Topics and groups are created when they are first used;
/// a topic whose name starts with "keyed." is keyed. Has no clock of its own:
/// the current time is passed in. Not thread-safe.
class store_model
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit store_model(store_limits limits);

    /// Appends records, or none of them. Status 400: a record, the call or the
    /// partition number exceeds a limit, or there are too many topics; 409 and
    /// 412: see model_append; 507: the store is full. A repeated append of a
    /// producer gets the result of the first one.
    model_append_result append(const model_append& call, time_point now);

    /// Returns records from offset `from` on: at least one if there is one, and
    /// further ones up to `max_bytes` in total. Status 410 if the record at
    /// `from` was dropped already.
    model_read_result read(const std::string& topic, std::uint32_t partition,
                           std::uint64_t from, std::size_t max_bytes,
                           time_point now);

    /// Returns the newest value of each key of a keyed topic in the order of
    /// the keys, and sets `end` to the end of the partition.
    std::vector<model_key> newest(const std::string& topic,
                                  std::uint32_t partition,
                                  std::uint64_t& end) const;

    /// Returns the offset behind the last record; 0 for an unknown topic.
    std::uint64_t end(const std::string& topic, std::uint32_t partition) const;

    /// Drops the records with an offset lower than `before`.
    void trim(const std::string& topic, std::uint32_t partition,
              std::uint64_t before);

    /// Joins a group, or renews the member's session, which ends
    /// `session_timeout` after the last join. Returns the generation of the
    /// group, and adds the partitions of the member to `share`.
    std::uint64_t join(const std::string& group, const std::string& member,
                       const std::vector<std::string>& topics,
                       std::chrono::milliseconds session_timeout,
                       time_point now, std::vector<model_share>& share);
    void leave(const std::string& group, const std::string& member,
               time_point now);

    /// Commits an offset. Returns 200, or 409 if the partition is not assigned
    /// to the member or the generation is higher than the group's.
    unsigned commit(const std::string& group, const std::string& member,
                    std::uint64_t generation, const std::string& topic,
                    std::uint32_t partition, std::uint64_t offset,
                    time_point now);

    /// Returns all assigned partitions of a group with their members.
    std::vector<model_share> owners(const std::string& group, time_point now);

    /// Writes a key to partition 0 of a keyed topic, as the operator or a
    /// target does; removes the key if there is no value. `key` has at most 255
    /// bytes.
    void put(const std::string& topic, const std::string& key,
             const std::optional<std::string>& value, time_point now);

    // Faults.

    /// Drops all records of keyed topics; newest() still returns their values.
    void forget_history();

    /// Reassigns all partitions of all groups without regard to their present
    /// members.
    void rebalance();

    /// Removes all members from all groups.
    void expire_sessions();

    /// Reassigns the partitions of a member. It stays in its groups and its
    /// joins succeed, but it gets no partitions.
    void revoke(const std::string& member);

    /// Moves all committed offsets back by `records`, at most to 0.
    void rewind(std::uint64_t records);

    const store_limits& limits() const
    {
        return limits_;
    }

    /// Total size of all records that are kept.
    std::size_t bytes() const
    {
        return bytes_;
    }

private:
    struct record
    {
        std::string data;
        time_point appended;
    };

    struct producer_state
    {
        std::uint64_t epoch = 0;

        /// Number of the last append.
        std::uint64_t sequence = 0;

        /// Numbers and results of the most recent appends, oldest first.
        std::deque<std::pair<std::uint64_t, model_append_result>> recent;
    };

    struct log
    {
        /// Offset of the first element of `records`.
        std::uint64_t first = 0;
        std::deque<record> records;
        std::map<std::string, producer_state> producers;

        /// Newest value of each key and the offset of its record.
        std::map<std::string, std::pair<std::string, std::uint64_t>> keys;

        std::uint64_t end() const
        {
            return first + records.size();
        }
    };

    struct member_state
    {
        std::vector<std::string> topics;
        std::chrono::milliseconds session_timeout{0};
        time_point last_join;

        /// True if the member gets no partitions any more, see revoke().
        bool revoked = false;
    };

    using partition_key = std::pair<std::string, std::uint32_t>;

    struct group_state
    {
        std::uint64_t generation = 0;

        /// Not 0: the next assignment disregards the present owners.
        std::uint64_t reassign_all = 0;
        std::map<std::string, member_state> members;
        std::map<partition_key, std::string> owners;
        std::map<partition_key, std::uint64_t> committed;
    };

    /// Returns the log of a partition. With `create`, a topic that does not
    /// exist is created if there are fewer than `max_topics`. Returns nullptr
    /// if there is no such topic, or if the partition number exceeds the limit.
    log* find_log(const std::string& topic, std::uint32_t partition,
                  bool create);
    const log* find_log(const std::string& topic,
                        std::uint32_t partition) const;

    /// Checks the producer and the expected end, and adopts a newer epoch of
    /// the producer. Returns the result of an append that adds no records
    /// because it is refused, repeated or empty; std::nullopt if the records
    /// are to be appended.
    std::optional<model_append_result>
    validate_append(log& to, const model_append& call);

    /// Updates the newest values from records that were just appended.
    void update_keys(log& to, const model_append& call);
    void drop_expired(log& from, time_point now);
    void drop_first(log& from);
    void expire_members(group_state& group, time_point now);

    /// Starts a new generation and assigns the partitions of all topics that
    /// the members joined for.
    void assign_partitions(group_state& group);

    store_limits limits_;
    std::map<std::string, std::vector<log>> topics_;
    std::map<std::string, group_state> groups_;
    std::size_t bytes_ = 0;
};

} // namespace tanagertrack::standin

#endif
