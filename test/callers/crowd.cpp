#include "callers/crowd.hpp"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace tanagertrack::test
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr int max_wait_ms = 50;
constexpr auto quiet_time = std::chrono::seconds(1);
constexpr auto max_run_time = std::chrono::seconds(40);
constexpr int answer_wait_ms = 5000;

/// Receive buffer of a caller that doesn't read. The kernel doubles it.
constexpr int small_receive_buffer = 4096;

int open_connection(int port, int flags, int receive_buffer)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | flags, 0);
    if (fd < 0)
        throw std::runtime_error("no descriptor for a caller");
    if (receive_buffer > 0)
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                     sizeof receive_buffer);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
    return fd;
}

/// Returns the number of bytes that the kernel holds for the connections of the
/// server on a loopback port.
std::size_t unread_bytes(int port)
{
    std::ifstream file("/proc/net/tcp");
    std::size_t sum = 0;
    for (std::string line; std::getline(file, line);)
    {
        unsigned local_port = 0;
        std::size_t unread = 0;
        if (std::sscanf(line.c_str(), " %*d: %*x:%x %*x:%*x %*x %*x:%zx",
                        &local_port, &unread) == 2 &&
            local_port == static_cast<unsigned>(port))
            sum += unread;
    }
    return sum;
}

} // namespace

crowd::crowd(int port, std::size_t count, std::string bytes, answer_use use)
    : port_(port), bytes_(std::move(bytes)), use_(use), callers_(count)
{
}

crowd::~crowd()
{
    for (const auto& it : callers_)
    {
        if (it.fd >= 0)
            ::close(it.fd);
    }
}

void crowd::connect(caller& it)
{
    it.fd =
        open_connection(port_, SOCK_NONBLOCK,
                        use_ == answer_use::ignore ? small_receive_buffer : 0);
}

bool crowd::send(caller& it)
{
    if (it.sent == bytes_.size())
        return false;
    const auto n = ::send(it.fd, bytes_.data() + it.sent,
                          bytes_.size() - it.sent, MSG_NOSIGNAL);
    if (n > 0)
        it.sent += static_cast<std::size_t>(n);
    else if (errno != EAGAIN && errno != ENOTCONN && errno != EINPROGRESS)
        it.closed = true;
    return n > 0 || it.closed;
}

bool crowd::receive(caller& it) const
{
    std::array<char, 16384> buf{};
    const int flags = use_ == answer_use::ignore ? MSG_PEEK : 0;
    const auto n = ::recv(it.fd, buf.data(), buf.size(), flags);
    const bool had_answer = std::exchange(it.answered, it.answered || n > 0);
    it.closed = n == 0 || (n < 0 && errno != EAGAIN && errno != ENOTCONN);
    return it.closed || (n > 0 && (flags == 0 || !had_answer));
}

bool crowd::step(std::size_t end)
{
    bool progress = false;
    std::vector<pollfd> waiting;
    for (std::size_t n = 0; n < end; ++n)
    {
        auto& it = callers_[n];
        if (it.closed)
            continue;
        if (it.fd < 0)
            connect(it);
        if (send(it))
            progress = true;
        if (!it.closed && receive(it))
            progress = true;
        const bool unsent = it.sent < bytes_.size();
        const bool unread = use_ == answer_use::read || !it.answered;
        waiting.push_back(
            {it.fd,
             static_cast<short>((unsent ? POLLOUT : 0) | (unread ? POLLIN : 0)),
             0});
    }
    if (!progress)
        ::poll(waiting.data(), waiting.size(), max_wait_ms);
    return progress;
}

bool crowd::is_done(std::size_t end) const
{
    for (std::size_t n = 0; n < end; ++n)
    {
        const auto& it = callers_[n];
        const bool done =
            use_ == answer_use::ignore ? it.answered : it.sent == bytes_.size();
        if (!it.closed && !done)
            return false;
    }
    return true;
}

void crowd::run_until_done(std::size_t end)
{
    const auto stop = clock::now() + max_run_time;
    auto last_progress = clock::now();
    while (!is_done(end) && clock::now() < stop &&
           clock::now() - last_progress < quiet_time)
    {
        if (step(end))
            last_progress = clock::now();
    }
}

void crowd::run()
{
    if (use_ == answer_use::ignore)
    {
        for (std::size_t n = 1; n < callers_.size(); ++n)
            run_until_done(n);
    }
    run_until_done(callers_.size());
    wait_for_server();
}

void crowd::wait_for_server()
{
    const auto stop = clock::now() + max_run_time;
    auto last_change = clock::now();
    auto unread = unread_bytes(port_);
    while (unread > 0 && clock::now() < stop &&
           clock::now() - last_change < quiet_time)
    {
        step(callers_.size());
        std::this_thread::sleep_for(std::chrono::milliseconds(max_wait_ms));
        if (std::exchange(unread, unread_bytes(port_)) != unread)
            last_change = clock::now();
    }
}

std::string exchange_bytes(int port, const std::string& request)
{
    const int fd = open_connection(port, 0, 0);
    std::string out;
    if (::send(fd, request.data(), request.size(), MSG_NOSIGNAL) ==
        static_cast<ssize_t>(request.size()))
    {
        std::array<char, 4096> buf{};
        pollfd readable{fd, POLLIN, 0};
        while (::poll(&readable, 1, answer_wait_ms) > 0)
        {
            const auto n = ::recv(fd, buf.data(), buf.size(), 0);
            if (n <= 0)
                break;
            out.append(buf.data(), static_cast<std::size_t>(n));
        }
    }
    ::close(fd);
    return out;
}

} // namespace tanagertrack::test
