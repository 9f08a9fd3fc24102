// Stand-ins of the platform's store, of engines and of clients, for the scripts
// of review/6 and the following cases. They use the C and C++ libraries and
// Boost.JSON, and run as threads of the program that plays a case. The entries
// under test run as separate processes.

#ifndef REVIEW_STANDIN_HPP
#define REVIEW_STANDIN_HPP

#include <boost/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace json = boost::json;
using clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

/// The script could not run; the exit status is 2.
struct cannot_run : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

// ---- record ----

/// Writes what was sent, answered and run to record.txt, with the time since
/// the start.
class record
{
public:
    explicit record(const std::string& path) : out_(path)
    {
    }

    void line(const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        char at[32];
        std::snprintf(at, sizeof at, "%8.3f s  ", seconds());
        out_ << at << text << '\n' << std::flush;
    }

    double seconds() const
    {
        return std::chrono::duration<double>(clock::now() - start_).count();
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    clock::time_point start_ = clock::now();
};

// ---- sockets and HTTP ----

inline int listen_on_free_port(int& port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(fd, 1024) != 0)
        throw cannot_run("no free port");
    socklen_t length = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
    port = ntohs(address.sin_port);
    return fd;
}

inline int free_port()
{
    int port = 0;
    ::close(listen_on_free_port(port));
    return port;
}

/// Connects to a port of 127.0.0.1 from another loopback address. Returns -1 if
/// the connection fails.
inline int connect_to(int port, const std::string& from = "127.0.0.1")
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in local{};
    local.sin_family = AF_INET;
    ::inet_pton(AF_INET, from.c_str(), &local.sin_addr);
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(static_cast<std::uint16_t>(port));
    peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&local), sizeof local) != 0 ||
        ::connect(fd, reinterpret_cast<sockaddr*>(&peer), sizeof peer) != 0)
    {
        ::close(fd);
        return -1;
    }
    return fd;
}

