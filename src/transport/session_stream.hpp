#ifndef TANAGERTRACK_TRANSPORT_SESSION_STREAM_HPP
#define TANAGERTRACK_TRANSPORT_SESSION_STREAM_HPP

#include "transport/message_stream.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace tanagertrack::transport
{

class session;

/// One stream of a session. The session keeps it until `on_closed` was
/// delivered, the owner reset it, or the session was closed.
class session_stream final : public message_stream
{
public:
    session_stream(session& owner, std::int32_t id, std::string path);

    void set_hooks(stream_hooks hooks) override;
    std::string_view path() const override;
    std::string_view peer_address() const override;
    std::uint64_t connection_id() const override;
    bool send(std::string_view message) override;
    std::size_t queued_bytes() const override;
    void pause_reading(bool paused) override;
    void finish() override;
    void reset() override;
    bool is_open() const override;

    /// HTTP/2 stream id.
    std::int32_t id() const
    {
        return id_;
    }

    /// Whether the owner has set hooks.
    bool has_hooks() const
    {
        return hooks_ != nullptr;
    }

    /// Bytes received and not yet returned to the peer's stream window.
    std::size_t held_bytes() const
    {
        return held_;
    }

    /// Takes bytes of a DATA frame.
    void receive(std::string_view data);

    /// The peer ended its direction.
    void receive_end();

    /// The stream ended; `on_closed` gets `ec` when it is delivered.
    void close(std::error_code ec);

    /// Cuts the link to the session; no hook is called afterwards.
    void detach();

    /// Calls the hooks for all that has happened. Called by the session
    /// from its event loop.
    void deliver();

    /// Copies queued bytes into a DATA frame. Returns the number of bytes;
    /// sets `end` with the last bytes of a finished stream.
    std::size_t take_output(char* out, std::size_t size, bool& end);

    /// Whether the session already lists the stream for delivery.
    bool listed = false;

    /// Whether nghttp2 waits for `nghttp2_session_resume_data`.
    bool deferred = false;

private:
    void deliver_messages(stream_hooks& hooks);
    bool next_message(std::string_view& out);
    void return_window(std::size_t n);
    void fail_oversized();

    // Link to the session and what the owner set.
    session* owner_;
    const std::uint64_t connection_id_;
    const std::int32_t id_;
    const std::string path_;
    std::shared_ptr<stream_hooks> hooks_;

    // Receiving.
    std::string inbox_;
    std::size_t inbox_start_ = 0;
    std::size_t held_ = 0;
    bool paused_ = false;
    bool peer_finished_ = false;
    bool peer_finished_told_ = false;

    // Sending.
    std::string outbox_;
    std::size_t outbox_start_ = 0;
    bool blocked_ = false;
    bool writable_ = false;
    bool finished_ = false;

    // End.
    bool closed_ = false;
    std::error_code close_error_;
};

using session_stream_ptr = boost::intrusive_ptr<session_stream>;

} // namespace tanagertrack::transport

#endif
