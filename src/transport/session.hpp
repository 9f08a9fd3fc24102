#ifndef TANAGERTRACK_TRANSPORT_SESSION_HPP
#define TANAGERTRACK_TRANSPORT_SESSION_HPP

#include "common/clock.hpp"
#include "transport/session_stream.hpp"
#include "transport/transport_settings.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <unordered_map>
#include <vector>

struct nghttp2_session;
struct nghttp2_session_callbacks;

namespace tanagertrack::transport
{

/// What the owner of a session is told, from the event loop.
struct session_hooks
{
    /// The first SETTINGS frame of the peer arrived.
    std::function<void()> on_up;

    /// The session ended; called once, after its streams were closed.
    std::function<void(std::error_code)> on_down;

    /// The peer accepts no new streams.
    std::function<void()> on_going_away;

    /// The peer opened a stream with the right key (server).
    std::function<void(message_stream_ptr)> on_stream;
};

/// End of a connection.
enum class session_side
{
    client,
    server
};

/// One HTTP/2 connection over a connected socket; the same class serves both
/// ends. Callbacks of nghttp2 only record what happened; hooks are called
/// afterwards from the event loop. One thread.
class session : public std::enable_shared_from_this<session>
{
public:
    using socket = boost::asio::ip::tcp::socket;

    session(socket connected, session_side side,
            const transport_settings& settings, session_hooks hooks);
    ~session();

    session(const session&) = delete;
    session& operator=(const session&) = delete;

    /// Sends the preface and starts to read. Call once.
    void start();

    /// Closes the connection without calling hooks.
    void close();

    /// Opens a stream (client); null when that is not possible.
    session_stream_ptr open(std::string_view path, stream_hooks hooks);

    /// Tells the peer that no new streams are accepted (GOAWAY).
    void stop_accepting();

    /// Whether `open` may succeed.
    bool is_up() const
    {
        return up_ && !closed_ && !going_away_;
    }

    std::size_t open_streams() const
    {
        return streams_.size();
    }

    const transport_settings& settings() const
    {
        return settings_;
    }

    /// Number of the connection, unique in the process.
    std::uint64_t id() const
    {
        return id_;
    }

    std::string_view peer_address() const
    {
        return peer_address_;
    }

    /// Lists the stream for delivery of its events in the next loop turn.
    void schedule(session_stream& stream);

    /// The stream has queued bytes or was finished.
    void output_ready(session_stream& stream);

    /// Forgets a stream; resets it on the wire when `on_wire`.
    void remove(session_stream& stream, bool on_wire);

    /// Sends RST_STREAM.
    void reset_on_wire(std::int32_t id);

    /// Opens the peer's windows for `n` delivered bytes.
    void return_window(std::int32_t id, std::size_t n);

private:
    friend struct session_callbacks;

    /// Header fields of a request while its block arrives.
    struct request_head
    {
        std::string path;
        std::string authorization;
    };

    void make_session();
    void submit_settings();
    void read();
    void on_read(const boost::system::error_code& ec, std::size_t n);
    void schedule_flush();
    void flush();
    void on_written(const boost::system::error_code& ec);
    void wait_idle(std::chrono::milliseconds delay);
    void on_idle_timer();
    void schedule_dispatch();
    void dispatch();
    void dispatch_connection_events();
    void hand_over(const session_stream_ptr& stream);
    void fail(std::error_code ec);
    void shut_socket();
    session_stream* find(std::int32_t id);
    session_stream_ptr add_stream(std::int32_t id, std::string path);

    // Steps of nghttp2's callbacks.
    void header(std::int32_t id, std::string_view name, std::string_view value);
    void request_complete(std::int32_t id);
    void data(std::int32_t id, std::string_view bytes);
    void stream_ended(std::int32_t id, std::uint32_t error);
    void returned_connection_window(std::size_t n);

    // For the life of the connection.
    const std::uint64_t id_;
    socket socket_;
    const session_side side_;
    const transport_settings settings_;
    std::shared_ptr<session_hooks> hooks_;
    std::string peer_address_;
    ::nghttp2_session* http2_ = nullptr;
    boost::asio::steady_timer idle_timer_;

    // State of the connection.
    bool up_ = false;
    bool up_told_ = false;
    bool going_away_ = false;
    bool going_away_told_ = false;
    bool rejected_ = false;
    bool closed_ = false;
    bool down_told_ = false;
    std::error_code down_error_;

    // Streams and their pending events.
    std::unordered_map<std::int32_t, session_stream_ptr> streams_;
    std::unordered_map<std::int32_t, request_head> heads_;
    std::vector<session_stream_ptr> ready_;
    std::vector<session_stream_ptr> opened_;
    bool dispatch_scheduled_ = false;

    // Bytes held by paused streams, and bytes for which the connection's
    // window was not opened because too many are held.
    std::size_t held_ = 0;
    std::size_t withheld_ = 0;

    // Socket input and output.
    static constexpr std::size_t read_buffer_bytes = 16UL * 1024;
    std::array<char, read_buffer_bytes> read_buffer_;
    std::string write_buffer_;
    bool writing_ = false;
    bool flush_scheduled_ = false;

    // Probe of a silent connection.
    common::time_point last_received_;
    bool ping_sent_ = false;
};

} // namespace tanagertrack::transport

#endif
