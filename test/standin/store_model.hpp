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

/// Bounds of a store.
struct store_limits
{
    std::uint32_t partitions = 12;
    std::size_t max_record_bytes = 256UL * 1024;
    std::size_t max_append_bytes = 2UL * 1024 * 1024;
    std::size_t max_bytes = 400UL * 1024 * 1024;
    std::size_t max_topics = 100;
    std::chrono::milliseconds retention{300000};
    std::chrono::milliseconds min_session{1000};
};

/// What an append asks for.
struct model_append
{
    std::string topic;
    std::uint32_t partition = 0;
    std::vector<std::string> records;
    std::optional<std::uint64_t> at;
    std::string producer;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

/// HTTP status and fields of an answer to an append.
struct model_append_result
{
    unsigned status = 200;
    std::uint64_t offset = 0;
    std::uint64_t end = 0;

    /// With 409: "fenced", or "seq" and the expected number.
    std::string why;
    std::uint64_t expected = 0;
};

/// Records from an offset on.
struct model_read_result
{
    unsigned status = 200;
    std::uint64_t first = 0;
    std::uint64_t end = 0;
    std::vector<std::string> records;
};

/// Newest value of a key.
struct model_key
{
    std::string key;
    std::string value;
    std::uint64_t offset = 0;
};

/// Place of a partition in a group.
struct model_share
{
    std::string topic;
    std::uint32_t partition = 0;
    std::string member;
    std::uint64_t committed = 0;
};

/// The users' metadata store as PROTOCOL.md describes it: logs with
/// conditional appends and producers, keyed topics, and groups. Pure: time is
/// an argument. One thread.
class store_model
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit store_model(store_limits limits);

    model_append_result append(const model_append& call, time_point now);
    model_read_result read(const std::string& topic, std::uint32_t partition,
                           std::uint64_t from, std::size_t max_bytes,
                           time_point now);

    /// Newest record of each key of a keyed topic, and the partition's end.
    std::vector<model_key> newest(const std::string& topic,
                                  std::uint32_t partition,
                                  std::uint64_t& end) const;

    /// Offset behind the last record; 0 for a topic that was not used.
    std::uint64_t end(const std::string& topic, std::uint32_t partition) const;

    /// Drops the records before an offset.
    void trim(const std::string& topic, std::uint32_t partition,
              std::uint64_t before);

    /// Joins a group. Returns the generation and the member's share.
    std::uint64_t join(const std::string& group, const std::string& member,
                       const std::vector<std::string>& topics,
                       std::chrono::milliseconds session, time_point now,
                       std::vector<model_share>& share);
    void leave(const std::string& group, const std::string& member,
               time_point now);
    unsigned commit(const std::string& group, const std::string& member,
                    std::uint64_t generation, const std::string& topic,
                    std::uint32_t partition, std::uint64_t offset,
                    time_point now);
    std::vector<model_share> owners(const std::string& group, time_point now);

    /// Writes a key as the operator or a target does; without a value the key
    /// is removed.
    void put(const std::string& topic, const std::string& key,
             const std::optional<std::string>& value, time_point now);

    // Faults.

    /// Forgets the history of keyed topics; the newest values stay.
    void forget_history();

    /// Hands out all partitions of all groups anew.
    void rebalance();

    /// Ends all sessions.
    void expire_sessions();

    /// Takes the partitions of a member away without a word.
    void revoke(const std::string& member);

    /// Moves committed offsets back.
    void rewind(std::uint64_t records);

    const store_limits& limits() const
    {
        return limits_;
    }

    /// Bytes of all records that are kept.
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
        std::uint64_t sequence = 0;

        /// Results of the last appends, by number.
        std::deque<std::pair<std::uint64_t, model_append_result>> last;
    };

    struct log
    {
        std::uint64_t first = 0;
        std::deque<record> records;
        std::map<std::string, producer_state> producers;
        std::map<std::string, std::pair<std::string, std::uint64_t>> keys;

        std::uint64_t end() const
        {
            return first + records.size();
        }
    };

    struct member_state
    {
        std::vector<std::string> topics;
        std::chrono::milliseconds session{0};
        time_point seen;
        bool revoked = false;
    };

    using partition_key = std::pair<std::string, std::uint32_t>;

    struct group_state
    {
        std::uint64_t generation = 0;
        std::uint64_t shuffle = 0;
        std::map<std::string, member_state> members;
        std::map<partition_key, std::string> holders;
        std::map<partition_key, std::uint64_t> committed;
    };

    log* find_log(const std::string& topic, std::uint32_t partition,
                  bool create);
    const log* find_log(const std::string& topic,
                        std::uint32_t partition) const;
    std::optional<model_append_result> judge(log& it, const model_append& call);
    void note_keys(log& it, const model_append& call);
    void expire(log& it, time_point now);
    void drop_first(log& it);
    void expire_members(group_state& it, time_point now);
    void share_out(group_state& it);

    store_limits limits_;
    std::map<std::string, std::vector<log>> topics_;
    std::map<std::string, group_state> groups_;
    std::size_t bytes_ = 0;
};

} // namespace tanagertrack::standin

#endif
