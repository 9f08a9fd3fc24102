#ifndef TANAGERTRACK_TRANSPORT_SERVER_HPP
#define TANAGERTRACK_TRANSPORT_SERVER_HPP

#include "common/endpoint.hpp"
#include "transport/message_stream.hpp"
#include "transport/transport_settings.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <system_error>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace tanagertrack::transport
{

/// Accepts HTTP/2 connections from own processes. One thread: that of the
/// context. Connections without the cluster key are closed.
class server
{
public:
    /// Called for each stream that a peer opens; sets the stream's hooks.
    using stream_handler = std::function<void(message_stream_ptr)>;

    server(boost::asio::io_context& context, transport_settings settings,
           stream_handler on_stream);

    /// Closes all connections; no hooks are called.
    ~server();

    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Binds and accepts. Returns the error of bind or listen.
    std::error_code listen(const common::endpoint& local);

    /// Accepts no new connections or streams (GOAWAY); open streams go on.
    void stop_accepting();

    /// Streams that are open.
    std::size_t open_streams() const;

    /// Connections that are open. After `stop_accepting` a connection closes
    /// when its last stream has ended and its answers were written.
    std::size_t open_connections() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace tanagertrack::transport

#endif
