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
constexpr unsigned status_precondition_failed = 412;
constexpr unsigned status_insufficient_storage = 507;

/// Number of appends of a producer that are recognized when they are repeated.
constexpr std::size_t remembered_appends = 5;

bool is_keyed(std::string_view topic)
{
    return topic.starts_with("keyed.");
}

/// Splits a record of a keyed topic: a length byte, the key and the value.
/// Returns false if it is malformed.
bool split_keyed(std::string_view data, std::string& key, std::string& value)
{
    const std::size_t key_size =
        data.empty() ? 0 : static_cast<unsigned char>(data.front());
    if (data.empty() || data.size() < 1 + key_size)
        return false;
    key = data.substr(1, key_size);
    value = data.substr(1 + key_size);
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
    drop_expired(*it, now);
    if (const auto no_append = validate_append(*it, call))
        return *no_append;
    if (bytes_ + bytes > limits_.max_bytes)
    {
        result.status = status_insufficient_storage;
        return result;
    }
    result.offset = it->end();
    for (const auto& record : call.records)
        it->records.push_back({record, now});
    bytes_ += bytes;
    result.end = it->end();
    if (is_keyed(call.topic))
        update_keys(*it, call);
    if (!call.producer.empty())
    {
        auto& producer = it->producers[call.producer];
        producer.sequence = call.sequence;
        producer.recent.emplace_back(call.sequence, result);
        if (producer.recent.size() > remembered_appends)
            producer.recent.pop_front();
    }
    return result;
}

std::optional<model_append_result>
store_model::validate_append(log& to, const model_append& call)
{
    model_append_result result;
    result.end = to.end();
    if (!call.producer.empty())
    {
        auto& producer = to.producers[call.producer];
        if (call.epoch < producer.epoch)
        {
            result.status = status_conflict;
            result.conflict = "fenced";
            return result;
        }
        if (call.epoch > producer.epoch)
            producer = {call.epoch, call.sequence - 1, {}};
        if (call.records.empty())
        {
            result.offset = to.end();
            return result;
        }
        for (const auto& [sequence, first_result] : producer.recent)
        {
            if (sequence == call.sequence)
                return first_result;
        }
        if (call.sequence != producer.sequence + 1)
        {
            result.status = status_conflict;
            result.conflict = "seq";
            result.expected_sequence = producer.sequence + 1;
            return result;
        }
    }
    if (call.expected_end && *call.expected_end != to.end())
    {
        result.status = status_precondition_failed;
        return result;
    }
    return std::nullopt;
}

void store_model::update_keys(log& to, const model_append& call)
{
    auto offset = to.end() - call.records.size();
    for (const auto& record : call.records)
    {
        std::string key;
        std::string value;
        if (split_keyed(record, key, value))
        {
            if (value.empty())
                to.keys.erase(key);
            else
                to.keys[key] = {value, offset};
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
    drop_expired(*it, now);
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

void store_model::drop_expired(log& from, time_point now)
{
    while (!from.records.empty() &&
           from.records.front().appended + limits_.retention < now)
        drop_first(from);
}

void store_model::drop_first(log& from)
{
    bytes_ -= from.records.front().data.size();
    from.records.pop_front();
    ++from.first;
}

std::uint64_t store_model::join(const std::string& group,
                                const std::string& member,
                                const std::vector<std::string>& topics,
                                std::chrono::milliseconds session_timeout,
                                time_point now, std::vector<model_share>& share)
{
    auto& it = groups_[group];
    expire_members(it, now);
    const bool known = it.members.contains(member);
    auto& state = it.members[member];
    const bool changed = !known || state.topics != topics;
    state.topics = topics;
    state.session_timeout = std::max(session_timeout, limits_.min_session);
    state.last_join = now;
    if (changed)
        assign_partitions(it);
    for (const auto& [key, owner] : it.owners)
    {
        if (owner == member)
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
        assign_partitions(it);
}

unsigned store_model::commit(const std::string& group,
                             const std::string& member,
                             std::uint64_t generation, const std::string& topic,
                             std::uint32_t partition, std::uint64_t offset,
                             time_point now)
{
    auto& it = groups_[group];
    expire_members(it, now);
    const auto owner = it.owners.find({topic, partition});
    if (owner == it.owners.end() || owner->second != member ||
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
    for (const auto& [key, owner] : it.owners)
        rows.push_back({key.first, key.second, owner, it.committed[key]});
    return rows;
}

void store_model::expire_members(group_state& group, time_point now)
{
    const auto expired = std::erase_if(
        group.members,
        [now](const auto& entry) {
            return entry.second.last_join + entry.second.session_timeout < now;
        });
    if (expired != 0)
        assign_partitions(group);
}

void store_model::assign_partitions(group_state& group)
{
    ++group.generation;
    std::map<partition_key, std::string> owners;
    std::map<std::string, std::size_t> load;
    std::vector<std::string> topics;
    for (const auto& [id, member] : group.members)
        topics.insert(topics.end(), member.topics.begin(), member.topics.end());
    std::ranges::sort(topics);
    topics.erase(std::unique(topics.begin(), topics.end()), topics.end());

    // A member keeps its partitions up to an equal share of the total.
    std::vector<partition_key> unassigned;
    std::size_t eligible_members = 0;
    for (const auto& [id, member] : group.members)
        eligible_members += member.revoked ? 0 : 1;
    const auto total = topics.size() * limits_.partitions;
    const auto max_load =
        eligible_members == 0
            ? 0
            : (total + eligible_members - 1) / eligible_members;
    for (const auto& topic : topics)
    {
        for (std::uint32_t n = 0; n < limits_.partitions; ++n)
        {
            const partition_key key{topic, n};
            const auto owner = group.owners.find(key);
            const bool keeps_owner = group.reassign_all == 0 &&
                                     owner != group.owners.end() &&
                                     group.members.contains(owner->second) &&
                                     !group.members[owner->second].revoked &&
                                     load[owner->second] < max_load;
            if (keeps_owner)
            {
                owners[key] = owner->second;
                ++load[owner->second];
            }
            else
                unassigned.push_back(key);
        }
    }
    for (const auto& key : unassigned)
    {
        const std::string* least_loaded = nullptr;
        for (const auto& [id, member] : group.members)
        {
            const bool is_candidate =
                !member.revoked &&
                std::ranges::find(member.topics, key.first) !=
                    member.topics.end();
            if (is_candidate &&
                (least_loaded == nullptr || load[id] < load[*least_loaded]))
                least_loaded = &id;
        }
        if (least_loaded == nullptr)
            continue;
        owners[key] = *least_loaded;
        ++load[*least_loaded];
    }
    group.owners = std::move(owners);
    group.reassign_all = 0;
}

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
        it.reassign_all = 1;
        it.owners.clear();
        assign_partitions(it);
    }
}

void store_model::expire_sessions()
{
    for (auto& [name, it] : groups_)
    {
        it.members.clear();
        assign_partitions(it);
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
        assign_partitions(it);
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
