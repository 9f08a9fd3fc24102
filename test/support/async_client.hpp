#ifndef TANAGERTRACK_TEST_SUPPORT_ASYNC_CLIENT_HPP
#define TANAGERTRACK_TEST_SUPPORT_ASYNC_CLIENT_HPP

#include "support/event_loop.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace tanagertrack::test
{

/// Returns a loopback port that has no listener at the time of the call.
inline std::uint16_t free_port()
{
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor it(
        context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return it.local_endpoint().port();
}

/// Connection to a loopback port, for servers that run on the same io_context
/// as the test. Sends raw bytes and appends all bytes that arrive to
/// `received`. Not thread-safe: all calls are made on the thread of the
/// io_context.
class async_client
{
public:
    async_client(boost::asio::io_context& context, std::uint16_t port)
        : context_(context), socket_(context)
    {
        socket_.connect({boost::asio::ip::make_address("127.0.0.1"), port});
        start_read();
    }

    /// Closes the connection and runs its last handlers, because they refer to
    /// this object.
    ~async_client()
    {
        close();
    }

    async_client(const async_client&) = delete;
    async_client& operator=(const async_client&) = delete;

    /// Sends bytes with a blocking write; errors are ignored.
    void send(std::string_view bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
    }

    /// Sends bytes, runs handlers until `received` contains `mark` or the
    /// server has closed the connection (at most 20 s), and returns `received`.
    std::string send_and_wait(std::string_view bytes, std::string_view mark)
    {
        send(bytes);
        run_until(context_, [&]
                  { return closed || received.find(mark) != received.npos; });
        return received;
    }

    /// Closes the connection and runs all handlers that are ready.
    void close()
    {
        boost::system::error_code ignored;
        socket_.close(ignored);
        run_ready(context_);
    }

    /// All bytes that have arrived.
    std::string received;

    /// True once the connection was closed or has failed.
    bool closed = false;

private:
    void start_read()
    {
        socket_.async_read_some(boost::asio::buffer(buf_),
                                [this](const auto& ec, std::size_t n)
                                {
                                    received.append(buf_.data(), n);
                                    closed = closed || ec;
                                    if (!ec)
                                        start_read();
                                });
    }

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::socket socket_;
    std::array<char, 4096> buf_{};
};

} // namespace tanagertrack::test

#endif
