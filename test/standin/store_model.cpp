#include "standin/store_model.hpp"

#include <algorithm>
#include <utility>

namespace tanagertrack::standin
{

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_gone = 410;
constexpr unsigned status_moved = 412;
constexpr unsigned status_full = 507;

/// Appends of a producer whose repeat gets the first answer again.
constexpr std::size_t repeated_appends = 5;

bool is_keyed(std::string_view topic)
{
    return topic.starts_with("keyed.");
}

/// Splits a record of a keyed topic; false when it is none.
bool split_keyed(std::string_view data, std::string& key, std::string& value)
{
    const std::size_t n =
        data.empty() ? 0 : static_cast<unsigned char>(data.front());
    if (data.empty() || data.size() < 1 + n)
        return false;
    key = data.substr(1, n);
    value = data.substr(1 + n);
    return true;
}

} // namespace

store_model::store_model(store_limits limits) : limits_(limits)
{
}

store_model::log* store_model::find_log(const std::string& topic,
                                        std::uint32_t partition, bool create)
{
    if (partition >= limits_.partitions)
        return nullptr;
    auto it = topics_.find(topic);
    if (it == topics_.end())
    {
        if (!create || topics_.size() >= limits_.max_topics)
            return nullptr;
        it = topics_.emplace(topic, std::vector<log>(limits_.partitions)).first;
    }
    return &it->second[partition];
}

const store_model::log* store_model::find_log(const std::string& topic,
                                              std::uint32_t partition) const
{
    const auto it = topics_.find(topic);
    return it == topics_.end() || partition >= limits_.partitions
               ? nullptr
               : &it->second[partition];
}

model_append_result store_model::append(const model_append& call,
                                        time_point now)
{
    model_append_result result;
    std::size_t bytes = 0;
    for (const auto& it : call.records)
    {
        bytes += it.size();
        if (it.size() > limits_.max_record_bytes)
            result.status = status_bad_request;
    }
    if (bytes > limits_.max_append_bytes)
        result.status = status_bad_request;
    auto* it = find_log(call.topic, call.partition, true);
    if (it == nullptr)
        result.status = status_bad_request;
    if (result.status != status_ok)
        return result;
    expire(*it, now);
    if (const auto refused = judge(*it, call))
        return *refused;
    if (bytes_ + bytes > limits_.max_bytes)
    {
        result.status = status_full;
        return result;
    }
    result.offset = it->end();
    for (const auto& record : call.records)
        it->records.push_back({record, now});
    bytes_ += bytes;
    result.end = it->end();
    if (is_keyed(call.topic))
        note_keys(*it, call);
    if (!call.producer.empty())
    {
        auto& producer = it->producers[call.producer];
        producer.sequence = call.sequence;
        producer.last.emplace_back(call.sequence, result);
        if (producer.last.size() > repeated_appends)
            producer.last.pop_front();
    }
    return result;
}

std::optional<model_append_result> store_model::judge(log& it,
                                                      const model_append& call)
{
    model_append_result refused;
    refused.end = it.end();
    if (!call.producer.empty())
    {
        auto& producer = it.producers[call.producer];
        if (call.epoch < producer.epoch)
        {
            refused.status = status_conflict;
            refused.why = "fenced";
            return refused;
        }
        if (call.epoch > producer.epoch)
            producer = {call.epoch, call.sequence - 1, {}};
        if (call.records.empty())
        {
            refused.offset = it.end();
            return refused;
        }
        for (const auto& [sequence, result] : producer.last)
        {
            if (sequence == call.sequence)
                return result;
        }
        if (call.sequence != producer.sequence + 1)
        {
            refused.status = status_conflict;
            refused.why = "seq";
            refused.expected = producer.sequence + 1;
            return refused;
        }
    }
    if (call.at && *call.at != it.end())
    {
        refused.status = status_moved;
        return refused;
    }
    return std::nullopt;
}

void store_model::note_keys(log& it, const model_append& call)
{
    auto offset = it.end() - call.records.size();
    for (const auto& record : call.records)
    {
        std::string key;
        std::string value;
        if (split_keyed(record, key, value))
        {
            if (value.empty())
                it.keys.erase(key);
            else
                it.keys[key] = {value, offset};
        }
        ++offset;
    }
}

model_read_result store_model::read(const std::string& topic,
                                    std::uint32_t partition, std::uint64_t from,
                                    std::size_t max_bytes, time_point now)
{
    model_read_result result;
    auto* it = find_log(topic, partition, false);
    if (it == nullptr)
        return result;
    expire(*it, now);
    result.first = it->first;
    result.end = it->end();
    if (from < it->first)
    {
        result.status = status_gone;
        return result;
    }
    std::size_t bytes = 0;
    for (auto n = from; n < it->end(); ++n)
    {
        const auto& data = it->records[n - it->first].data;
        if (!result.records.empty() && bytes + data.size() > max_bytes)
            break;
        bytes += data.size();
        result.records.push_back(data);
    }
    return result;
}

std::vector<model_key> store_model::newest(const std::string& topic,
                                           std::uint32_t partition,
                                           std::uint64_t& end) const
{
    std::vector<model_key> keys;
    end = 0;
    const auto* it = find_log(topic, partition);
    if (it == nullptr)
        return keys;
    end = it->end();
    for (const auto& [key, entry] : it->keys)
        keys.push_back({key, entry.first, entry.second});
    return keys;
}

std::uint64_t store_model::end(const std::string& topic,
                               std::uint32_t partition) const
{
    const auto* it = find_log(topic, partition);
    return it == nullptr ? 0 : it->end();
}