inline bool send_all(int fd, std::string_view data)
{
    while (!data.empty())
    {
        const auto n = ::send(fd, data.data(), data.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        data.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

using header_map = std::map<std::string, std::string>;

struct message
{
    std::string first_line;
    header_map headers;
    std::string body;
    bool complete = false;

    std::string header(const std::string& name) const
    {
        const auto it = headers.find(name);
        return it == headers.end() ? std::string() : it->second;
    }

    /// Status of a response; 0 if there is none.
    int status() const
    {
        return first_line.size() < 12 ? 0
                                      : std::atoi(first_line.c_str() + 9);
    }
};

/// Reads HTTP messages from a socket.
class reader
{
public:
    explicit reader(int fd) : fd_(fd)
    {
    }

    /// Returns false if the connection ended, or `deadline` passed, before the
    /// message was complete. What was received is in `out`.
    bool read(message& out, clock::time_point deadline)
    {
        out = {};
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == buffer_.npos)
        {
            if (!fill(deadline))
                return false;
        }
        std::istringstream head(buffer_.substr(0, end + 2));
        buffer_.erase(0, end + 4);
        std::string text;
        std::getline(head, out.first_line);
        while (std::getline(head, text) && text.size() > 1)
        {
            const auto colon = text.find(':');
            if (colon == text.npos)
                continue;
            auto value = text.substr(colon + 1);
            while (!value.empty() && (value.back() == '\r' || value.back() == ' '))
                value.pop_back();
            value.erase(0, value.find_first_not_of(' '));
            out.headers[lower(text.substr(0, colon))] = value;
        }
        if (lower(out.header("transfer-encoding")) == "chunked")
            return read_chunks(out, deadline);
        const auto length = std::strtoull(out.header("content-length").c_str(),
                                          nullptr, 10);
        while (buffer_.size() < length)
        {
            if (!fill(deadline))
            {
                out.body = buffer_;
                return false;
            }
        }
        out.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return out.complete = true;
    }

private:
    bool read_chunks(message& out, clock::time_point deadline)
    {
        for (;;)
        {
            std::size_t end = 0;
            while ((end = buffer_.find("\r\n")) == buffer_.npos)
            {
                if (!fill(deadline))
                    return false;
            }
            const auto n = std::strtoull(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < end + 2 + n + 2)
            {
                if (!fill(deadline))
                    return false;
            }
            out.body += buffer_.substr(end + 2, n);
            buffer_.erase(0, end + 2 + n + 2);
            if (n == 0)
                return out.complete = true;
        }
    }

    bool fill(clock::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                              deadline - clock::now())
                              .count();
        pollfd it{fd_, POLLIN, 0};
        if (left <= 0 || ::poll(&it, 1, static_cast<int>(left)) <= 0)
            return false;
        char data[65536];
        const auto n = ::recv(fd_, data, sizeof data, 0);
        if (n <= 0)
            return false;
        buffer_.append(data, static_cast<std::size_t>(n));
        return true;
    }

    int fd_;
    std::string buffer_;
};

/// Sends one request on a new connection. Without an answer, the status of the
/// result is 0.
inline message call(int port, const std::string& method,
                    const std::string& target, const header_map& headers,
                    const std::string& body,
                    std::chrono::milliseconds timeout = 5s,
                    const std::string& from = "127.0.0.1")
{
    message out;
    const int fd = connect_to(port, from);
    if (fd < 0)
        return out;
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(body.size()) +
            "\r\nConnection: close\r\n\r\n" + body;
    const auto deadline = clock::now() + timeout;
    timeval limit{static_cast<time_t>(timeout.count() / 1000 + 1), 0};
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    send_all(fd, text);
    reader(fd).read(out, deadline);
    ::close(fd);
    return out;
}

/// A listener with one thread for each connection.
class server
{
public:
    /// Handles a request; returns false to close the connection.
    using handler = std::function<bool(const message& request, int fd)>;

    explicit server(handler h) : handler_(std::move(h))
    {
        fd_ = listen_on_free_port(port_);
        std::thread([this] { accept_connections(); }).detach();
    }

    int port() const
    {
        return port_;
    }

private:
    void accept_connections()
    {
        for (;;)
        {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread(
                [this, fd]
                {
                    reader in(fd);
                    message request;
                    while (in.read(request, clock::now() + 300s) &&
                           handler_(request, fd))
                        ;
                    ::close(fd);
                })
                .detach();
        }
    }

    handler handler_;
    int fd_ = -1;
    int port_ = 0;
};

inline bool respond(int fd, const std::string& status,
                    const std::string& headers, const std::string& body)
{
    return send_all(fd, "HTTP/1.1 " + status + "\r\n" + headers +
                            "Content-Length: " + std::to_string(body.size()) +
                            "\r\n\r\n" + body);
}

inline std::string query(const std::string& target, const std::string& name)
{
    const auto at = std::min(target.find("?" + name + "="),
                             target.find("&" + name + "="));
    if (at == target.npos)
        return {};
    const auto begin = at + name.size() + 2;
    return target.substr(begin, target.find('&', begin) - begin);
}

inline std::uint64_t query_number(const std::string& target,
                                  const std::string& name)
{
    return std::strtoull(query(target, name).c_str(), nullptr, 10);
}

inline std::string base64(std::string_view data)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < data.size(); i += 3)
    {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
            bits = bits << 8 |
                   (i + k < data.size()
                        ? static_cast<unsigned char>(data[i + k])
                        : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k <= data.size() ? digits[bits >> (18 - 6 * k) & 63]
                                        : '=';
    }
    return out;
}

inline std::string random_id()
{
    static std::mutex mutex;
    static std::mt19937_64 engine(std::random_device{}());
    const std::lock_guard lock(mutex);
    char text[17];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(engine()));
    return text;
}

// ---- the platform's store ----

