#ifndef REVIEW_STANDIN_3_STORE_HPP
#define REVIEW_STANDIN_3_STORE_HPP

// Stand-in of the platform's metadata store (PROTOCOL.md, "The platform's
// metadata store"). It loses nothing that it has acknowledged, except the
// records that the page says it drops: those older than `queueTtlS`, and the
// oldest ones of a partition that holds more than `partMb`.

#include "net.hpp"

#include <boost/json.hpp>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace review
{

namespace json = boost::json;

struct store_limits
{
    std::uint32_t parts = 12;
    std::size_t record_bytes = 262144;
    std::size_t call_bytes = 2097152;
    std::size_t part_bytes = 200UL * 1024 * 1024;
    std::size_t total_bytes = 400UL * 1024 * 1024;
    std::chrono::seconds age{300};
    milliseconds append_time{2};
    double part_bytes_per_ms = 20.0 * 1000;
};

inline std::string encode_base64(std::string_view in)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    out.reserve(in.size() * 4 / 3 + 4);
    for (std::size_t i = 0; i < in.size(); i += 3)
    {
        unsigned n = static_cast<unsigned char>(in[i]) << 16;
        if (i + 1 < in.size())
            n |= static_cast<unsigned char>(in[i + 1]) << 8;
        if (i + 2 < in.size())
            n |= static_cast<unsigned char>(in[i + 2]);
        out += digits[n >> 18];
        out += digits[n >> 12 & 63];
        out += i + 1 < in.size() ? digits[n >> 6 & 63] : '=';
        out += i + 2 < in.size() ? digits[n & 63] : '=';
    }
    return out;
}

class store
{
public:
    explicit store(store_limits limits = {})
        : limits_(limits), port_(free_port()),
          server_(port_, [this](int fd, request& it) { return handle(fd, it); })
    {
    }

    std::uint16_t port() const
    {
        return port_;
    }

    /// Writes a record of a keyed topic, as the operator or a target does. An
    /// empty value drops the key.
    void put(const std::string& topic, const std::string& key,
             const std::string& value)
    {
        std::string record(1, static_cast<char>(key.size()));
        record += key;
        record += value;
        const std::lock_guard lock(mutex_);
        add(logs_[{topic, 0}], topic, {record});
        changed_.notify_all();
    }

    /// First retained offset, end and bytes of a partition.
    std::string describe(const std::string& topic, std::uint32_t part)
    {
        const std::lock_guard lock(mutex_);
        const auto& it = logs_[{topic, part}];
        return topic + "/" + std::to_string(part) + ": first " +
               std::to_string(it.first) + ", end " + std::to_string(it.end()) +
               ", bytes " + std::to_string(it.bytes);
    }

private:
    struct producer_state
    {
        std::uint64_t epoch = 0;
        std::uint64_t seq = 0;

        /// Numbers and answers of the last appends.
        std::deque<std::pair<std::uint64_t, std::string>> recent;
    };

    struct log
    {
        std::uint64_t first = 0;
        std::deque<std::pair<steady::time_point, std::string>> records;
        std::size_t bytes = 0;
        std::map<std::string, producer_state> producers;
        std::map<std::string, std::pair<std::string, std::uint64_t>> newest;

        /// The end of the appends that this partition has accepted so far.
        steady::time_point busy_until;

        std::uint64_t end() const
        {
            return first + records.size();
        }
    };

    struct member
    {
        std::set<std::string> topics;
        steady::time_point expires;
    };

    struct group
    {
        std::uint64_t generation = 0;
        std::map<std::string, member> members;
        std::map<std::pair<std::string, std::uint32_t>, std::string> owners;
    };

    using key = std::pair<std::string, std::uint32_t>;

    static bool is_keyed(const std::string& topic)
    {
        return topic.starts_with("keyed.");
    }

    void drop_oldest(log& it)
    {
        it.bytes -= it.records.front().second.size();
        total_ -= it.records.front().second.size();
        it.records.pop_front();
        ++it.first;
    }

    void expire(log& it)
    {
        const auto oldest = steady::now() - limits_.age;
        while (!it.records.empty() && (it.records.front().first < oldest ||
                                       it.bytes > limits_.part_bytes))
            drop_oldest(it);
    }

    void add(log& to, const std::string& topic,
             const std::vector<std::string>& records)
    {
        for (const auto& record : records)
        {
            if (is_keyed(topic) && !record.empty())
            {
                const auto n = static_cast<unsigned char>(record[0]);
                const auto name = record.substr(1, n);
                auto value = record.substr(1 + n);
                if (value.empty())
                    to.newest.erase(name);
                else
                    to.newest[name] = {std::move(value), to.end()};
            }
            to.bytes += record.size();
            total_ += record.size();
            to.records.emplace_back(steady::now(), record);
        }
        expire(to);
    }