void store_model::trim(const std::string& topic, std::uint32_t partition,
                       std::uint64_t before)
{
    auto* it = find_log(topic, partition, false);
    while (it != nullptr && !it->records.empty() && it->first < before)
        drop_first(*it);
}

void store_model::put(const std::string& topic, const std::string& key,
                      const std::optional<std::string>& value, time_point now)
{
    model_append call;
    call.topic = topic;
    std::string record(1, static_cast<char>(key.size()));
    record += key;
    record += value.value_or("");
    call.records.push_back(std::move(record));
    append(call, now);
}

void store_model::expire(log& it, time_point now)
{
    while (!it.records.empty() &&
           it.records.front().appended + limits_.retention < now)
        drop_first(it);
}

void store_model::drop_first(log& it)
{
    bytes_ -= it.records.front().data.size();
    it.records.pop_front();
    ++it.first;
}

// ---- groups ----

std::uint64_t store_model::join(const std::string& group,
                                const std::string& member,
                                const std::vector<std::string>& topics,
                                std::chrono::milliseconds session,
                                time_point now, std::vector<model_share>& share)
{
    auto& it = groups_[group];
    expire_members(it, now);
    const bool known = it.members.contains(member);
    auto& state = it.members[member];
    const bool changed = !known || state.topics != topics;
    state.topics = topics;
    state.session = std::max(session, limits_.min_session);
    state.seen = now;
    if (changed)
        share_out(it);
    for (const auto& [key, holder] : it.holders)
    {
        if (holder == member)
            share.push_back({key.first, key.second, member, it.committed[key]});
    }
    return it.generation;
}

void store_model::leave(const std::string& group, const std::string& member,
                        time_point now)
{
    auto& it = groups_[group];
    expire_members(it, now);
    if (it.members.erase(member) != 0)
        share_out(it);
}

unsigned store_model::commit(const std::string& group,
                             const std::string& member,
                             std::uint64_t generation, const std::string& topic,
                             std::uint32_t partition, std::uint64_t offset,
                             time_point now)
{
    auto& it = groups_[group];
    expire_members(it, now);
    const auto holder = it.holders.find({topic, partition});
    if (holder == it.holders.end() || holder->second != member ||
        generation > it.generation)
        return status_conflict;
    it.committed[{topic, partition}] = offset;
    return status_ok;
}

std::vector<model_share> store_model::owners(const std::string& group,
                                             time_point now)
{
    auto& it = groups_[group];
    expire_members(it, now);
    std::vector<model_share> rows;
    for (const auto& [key, holder] : it.holders)
        rows.push_back({key.first, key.second, holder, it.committed[key]});
    return rows;
}

void store_model::expire_members(group_state& it, time_point now)
{
    const auto gone = std::erase_if(
        it.members, [now](const auto& entry)
        { return entry.second.seen + entry.second.session < now; });
    if (gone != 0)
        share_out(it);
}

void store_model::share_out(group_state& it)
{
    ++it.generation;
    std::map<partition_key, std::string> holders;
    std::map<std::string, std::size_t> load;
    std::vector<std::string> topics;
    for (const auto& [id, member] : it.members)
        topics.insert(topics.end(), member.topics.begin(), member.topics.end());
    std::ranges::sort(topics);
    topics.erase(std::unique(topics.begin(), topics.end()), topics.end());

    // Who holds a partition keeps it while it has no more than its share.
    std::vector<partition_key> free;
    std::size_t eligible = 0;
    for (const auto& [id, member] : it.members)
        eligible += member.revoked ? 0 : 1;
    const auto total = topics.size() * limits_.partitions;
    const auto most = eligible == 0 ? 0 : (total + eligible - 1) / eligible;
    for (const auto& topic : topics)
    {
        for (std::uint32_t n = 0; n < limits_.partitions; ++n)
        {
            const partition_key key{topic, n};
            const auto held = it.holders.find(key);
            const bool keeps = it.shuffle == 0 && held != it.holders.end() &&
                               it.members.contains(held->second) &&
                               !it.members[held->second].revoked &&
                               load[held->second] < most;
            if (keeps)
            {
                holders[key] = held->second;
                ++load[held->second];
            }
            else
                free.push_back(key);
        }
    }
    for (const auto& key : free)
    {
        const std::string* least = nullptr;
        for (const auto& [id, member] : it.members)
        {
            const bool wants = !member.revoked &&
                               std::ranges::find(member.topics, key.first) !=
                                   member.topics.end();
            if (wants && (least == nullptr || load[id] < load[*least]))
                least = &id;
        }
        if (least == nullptr)
            continue;
        holders[key] = *least;
        ++load[*least];
    }
    it.holders = std::move(holders);
    it.shuffle = 0;
}

// ---- faults ----

void store_model::forget_history()
{
    for (auto& [topic, logs] : topics_)
    {
        if (!is_keyed(topic))
            continue;
        for (auto& it : logs)
        {
            while (!it.records.empty())
                drop_first(it);
        }
    }
}

void store_model::rebalance()
{
    for (auto& [name, it] : groups_)
    {
        it.shuffle = 1;
        it.holders.clear();
        share_out(it);
    }
}

void store_model::expire_sessions()
{
    for (auto& [name, it] : groups_)
    {
        it.members.clear();
        share_out(it);
    }
}

void store_model::revoke(const std::string& member)
{
    for (auto& [name, it] : groups_)
    {
        const auto found = it.members.find(member);
        if (found == it.members.end())
            continue;
        found->second.revoked = true;
        share_out(it);
    }
}

void store_model::rewind(std::uint64_t records)
{
    for (auto& [name, it] : groups_)
    {
        for (auto& [key, offset] : it.committed)
            offset -= std::min(offset, records);
    }
}

} // namespace tanagertrack::standin