/// Limits as the pages state them (PROTOCOL.md, "The platform's metadata
/// store"; DEPLOY.md, the example of the settings).
struct store_limits
{
    std::uint32_t partitions = 12;
    std::chrono::seconds queue_ttl{300};
    std::size_t part_bytes = 200'000'000;
    std::size_t total_bytes = 400'000'000;
    std::size_t part_bytes_per_s = 20'000'000;
};

/// The store: logs with producers, keyed topics, and groups.
class store
{
public:
    explicit store(store_limits limits = {})
        : limits_(limits), server_([this](const message& request, int fd)
                                   { return handle(request, fd); })
    {
    }

    int port() const
    {
        return server_.port();
    }

    /// Writes a key of a keyed topic, as the operator or an engine does.
    void put(const std::string& topic, const std::string& key,
             const std::string& value)
    {
        const std::lock_guard lock(mutex_);
        std::string data(1, static_cast<char>(key.size()));
        append_record(part_of(topic, 0), data + key + value);
        part_of(topic, 0).keys[key] = {value, part_of(topic, 0).end() - 1};
        changed_.notify_all();
    }

    /// Returns the first offset that a partition keeps, its end, and its bytes.
    std::tuple<std::uint64_t, std::uint64_t, std::size_t>
    extent(const std::string& topic, std::uint32_t part)
    {
        const std::lock_guard lock(mutex_);
        const auto& it = part_of(topic, part);
        return {it.first, it.end(), it.bytes};
    }

private:
    struct producer_state
    {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        std::deque<std::pair<std::uint64_t, std::string>> recent;
    };

    struct entry
    {
        std::string data;
        clock::time_point at;
    };

    struct partition
    {
        std::uint64_t first = 0;
        std::deque<entry> records;
        std::size_t bytes = 0;
        clock::time_point busy_until;
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
        std::chrono::milliseconds ttl{0};
        clock::time_point joined;
    };

    struct group_state
    {
        std::uint64_t generation = 0;
        std::map<std::string, member_state> members;
        std::map<std::pair<std::string, std::uint32_t>, std::string> owners;
    };

    partition& part_of(const std::string& topic, std::uint32_t part)
    {
        return topics_[topic][part];
    }

    void append_record(partition& to, std::string data)
    {
        to.bytes += data.size();
        total_ += data.size();
        to.records.push_back({std::move(data), clock::now()});
    }

    /// Drops records that are too old, and the oldest ones of a partition that
    /// holds too much.
    void drop_expired(partition& from)
    {
        const auto limit = clock::now() - limits_.queue_ttl;
        while (!from.records.empty() &&
               (from.records.front().at < limit ||
                from.bytes > limits_.part_bytes))
        {
            from.bytes -= from.records.front().data.size();
            total_ -= from.records.front().data.size();
            from.records.pop_front();
            ++from.first;
        }
    }

    bool handle(const message& request, int fd)
    {
        std::istringstream line(request.first_line);
        std::string method;
        std::string target;
        line >> method >> target;
        const auto path = target.substr(0, target.find('?'));
        if (path == "/tanagertrack/log-append")
            return append(request, target, fd);
        if (path == "/tanagertrack/log-read")
            return read(target, fd);
        if (path == "/tanagertrack/log-newest")
            return newest(target, fd);
        if (path == "/tanagertrack/log-join")
            return join(request, fd);
        if (path == "/tanagertrack/log-owners")
            return owners(target, fd);
        if (path == "/tanagertrack/log-leave")
            return leave(request, fd);
        return respond(fd, "404 Not Found", {}, "{}");
    }

