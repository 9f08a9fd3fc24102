#ifndef TANAGERTRACK_TRANSPORT_MESSAGE_STREAM_HPP
#define TANAGERTRACK_TRANSPORT_MESSAGE_STREAM_HPP

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <system_error>

namespace google::protobuf
{
class MessageLite;
} // namespace google::protobuf

namespace tanagertrack::transport
{

/// What the owner of a stream wants to be told. All hooks are called on the
/// connection's thread, never from within a call on the stream.
struct stream_hooks
{
    /// A whole message from the peer. The view is valid during the call.
    std::function<void(std::string_view message)> on_message;

    /// The send buffer fell below its limit after `send` returned false.
    std::function<void()> on_writable;

    /// The peer has sent its last message.
    std::function<void()> on_peer_finished;

    /// The stream ended; called once, and no hook after it. No error after
    /// both sides finished; `cancelled` after a reset by the peer;
    /// `shutting_down` when the peer did not take the stream (it never saw
    /// its messages); `protocol_error` after a message over the limit;
    /// `connection_lost` when the connection ended first.
    std::function<void(std::error_code)> on_closed;
};

/// One HTTP/2 stream that carries length-prefixed messages both ways.
///
/// Used on its connection's thread only. The connection keeps the stream
/// alive until `on_closed`.
class message_stream
    : public boost::intrusive_ref_counter<message_stream,
                                          boost::thread_unsafe_counter>
{
public:
    virtual ~message_stream() = default;

    /// Sets the hooks; messages that arrived before are delivered after it.
    virtual void set_hooks(stream_hooks hooks) = 0;

    /// Path with which the client opened the stream.
    virtual std::string_view path() const = 0;

    /// IP number of the peer.
    virtual std::string_view peer_address() const = 0;

    /// Number of the connection, unique in the process; streams of one peer
    /// process share it.
    virtual std::uint64_t connection_id() const
    {
        return 0;
    }

    /// Queues one message. Returns false when the send buffer is over its
    /// limit; the message is queued all the same, and the owner waits for
    /// `on_writable` before it sends more. Ignored on a closed stream.
    virtual bool send(std::string_view message) = 0;

    /// Serializes and queues one message, as `send`.
    bool send(const google::protobuf::MessageLite& message);

    /// Number of bytes queued and not yet handed to the connection, which
    /// collects at most 128 KiB for one write.
    virtual std::size_t queued_bytes() const = 0;

    /// Stops and restarts the delivery of messages; while stopped, the
    /// peer's flow-control window is not opened.
    virtual void pause_reading(bool paused) = 0;

    /// Sends no more messages after those queued.
    virtual void finish() = 0;

    /// Ends the stream at once in both directions; the peer sees
    /// `cancelled`. `on_closed` is not called on this side.
    virtual void reset() = 0;

    /// Whether the stream can still carry messages to the peer.
    virtual bool is_open() const = 0;
};

using message_stream_ptr = boost::intrusive_ptr<message_stream>;

} // namespace tanagertrack::transport

#endif