    bool handle(int fd, request& it)
    {
        if (it.path == "/tanagertrack/log-append")
            return append(fd, it);
        if (it.path == "/tanagertrack/log-read")
            return read(fd, it);
        if (it.path == "/tanagertrack/log-newest")
            return newest(fd, it);
        if (it.path == "/tanagertrack/log-join")
            return join(fd, it);
        if (it.path == "/tanagertrack/log-owners")
            return owners(fd, it);
        if (it.path == "/tanagertrack/log-leave")
            return leave(fd, it);
        return respond(fd, 404, "{}");
    }

    bool append(int fd, request& it)
    {
        std::vector<std::string> records;
        std::string_view body = it.body;
        bool valid = body.size() <= limits_.call_bytes + 65536;
        while (valid && !body.empty())
        {
            std::uint32_t n = 0;
            valid = body.size() >= 4;
            if (!valid)
                break;
            std::memcpy(&n, body.data(), 4);
            n = ntohl(n);
            body.remove_prefix(4);
            valid = n <= limits_.record_bytes && body.size() >= n;
            if (!valid)
                break;
            records.emplace_back(body.substr(0, n));
            body.remove_prefix(n);
        }
        const auto topic = it.text("topic");
        const auto part = static_cast<std::uint32_t>(it.number("part", 0));
        if (!valid || part >= limits_.parts)
            return respond(fd, 400, "{}");
        if (topic == "keyed.op" || topic == "keyed.servers")
            return respond(fd, 403, "{}");

        std::unique_lock lock(mutex_);
        auto& to = logs_[{topic, part}];
        const auto now = steady::now();
        if (to.busy_until > now + std::chrono::seconds(2))
            return respond_unlocked(lock, fd, 503, "{}");
        const milliseconds work(
            limits_.append_time.count() +
            static_cast<long>(static_cast<double>(it.body.size()) /
                              limits_.part_bytes_per_ms));
        to.busy_until = std::max(to.busy_until, now) + work;
        const auto ready_at = to.busy_until;
        lock.unlock();
        std::this_thread::sleep_until(ready_at);
        lock.lock();

        producer_state* producer = nullptr;
        const auto seq = it.number("seq", 0);
        if (const auto name = it.text("producer"); !name.empty())
        {
            producer = &to.producers[name];
            const auto epoch = it.number("epoch", 0);
            if (epoch < producer->epoch)
                return respond_unlocked(lock, fd, 409, R"({"why":"fenced"})");
            if (epoch > producer->epoch)
                *producer = {epoch, seq - 1, {}};
            for (const auto& [number, text] : producer->recent)
            {
                if (number == seq)
                    return respond_unlocked(lock, fd, 200, text);
            }
            if (seq != producer->seq + 1)
                return respond_unlocked(
                    lock, fd, 409,
                    json::serialize(json::object{{"why", "seq"},
                                                 {"seq", producer->seq + 1}}));
        }
        if (total_ + it.body.size() > limits_.total_bytes)
            return respond_unlocked(lock, fd, 507, "{}");
        const auto offset = to.end();
        add(to, topic, records);
        auto text = json::serialize(
            json::object{{"offset", offset}, {"end", to.end()}});
        if (producer != nullptr)
        {
            producer->seq = seq;
            producer->recent.emplace_back(seq, text);
            if (producer->recent.size() > 5)
                producer->recent.pop_front();
        }
        changed_.notify_all();
        return respond_unlocked(lock, fd, 200, text);
    }

    static bool respond_unlocked(std::unique_lock<std::mutex>& lock, int fd,
                                 int status, const std::string& body)
    {
        lock.unlock();
        return respond(fd, status, body);
    }