    bool append(const message& request, const std::string& target, int fd)
    {
        std::unique_lock lock(mutex_);
        const auto topic = query(target, "topic");
        if (topic == "keyed.op" || topic == "keyed.servers")
            return respond(fd, "403 Forbidden", {}, "{}");
        auto& to = part_of(
            topic, static_cast<std::uint32_t>(query_number(target, "part")));

        // A partition processes its appends one at a time.
        const auto now = clock::now();
        to.busy_until = std::max(to.busy_until, now);
        if (to.busy_until > now + 2s)
            return respond(fd, "503 Service Unavailable", {}, "{}");
        to.busy_until += std::chrono::microseconds(
            2000 + request.body.size() * 1'000'000 / limits_.part_bytes_per_s);
        const auto done_at = to.busy_until;
        lock.unlock();
        std::this_thread::sleep_until(done_at);
        lock.lock();
        drop_expired(to);
        const auto name = query(target, "producer");
        const auto sequence = query_number(target, "seq");
        if (!name.empty())
        {
            auto& producer = to.producers[name];
            const auto epoch = query_number(target, "epoch");
            if (epoch < producer.epoch)
                return respond(fd, "409 Conflict", {}, R"({"why":"fenced"})");
            if (epoch > producer.epoch)
                producer = {epoch, sequence - 1, {}};
            for (const auto& [number, answer] : producer.recent)
            {
                if (number == sequence)
                    return respond(fd, "200 OK", {}, answer);
            }
            if (!request.body.empty() && sequence != producer.sequence + 1)
                return respond(fd, "409 Conflict", {},
                               R"({"why":"seq","seq":)" +
                                   std::to_string(producer.sequence + 1) + "}");
        }
        if (total_ + request.body.size() > limits_.total_bytes)
            return respond(fd, "507 Insufficient Storage", {}, "{}");
        const auto offset = to.end();
        for (std::size_t i = 0; i + 4 <= request.body.size();)
        {
            std::uint32_t n = 0;
            std::memcpy(&n, request.body.data() + i, 4);
            n = ntohl(n);
            auto data = request.body.substr(i + 4, n);
            if (topic.starts_with("keyed.") && !data.empty())
            {
                const auto size = static_cast<unsigned char>(data[0]);
                const auto key = data.substr(1, size);
                const auto value = data.substr(1 + size);
                if (value.empty())
                    to.keys.erase(key);
                else
                    to.keys[key] = {value, to.end()};
            }
            append_record(to, std::move(data));
            i += 4 + n;
        }
        const auto answer = R"({"offset":)" + std::to_string(offset) +
                            R"(,"end":)" + std::to_string(to.end()) + "}";
        if (!name.empty())
        {
            auto& producer = to.producers[name];
            producer.sequence = sequence;
            producer.recent.emplace_back(sequence, answer);
            if (producer.recent.size() > 5)
                producer.recent.pop_front();
        }
        drop_expired(to);
        changed_.notify_all();
        return respond(fd, "200 OK", {}, answer);
    }

    static void add_number(std::string& out, std::uint64_t number)
    {
        for (int shift = 56; shift >= 0; shift -= 8)
            out += static_cast<char>(number >> shift & 255);
    }

    bool read(const std::string& target, int fd)
    {
        std::unique_lock lock(mutex_);
        auto& from = part_of(
            query(target, "topic"),
            static_cast<std::uint32_t>(query_number(target, "part")));
        const auto offset = query_number(target, "from");
        const auto wait =
            std::chrono::milliseconds(query_number(target, "waitMs"));
        changed_.wait_for(lock, wait, [&] { return from.end() > offset; });
        drop_expired(from);
        if (offset < from.first)
        {
            const auto body =
                R"({"first":)" + std::to_string(from.first) + "}";
            lock.unlock();
            return respond(fd, "410 Gone", {}, body);
        }
        auto limit = query_number(target, "maxKb") * 1024;
        if (limit == 0)
            limit = 1024 * 1024;
        std::string out;
        add_number(out, from.end());
        add_number(out, from.first);
        std::size_t sum = 0;
        for (auto n = offset; n < from.end(); ++n)
        {
            const auto& data = from.records[n - from.first].data;
            if (sum != 0 && sum + data.size() > limit)
                break;
            sum += data.size();
            const auto size = htonl(static_cast<std::uint32_t>(data.size()));
            out.append(reinterpret_cast<const char*>(&size), 4);
            out += data;
        }
        lock.unlock();
        return respond(fd, "200 OK", {}, out);
    }

