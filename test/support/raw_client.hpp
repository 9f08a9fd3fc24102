#ifndef TANAGERTRACK_TEST_SUPPORT_RAW_CLIENT_HPP
#define TANAGERTRACK_TEST_SUPPORT_RAW_CLIENT_HPP

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <sys/time.h>

namespace tanagertrack::test
{

/// Blocking connection to a loopback port that sends raw bytes. A read fails if
/// no data arrives for 20 s.
class raw_client
{
public:
    explicit raw_client(std::uint16_t port)
    {
        using boost::asio::ip::tcp;
        socket_.connect(
            tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
        const timeval limit{20, 0};
        setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
                   sizeof(limit));
    }

    /// Sends all data; errors are ignored.
    void send(std::string_view data)
    {
        boost::system::error_code ignored;
        boost::asio::write(
            socket_, boost::asio::buffer(data.data(), data.size()), ignored);
    }

    /// Reads and returns the data up to and including `mark`, or all data if
    /// the connection ends or the read fails first.
    std::string read_until(std::string_view mark)
    {
        while (input_.find(mark) == std::string::npos && read_some())
            continue;
        const auto at = input_.find(mark);
        return extract(at == std::string::npos ? input_.size()
                                               : at + mark.size());
    }

    /// Reads and returns all data until the peer closes the connection.
    std::string read_all()
    {
        while (read_some())
            continue;
        return extract(input_.size());
    }

    /// Reads one HTTP answer: a head and, depending on its header fields, a
    /// body of Content-Length bytes, a chunked body, or none.
    std::string read_answer()
    {
        auto head = read_until("\r\n\r\n");
        const auto at = head.find("Content-Length: ");
        if (at == std::string::npos)
            return head + (head.find("chunked") == std::string::npos
                               ? std::string()
                               : read_until("\r\n0\r\n\r\n"));
        const auto length = std::stoul(head.substr(at + 16));
        while (input_.size() < length && read_some())
            continue;
        return head + extract(std::min(length, input_.size()));
    }

    boost::asio::ip::tcp::socket& socket()
    {
        return socket_;
    }

private:
    /// Returns false if the connection has ended or the read failed.
    bool read_some()
    {
        char buf[16384];
        const auto n = recv(socket_.native_handle(), buf, sizeof(buf), 0);
        if (n > 0)
            input_.append(buf, static_cast<std::size_t>(n));
        return n > 0;
    }

    /// Removes the first `n` bytes of the input and returns them.
    std::string extract(std::size_t n)
    {
        auto out = input_.substr(0, n);
        input_.erase(0, n);
        return out;
    }

    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_{context_};
    std::string input_;
};

} // namespace tanagertrack::test

#endif