    bool read(int fd, request& it)
    {
        const auto deadline =
            steady::now() +
            milliseconds(std::min<std::uint64_t>(it.number("waitMs", 0), 30000));
        const auto from = it.number("from", 0);
        const auto max_bytes = it.number("maxKb", 1024) * 1024;
        std::unique_lock lock(mutex_);
        auto& log = logs_[{it.text("topic"),
                           static_cast<std::uint32_t>(it.number("part", 0))}];
        expire(log);
        while (from >= log.end() && steady::now() < deadline)
        {
            if (is_closed_by_peer(fd))
                return false;
            changed_.wait_until(
                lock, std::min(deadline, steady::now() + milliseconds(200)));
            expire(log);
        }
        if (from < log.first)
            return respond_unlocked(
                lock, fd, 410,
                json::serialize(json::object{{"first", log.first}}));
        std::string out;
        add_number(out, log.end());
        add_number(out, log.first);
        std::size_t bytes = 0;
        for (auto n = from; n < log.end(); ++n)
        {
            const auto& data = log.records[n - log.first].second;
            if (n != from && bytes + data.size() > max_bytes)
                break;
            bytes += data.size();
            const auto length = htonl(static_cast<std::uint32_t>(data.size()));
            out.append(reinterpret_cast<const char*>(&length), 4);
            out += data;
        }
        return respond_unlocked(lock, fd, 200, out);
    }

    static void add_number(std::string& out, std::uint64_t value)
    {
        for (int shift = 56; shift >= 0; shift -= 8)
            out += static_cast<char>(value >> shift & 255);
    }

    bool newest(int fd, request& it)
    {
        std::unique_lock lock(mutex_);
        const auto& log =
            logs_[{it.text("topic"),
                   static_cast<std::uint32_t>(it.number("part", 0))}];
        const auto after = it.text("after");
        json::array items;
        bool more = false;
        for (const auto& [name, entry] : log.newest)
        {
            if (!after.empty() && name <= after)
                continue;
            more = items.size() == 500;
            if (more)
                break;
            items.push_back(json::object{{"key", name},
                                         {"value", encode_base64(entry.first)},
                                         {"offset", entry.second}});
        }
        return respond_unlocked(lock, fd, 200,
                                json::serialize(json::object{
                                    {"items", std::move(items)},
                                    {"hasMore", more},
                                    {"end", log.end()}}));
    }

    void remove_silent(group& it)
    {
        const auto now = steady::now();
        if (std::erase_if(it.members, [now](const auto& entry)
                          { return entry.second.expires < now; }) != 0)
            assign(it);
    }

    void assign(group& it)
    {
        ++it.generation;
        it.owners.clear();
        if (it.members.empty())
            return;
        std::set<std::string> topics;
        for (const auto& [name, entry] : it.members)
            topics.insert(entry.topics.begin(), entry.topics.end());
        auto next = it.members.begin();
        for (const auto& topic : topics)
        {
            for (std::uint32_t n = 0; n < limits_.parts; ++n)
            {
                it.owners[{topic, n}] = next->first;
                if (++next == it.members.end())
                    next = it.members.begin();
            }
        }
    }

    bool join(int fd, request& it)
    {
        const auto body = json::parse(it.body).as_object();
        std::set<std::string> topics;
        for (const auto& topic : body.at("topics").as_array())
            topics.emplace(topic.as_string());
        const std::string name(body.at("member").as_string());
        std::unique_lock lock(mutex_);
        auto& to = groups_[std::string(body.at("group").as_string())];
        remove_silent(to);
        const bool changed =
            !to.members.contains(name) || to.members[name].topics != topics;
        to.members[name] = {topics,
                            steady::now() +
                                milliseconds(
                                    body.at("ttlMs").to_number<std::int64_t>())};
        if (changed)
            assign(to);
        json::array rows;
        for (const auto& [partition, owner] : to.owners)
        {
            if (owner == name)
                rows.push_back(json::array{partition.first, partition.second, 0});
        }
        return respond_unlocked(
            lock, fd, 200,
            json::serialize(json::object{{"generation", to.generation},
                                         {"parts", std::move(rows)}}));
    }

    bool owners(int fd, request& it)
    {
        std::unique_lock lock(mutex_);
        auto& from = groups_[it.text("group")];
        remove_silent(from);
        json::array rows;
        for (const auto& [partition, owner] : from.owners)
            rows.push_back(
                json::array{partition.first, partition.second, owner, 0});
        return respond_unlocked(
            lock, fd, 200,
            json::serialize(json::object{{"parts", std::move(rows)}}));
    }

    bool leave(int fd, request& it)
    {
        const auto body = json::parse(it.body).as_object();
        std::unique_lock lock(mutex_);
        auto& from = groups_[std::string(body.at("group").as_string())];
        if (from.members.erase(std::string(body.at("member").as_string())) != 0)
            assign(from);
        return respond_unlocked(lock, fd, 200, "{}");
    }

    store_limits limits_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<key, log> logs_;
    std::map<std::string, group> groups_;
    std::size_t total_ = 0;
    std::uint16_t port_;
    server server_;
};

} // namespace review

#endif