    bool newest(const std::string& target, int fd)
    {
        const std::lock_guard lock(mutex_);
        const auto& from = part_of(query(target, "topic"), 0);
        json::array items;
        for (const auto& [key, it] : from.keys)
            items.push_back({{"key", key},
                             {"value", base64(it.first)},
                             {"offset", it.second}});
        return respond(fd, "200 OK", "Content-Type: application/json\r\n",
                       json::serialize(json::object{{"items", items},
                                                    {"hasMore", false},
                                                    {"end", from.end()}}));
    }

    /// Removes members whose session has ended, and deals the partitions out
    /// again if the members have changed.
    void update(group_state& group, bool changed)
    {
        const auto now = clock::now();
        changed |= std::erase_if(group.members,
                                 [now](const auto& it) {
                                     return it.second.joined + it.second.ttl <
                                            now;
                                 }) != 0;
        if (!changed)
            return;
        ++group.generation;
        group.owners.clear();
        std::map<std::string, std::vector<std::string>> by_topic;
        for (const auto& [id, it] : group.members)
        {
            for (const auto& topic : it.topics)
                by_topic[topic].push_back(id);
        }
        std::size_t n = 0;
        for (const auto& [topic, ids] : by_topic)
        {
            for (std::uint32_t part = 0; part < limits_.partitions; ++part)
                group.owners[{topic, part}] = ids[n++ % ids.size()];
        }
    }

    bool join(const message& request, int fd)
    {
        const std::lock_guard lock(mutex_);
        const auto body = json::parse(request.body).as_object();
        auto& group = groups_[std::string(body.at("group").as_string())];
        const std::string id(body.at("member").as_string());
        std::vector<std::string> topics;
        for (const auto& it : body.at("topics").as_array())
            topics.emplace_back(it.as_string());
        const bool changed = !group.members.contains(id) ||
                             group.members[id].topics != topics;
        group.members[id] = {
            topics,
            std::chrono::milliseconds(body.at("ttlMs").to_number<int>()),
            clock::now()};
        update(group, changed);
        json::array parts;
        for (const auto& [key, owner] : group.owners)
        {
            if (owner == id)
                parts.push_back({key.first, key.second, 0});
        }
        return respond(fd, "200 OK", "Content-Type: application/json\r\n",
                       json::serialize(json::object{
                           {"generation", group.generation},
                           {"parts", parts}}));
    }

    bool owners(const std::string& target, int fd)
    {
        const std::lock_guard lock(mutex_);
        auto& group = groups_[query(target, "group")];
        update(group, false);
        json::array parts;
        for (const auto& [key, owner] : group.owners)
            parts.push_back({key.first, key.second, owner, 0});
        return respond(fd, "200 OK", "Content-Type: application/json\r\n",
                       json::serialize(json::object{{"parts", parts}}));
    }

    bool leave(const message& request, int fd)
    {
        const std::lock_guard lock(mutex_);
        const auto body = json::parse(request.body).as_object();
        auto& group = groups_[std::string(body.at("group").as_string())];
        const bool changed =
            group.members.erase(std::string(body.at("member").as_string())) != 0;
        update(group, changed);
        return respond(fd, "200 OK", {}, "{}");
    }

    store_limits limits_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::uint32_t, partition>> topics_;
    std::map<std::string, group_state> groups_;
    std::size_t total_ = 0;
    server server_;
};

// ---- engines ----

/// An engine that answers calls at once and streams events at a steady pace.
class engine
{
public:
    engine(std::string id, std::string service, unsigned events,
           std::chrono::milliseconds pause)
        : id_(std::move(id)), service_(std::move(service)), events_(events),
          pause_(pause), server_([this](const message& request, int fd)
                                 { return handle(request, fd); })
    {
    }

    const std::string& id() const
    {
        return id_;
    }

