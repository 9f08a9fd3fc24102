#ifndef REVIEW_STANDIN_3_NET_HPP
#define REVIEW_STANDIN_3_NET_HPP

// Blocking HTTP/1.1 over loopback sockets: a server with a thread for each
// connection, and a client that makes one request on a new connection.

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
}

/// Returns a TCP port on loopback that is free now, below the ephemeral ones.
inline std::uint16_t free_port()
{
    static std::uint16_t next =
        static_cast<std::uint16_t>(12000 + ::getpid() % 1000 * 16);
    for (int n = 0; n < 10000; ++n)
    {
        const std::uint16_t port = ++next;
        if (next >= 32000)
            next = 12000;
        const int tcp = ::socket(AF_INET, SOCK_STREAM, 0);
        const int udp = ::socket(AF_INET, SOCK_DGRAM, 0);
        const auto address = loopback(port);
        const auto* raw = reinterpret_cast<const sockaddr*>(&address);
        const bool is_free = ::bind(tcp, raw, sizeof address) == 0 &&
                             ::bind(udp, raw, sizeof address) == 0;
        ::close(tcp);
        ::close(udp);
        if (is_free)
            return port;
    }
    throw std::runtime_error("no free port");
}

/// Waits until the socket can be read. Returns false at the deadline.
inline bool wait_readable(int fd, steady::time_point deadline)
{
    for (;;)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(
            deadline - steady::now());
        if (left.count() <= 0)
            return false;
        pollfd it{fd, POLLIN, 0};
        const int n = ::poll(&it, 1, static_cast<int>(left.count()) + 1);
        if (n > 0)
            return true;
        if (n < 0 && errno != EINTR)
            return false;
    }
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

