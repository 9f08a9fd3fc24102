#ifndef TANAGERTRACK_TEST_SUPPORT_SCRIPTED_SERVER_HPP
#define TANAGERTRACK_TEST_SUPPORT_SCRIPTED_SERVER_HPP

#include "common/endpoint.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

namespace tanagertrack::test
{

/// Response of a scripted server to one request.
struct scripted_answer
{
    /// Bytes that are sent unchanged.
    std::string bytes;

    /// True if the connection is closed after the bytes are sent.
    bool closes = false;

    /// True if the server ends its side of the connection after the bytes,
    /// reads a part of the request's body, and closes the connection when it
    /// has read all that has arrived. What arrives later is answered by a
    /// reset.
    bool leaves_during_upload = false;
};

/// Server on a loopback port that answers each request with given bytes; the
/// order of the requests is that of their arrival over all connections. Not
/// thread-safe: all calls are made on the thread of the io_context.
class scripted_server
{
public:
    explicit scripted_server(boost::asio::io_context& context)
        : acceptor_(context, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        accept();
    }

    common::endpoint address() const
    {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

    /// Appends an answer to the script; each answer is used for one request.
    void add(std::string bytes, bool closes = false)
    {
        answers_.push_back({std::move(bytes), closes});
    }

    void add(scripted_answer answer)
    {
        answers_.push_back(std::move(answer));
    }

    /// Hook that returns the answer to a request, given the request's head;
    /// used while the script is empty. Without it, the answer has no bytes.
    std::function<scripted_answer(const std::string& request)> make_answer;

    /// Sends bytes on all open connections.
    void send_all(const std::string& bytes)
    {
        for (const auto& it : connections_)
            boost::asio::write(it->socket, boost::asio::buffer(bytes));
    }

    /// Closes all connections.
    void close_all()
    {
        for (const auto& it : connections_)
        {
            boost::system::error_code ignored;
            it->socket.close(ignored);
        }
        connections_.clear();
    }

    /// Closes the listener and all connections.
    void stop()
    {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        close_all();
    }

    /// Heads of all requests received, in the order of their arrival.
    std::deque<std::string> requests;

    /// Number of accepted connections, and of those that ended while the server
    /// waited for a request.
    std::size_t accepted = 0;
    std::size_t closed = 0;

private:
    struct connection
    {
        explicit connection(boost::asio::ip::tcp::socket accepted_socket)
            : socket(std::move(accepted_socket))
        {
        }

        boost::asio::ip::tcp::socket socket;
        std::string buf;
    };

    using connection_ptr = std::shared_ptr<connection>;

    void accept()
    {
        acceptor_.async_accept(
            [this](const auto& ec, boost::asio::ip::tcp::socket socket)
            {
                if (ec)
                    return;
                ++accepted;
                connections_.push_back(
                    std::make_shared<connection>(std::move(socket)));
                read(connections_.back());
                accept();
            });
    }

    void read(const connection_ptr& it)
    {
        boost::asio::async_read_until(
            it->socket, boost::asio::dynamic_buffer(it->buf), "\r\n\r\n",
            [this, it](const auto& ec, std::size_t n)
            {
                if (ec)
                {
                    ++closed;
                    connections_.remove(it);
                    return;
                }
                requests.push_back(it->buf.substr(0, n));
                it->buf.erase(0, n + body_length(requests.back()));
                respond(it);
            });
    }

    void respond(const connection_ptr& it)
    {
        scripted_answer answer;
        if (!answers_.empty())
        {
            answer = answers_.front();
            answers_.pop_front();
        }
        else if (make_answer)
            answer = make_answer(requests.back());
        // The write fails if the connection was closed meanwhile.
        boost::system::error_code ec;
        boost::asio::write(it->socket, boost::asio::buffer(answer.bytes), ec);
        if (!ec && answer.leaves_during_upload)
        {
            it->socket.shutdown(boost::asio::socket_base::shutdown_send, ec);
            return leave_during_upload(it);
        }
        if (!ec && !answer.closes)
            return read(it);
        it->socket.shutdown(boost::asio::socket_base::shutdown_both, ec);
        it->socket.close(ec);
        connections_.remove(it);
    }

    void leave_during_upload(const connection_ptr& it)
    {
        constexpr std::size_t read_bytes = 256UL * 1024;
        it->buf.resize(read_bytes);
        boost::asio::async_read(
            it->socket, boost::asio::buffer(it->buf),
            [this, it](boost::system::error_code ec, std::size_t)
            {
                it->socket.non_blocking(true, ec);
                while (!ec)
                    it->socket.read_some(boost::asio::buffer(it->buf), ec);
                it->socket.close(ec);
                connections_.remove(it);
            });
    }

    static std::size_t body_length(const std::string& head)
    {
        constexpr std::string_view name = "Content-Length: ";
        const auto at = head.find(name);
        return at == std::string::npos
                   ? 0
                   : std::stoul(head.substr(at + name.size()));
    }

    boost::asio::ip::tcp::acceptor acceptor_;
    std::deque<scripted_answer> answers_;
    std::list<connection_ptr> connections_;
};

/// HTTP answer with a Content-Length and a body. `headers` are complete header
/// lines, each with its line end.
inline std::string whole_answer(unsigned status, const std::string& body,
                                const std::string& headers = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Head of an HTTP answer with a chunked body.
inline std::string chunked_head(unsigned status,
                                const std::string& headers = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Transfer-Encoding: chunked\r\n\r\n";
}

/// One chunk of a chunked body; without data it is the last chunk.
inline std::string chunk(const std::string& data)
{
    char length[32];
    std::snprintf(length, sizeof(length), "%zx\r\n", data.size());
    return length + data + "\r\n";
}

/// Server-sent event with an id.
inline std::string event(unsigned id, const std::string& data)
{
    return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

} // namespace tanagertrack::test

#endif