    /// Requests that the engine works on now, and all that it has begun.
    int active() const
    {
        return active_;
    }

    int begun() const
    {
        return begun_;
    }

    /// While set, the engine answers with bytes that are no answer, without
    /// end, until the caller closes the connection.
    void set_endless(bool endless)
    {
        endless_ = endless;
    }

    /// Answers without end that the engine has begun.
    int endless_answers() const
    {
        return endless_answers_;
    }

    std::string announcement(int sequence) const
    {
        return json::serialize(json::object{
            {"service", service_},
            {"address", "127.0.0.1:" + std::to_string(server_.port())},
            {"zone", "za"},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"coldLeftMs", 0},
            {"stage", "both"},
            {"born", born_},
            {"seq", sequence}});
    }

private:
    bool handle(const message& request, int fd)
    {
        const auto id = request.header("x-tanagertrack-request-id");
        const auto common = "X-Tanagertrack-Request-Id: " + id +
                            "\r\nX-Tanagertrack-Server-Stamp: " + id_ + "." +
                            id + "\r\n";
        const auto expected = request.header("x-tanagertrack-expect-instance");
        if (!expected.empty() && expected != id_)
            return respond(fd, "421 Misdirected Request",
                           "X-Tanagertrack-Not-Executed: 1\r\n" + common, "");
        if (endless_)
            return send_endlessly(fd, id);
        ++begun_;
        ++active_;
        const bool ok = events_ == 0 ? respond(fd, "200 OK", common, "ok " + id)
                                     : stream(request, fd, id, common);
        --active_;
        return ok;
    }

    /// Sends a head without a stamp, and events that have nothing to do with the
    /// request, at about 2 MB a second.
    bool send_endlessly(int fd, const std::string& id)
    {
        ++endless_answers_;
        bool open = send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: "
                                 "text/event-stream\r\n"
                                 "X-Tanagertrack-Request-Id: " +
                                     id + "\r\n\r\n");
        for (int n = 0; open;)
        {
            std::string data;
            for (const int end = n + 100; n < end; ++n)
                data += "id: " + std::to_string(n) + "\ndata: " +
                        std::string(80, '\x7f') + "\n\n";
            open = send_all(fd, data);
            std::this_thread::sleep_for(5ms);
        }
        return false;
    }

    bool stream(const message& request, int fd, const std::string& id,
                const std::string& common) const
    {
        const auto last = request.header("last-event-id");
        unsigned n = last.empty() ? 0 : std::atoi(last.c_str()) + 1;
        if (!send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: "
                          "text/event-stream\r\nTransfer-Encoding: "
                          "chunked\r\n" +
                              common + "\r\n"))
            return false;
        for (; n < events_; ++n)
        {
            const auto event = "id: " + std::to_string(n) + "\ndata: " + id +
                               "-" + std::to_string(n) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (!send_all(fd, size + event + "\r\n"))
                return false;
            std::this_thread::sleep_for(pause_);
        }
        return send_all(fd, "0\r\n\r\n");
    }

    std::string id_;
    std::string service_;
    unsigned events_;
    std::chrono::milliseconds pause_;
    std::int64_t born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count();
    std::atomic<bool> endless_{false};
    std::atomic<int> endless_answers_{0};
    std::atomic<int> active_{0};
    std::atomic<int> begun_{0};
    server server_;
};

/// Renews the announcements of engines, as they do themselves.
class heartbeats
{
public:
    heartbeats(store& to, std::vector<engine*> engines)
    {
        for (auto* it : engines)
            to.put("keyed.servers", it->id(), it->announcement(1));
        std::thread(
            [&to, engines = std::move(engines)]
            {
                for (int sequence = 2;; ++sequence)
                {
                    std::this_thread::sleep_for(1200ms);
                    for (auto* it : engines)
                        to.put("keyed.servers", it->id(),
                               it->announcement(sequence));
                }
            })
            .detach();
    }
};