/// True if the peer has closed or reset the connection.
inline bool is_closed_by_peer(int fd)
{
    char c = 0;
    const auto n = ::recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

using header_map = std::map<std::string, std::string>;

struct message
{
    /// Request line or status line.
    std::string start;
    header_map headers; // names in lower case
    std::string body;

    std::string header(const std::string& name) const
    {
        const auto it = headers.find(lower(name));
        return it == headers.end() ? std::string() : it->second;
    }
};

/// Reads messages from a socket.
class reader
{
public:
    explicit reader(int fd) : fd_(fd)
    {
    }

    bool read_head(message& out, steady::time_point deadline)
    {
        for (;;)
        {
            const auto end = buffer_.find("\r\n\r\n");
            if (end != buffer_.npos)
            {
                parse_head(std::string_view(buffer_).substr(0, end), out);
                buffer_.erase(0, end + 4);
                return true;
            }
            if (!fill(deadline))
                return false;
        }
    }

    bool read_exact(std::size_t n, std::string& out, steady::time_point deadline)
    {
        while (buffer_.size() < n)
        {
            if (!fill(deadline))
                return false;
        }
        out.append(buffer_, 0, n);
        buffer_.erase(0, n);
        return true;
    }

    bool read_line(std::string& out, steady::time_point deadline)
    {
        for (;;)
        {
            const auto end = buffer_.find("\r\n");
            if (end != buffer_.npos)
            {
                out = buffer_.substr(0, end);
                buffer_.erase(0, end + 2);
                return true;
            }
            if (!fill(deadline))
                return false;
        }
    }

    /// Reads a chunked body, up to and with the last chunk.
    bool read_chunks(std::string& out, steady::time_point deadline)
    {
        for (;;)
        {
            std::string line;
            if (!read_line(line, deadline))
                return false;
            const auto n = std::stoul(line, nullptr, 16);
            if (n != 0 && !read_exact(n, out, deadline))
                return false;
            if (!read_line(line, deadline))
                return false;
            if (n == 0)
                return true;
        }
    }

    bool has_bytes() const
    {
        return !buffer_.empty();
    }

private:
    bool fill(steady::time_point deadline)
    {
        if (!wait_readable(fd_, deadline))
            return false;
        char buf[65536];
        const auto n = ::recv(fd_, buf, sizeof buf, 0);
        if (n <= 0)
            return false;
        buffer_.append(buf, static_cast<std::size_t>(n));
        return true;
    }

    static void parse_head(std::string_view text, message& out)
    {
        const auto first = text.find("\r\n");
        out.start = text.substr(0, first);
        while (first != text.npos && !text.empty())
        {
            const auto at = text.find("\r\n");
            if (at == text.npos)
                break;
            text.remove_prefix(at + 2);
            const auto line = text.substr(0, text.find("\r\n"));
            const auto colon = line.find(':');
            if (colon == line.npos)
                continue;
            auto value = line.substr(colon + 1);
            while (value.starts_with(' '))
                value.remove_prefix(1);
            out.headers[lower(std::string(line.substr(0, colon)))] = value;
        }
    }

    int fd_;
    std::string buffer_;
};

struct request : message
{
    std::string method;
    std::string path; // without the query
    header_map query;

    std::uint64_t number(const std::string& name, std::uint64_t fallback) const
    {
        const auto it = query.find(name);
        return it == query.end() ? fallback : std::stoull(it->second);
    }

    std::string text(const std::string& name) const
    {
        const auto it = query.find(name);
        return it == query.end() ? std::string() : it->second;
    }
};

inline void split_start(request& it)
{
    const auto first = it.start.find(' ');
    const auto second = it.start.find(' ', first + 1);
    it.method = it.start.substr(0, first);
    auto target = it.start.substr(first + 1, second - first - 1);
    const auto mark = target.find('?');
    it.path = target.substr(0, mark);
    auto rest = mark == target.npos ? std::string() : target.substr(mark + 1);
    while (!rest.empty())
    {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto pair = rest.substr(0, end);
        const auto equals = std::min(pair.find('='), pair.size());
        it.query[pair.substr(0, equals)] =
            equals < pair.size() ? pair.substr(equals + 1) : std::string();
        rest.erase(0, std::min(end + 1, rest.size()));
    }
}

/// Serves requests with a length, one after the other on each connection.
class server
{
public:
    /// Answers one request on the socket. Returns false to close it.
    using handler = std::function<bool(int fd, request&)>;

    server(std::uint16_t port, handler handle) : handle_(std::move(handle))
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto address = loopback(port);
        if (::bind(fd_, reinterpret_cast<const sockaddr*>(&address),
                   sizeof address) != 0 ||
            ::listen(fd_, 512) != 0)
            throw std::runtime_error("listen on " + std::to_string(port));
        std::thread([this] { accept_all(); }).detach();
    }

private:
    void accept_all()
    {
        for (;;)
        {
            const int fd = ::accept(fd_, nullptr, nullptr);
            if (fd < 0)
                return;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        reader in(fd);
        for (;;)
        {
            request it;
            const auto deadline = steady::now() + std::chrono::minutes(5);
            if (!in.read_head(it, deadline))
                break;
            split_start(it);
            const auto length = it.header("Content-Length");
            if (!length.empty() &&
                !in.read_exact(std::stoul(length), it.body, deadline))
                break;
            if (!handle_(fd, it))
                break;
        }
        ::close(fd);
    }

    handler handle_;
    int fd_ = -1;
};

inline bool respond(int fd, int status, const std::string& body,
                    const std::string& fields = {})
{
    return send_all(fd, "HTTP/1.1 " + std::to_string(status) + " X\r\n" +
                            fields + "Content-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body);
}

struct answer : message
{
    /// 0: no connection, or no complete head.
    int status = 0;

    /// True if the whole answer was received.
    bool complete = false;
};

inline int connect_to(std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0)
    {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

/// Reads the answer to a request that was sent on `fd`.
inline answer read_answer(int fd, milliseconds timeout)
{
    answer out;
    reader in(fd);
    const auto deadline = steady::now() + timeout;
    if (!in.read_head(out, deadline))
        return out;
    out.status = std::atoi(out.start.c_str() + out.start.find(' ') + 1);
    if (lower(out.header("Transfer-Encoding")) == "chunked")
        out.complete = in.read_chunks(out.body, deadline);
    else
        out.complete = in.read_exact(
            std::strtoul(out.header("Content-Length").c_str(), nullptr, 10),
            out.body, deadline);
    return out;
}

/// Makes one request on a new connection.
inline answer call(std::uint16_t port, const std::string& method,
                   const std::string& target, const std::string& fields,
                   const std::string& body, milliseconds timeout)
{
    const int fd = connect_to(port);
    if (fd < 0)
        return {};
    answer out;
    if (send_all(fd, method + ' ' + target + " HTTP/1.1\r\n" + fields +
                         "Content-Length: " + std::to_string(body.size()) +
                         "\r\n\r\n" + body))
        out = read_answer(fd, timeout);
    ::close(fd);
    return out;
}

} // namespace review

#endif
