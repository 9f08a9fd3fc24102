#ifndef TANAGERTRACK_TEST_PLATFORM_SCRIPTED_SERVER_HPP
#define TANAGERTRACK_TEST_PLATFORM_SCRIPTED_SERVER_HPP

#include "common/endpoint.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <thread>
#include <vector>

namespace tanagertrack::test
{

/// Answers the requests of one connection after the other with given bytes.
class scripted_server
{
public:
    /// Each inner list is one connection: an answer to each request; the
    /// connection is closed after the last. An empty text closes unanswered.
    explicit scripted_server(std::vector<std::vector<std::string>> script)
        : acceptor_(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          thread_([this, script = std::move(script)] { run(script); })
    {
    }

    ~scripted_server()
    {
        thread_.join();
    }

    common::endpoint address() const
    {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

    std::vector<std::string> requests;

private:
    void run(const std::vector<std::vector<std::string>>& script)
    {
        for (const auto& connection : script)
        {
            boost::asio::ip::tcp::socket socket(context_);
            acceptor_.accept(socket);
            for (const auto& answer : connection)
            {
                std::string buf;
                boost::asio::read_until(
                    socket, boost::asio::dynamic_buffer(buf), "\r\n\r\n");
                requests.push_back(buf);
                boost::asio::write(socket, boost::asio::buffer(answer));
            }
        }
    }

    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

/// One HTTP answer with a body.
inline std::string answer(int status, const std::string& body,
                          const std::string& headers = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace tanagertrack::test

#endif