// ---- entries ----

struct entry_settings
{
    std::string name;
    int memory_mb = 290;
    int max_descriptors = 8200;
};

/// An entry: target/tanagertrackd with the settings that deploy/entry.yaml.in
/// gives for a front machine.
class entry
{
public:
    entry(const store& of, entry_settings settings, const std::string& folder)
        : settings_(std::move(settings)), file_(folder + "/" + settings_.name),
          front_(free_port()), ready_(free_port()), peer_(free_port()),
          control_(free_port())
    {
        const std::string ip = "127.0.0.1:";
        std::ofstream(file_ + ".yaml")
            << "role: entry\ncallers: platform\nname: \"" << settings_.name
            << "\"\naddress: 127.0.0.1\ndata_centre: \"za\"\nregion: \"ra\"\n"
            << "regions:\n  \"za\": \"ra\"\nplatform:\n  store: \"" << ip
            << of.port() << "\"\n  front: \"" << ip << front_
            << "\"\n  ready: \"" << ip << ready_
            << "\"\nstore:\n  partitions: 12\n  max_record_bytes: 262144\n"
            << "  max_append_bytes: 2097152\n  min_session_ms: 1000\n"
            << "  retention_s: 300\npeer:\n  port: " << peer_
            << "\n  control: \"" << ip << control_
            << "\"\nbatch:\n  result_retention_s: 120\nrouting:\n"
            << "  failure_detection: shared\nprocess:\n  memory_mb: "
            << settings_.memory_mb
            << "\n  max_descriptors: " << settings_.max_descriptors
            << "\nstop:\n  grace_s: 8\nteams:\n  quota_window_s: 0\n";
    }

    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;

    ~entry()
    {
        if (pid_ > 0)
            kill(SIGKILL);
    }

    void start()
    {
        const auto yaml = file_ + ".yaml";
        const auto log = file_ + ".log";
        pid_ = ::fork();
        if (pid_ == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out =
                ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execl("target/tanagertrackd", "target/tanagertrackd",
                    yaml.c_str(), static_cast<char*>(nullptr));
            ::_exit(127);
        }
    }

    void kill(int signal)
    {
        ::kill(pid_, signal);
        if (signal != SIGKILL)
            return;
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }

    bool wait_until_ready(std::chrono::seconds timeout) const
    {
        for (const auto end = clock::now() + timeout; clock::now() < end;)
        {
            if (call(ready_, "GET", "/tanagertrack/ready", {{"Host", "x"}}, {},
                     1s)
                    .status() == 200)
                return true;
            std::this_thread::sleep_for(100ms);
        }
        return false;
    }

    /// Returns true if the process is still there.
    bool is_running()
    {
        if (pid_ <= 0 || ::waitpid(pid_, nullptr, WNOHANG) == 0)
            return pid_ > 0;
        pid_ = -1;
        return false;
    }

    /// Resident memory of the process, now and at its peak, in MB of 2^20
    /// bytes.
    int resident_mb() const
    {
        return read_status("VmRSS:");
    }

    int peak_mb() const
    {
        return read_status("VmHWM:");
    }

    int front() const
    {
        return front_;
    }

    const std::string& name() const
    {
        return settings_.name;
    }

    int memory_mb() const
    {
        return settings_.memory_mb;
    }

private:
    int read_status(const std::string& name) const
    {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
        for (std::string text; std::getline(file, text);)
        {
            if (text.starts_with(name))
                return std::atoi(text.c_str() + name.size()) / 1024;
        }
        return 0;
    }

    entry_settings settings_;
    std::string file_;
    int front_;
    int ready_;
    int peer_;
    int control_;
    pid_t pid_ = -1;
};

/// Watches an entry as the platform does: a process that exceeds the memory of
/// its machine is killed, and started again.
class platform_watch
{
public:
    platform_watch(entry& of, record& log,
                   std::chrono::milliseconds restart_delay = 500ms)
        : entry_(of), log_(log), restart_delay_(restart_delay),
          thread_([this] { run(); })
    {
    }

    ~platform_watch()
    {
        stop_ = true;
        thread_.join();
    }

    int ends() const
    {
        return ends_;
    }

    int peak_mb() const
    {
        return peak_mb_;
    }

private:
    void run()
    {
        for (; !stop_; std::this_thread::sleep_for(20ms))
        {
            const bool ended = !entry_.is_running();
            const int mb = ended ? 0 : entry_.peak_mb();
            peak_mb_ = std::max<int>(peak_mb_, mb);
            if (!ended && mb <= entry_.memory_mb())
                continue;
            log_.line(entry_.name() +
                      (ended ? " has ended by itself"
                             : " has used " + std::to_string(mb) + " MB of the " +
                                   std::to_string(entry_.memory_mb()) +
                                   " MB of its machine, and is killed"));
            if (!ended)
                entry_.kill(SIGKILL);
            ++ends_;
            std::this_thread::sleep_for(restart_delay_);
            entry_.start();
        }
    }

    entry& entry_;
    record& log_;
    std::chrono::milliseconds restart_delay_;
    std::atomic<bool> stop_{false};
    std::atomic<int> ends_{0};
    std::atomic<int> peak_mb_{0};
    std::thread thread_;
};

/// A configuration with the routes of a small deployment: calls under /calls/,
/// batch jobs under /jobs/.
inline std::string configuration(std::uint64_t max_waiting_tokens)
{
    json::object call{{"name", "r-calls"},
                      {"host", "a.example"},
                      {"pathPrefix", "/calls/"},
                      {"kind", "idempotent"},
                      {"timeoutMs", 3000},
                      {"targetLatencyMs", 300},
                      {"priority", 2},
                      {"service", "app"},
                      {"maxAttempts", 2}};
    json::object jobs{{"name", "r-jobs"},
                      {"host", "a.example"},
                      {"pathPrefix", "/jobs/"},
                      {"kind", "batch"},
                      {"timeoutMs", 15000},
                      {"targetLatencyMs", 400},
                      {"dueMs", 18000},
                      {"queueTtlS", 60},
                      {"priority", 2},
                      {"service", "lm"},
                      {"maxAttempts", 3},
                      {"sticky", true},
                      {"resumable", true},
                      {"gapAimMs", 600},
                      {"cap", max_waiting_tokens}};
    json::object lm{{"name", "lm"},
                    {"healthPath", "/health"},
                    {"maxConns", 370},
                    {"protocol", "h1"},
                    {"tls", false},
                    {"engine", {{"slots", 8}, {"kvCapacity", 101495}}}};
    json::object app{{"name", "app"},
                     {"healthPath", "/health"},
                     {"maxConns", 110},
                     {"protocol", "h1"},
                     {"tls", false}};
    json::object limits{{"maxHeaderBytes", 16384},
                        {"maxBodyBytes", 4194304},
                        {"headerTimeoutMs", 3000},
                        {"idleTimeoutMs", 15000}};
    return json::serialize(json::object{{"version", 1},
                                        {"routes", {call, jobs}},
                                        {"services", {lm, app}},
                                        {"limits", limits}});
}

/// Runs a case and returns its exit status.
inline int run_case(const std::function<int(record&, const std::string&)>& play,
                    const std::string& folder)
{
    ::signal(SIGPIPE, SIG_IGN);
    record log(folder + "/record.txt");
    char temporary[] = "/tmp/review-XXXXXX";
    if (::mkdtemp(temporary) == nullptr)
        return 2;
    int status = 2;
    try
    {
        status = play(log, temporary);
    }
    catch (const std::exception& e)
    {
        log.line(std::string("could not run: ") + e.what());
    }
    std::filesystem::remove_all(temporary);
    log.line(status == 0   ? "result: held"
             : status == 1 ? "result: broken"
                           : "result: could not run");
    return status;
}

} // namespace review

#endif
