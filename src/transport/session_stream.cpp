#include "transport/session_stream.hpp"

#include "common/result_code.hpp"
#include "transport/session.hpp"

#include <boost/assert.hpp>
#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace tanagertrack::transport
{

namespace
{

constexpr std::size_t length_bytes = 4;

/// Delivered or written bytes at the front of a buffer above which the rest
/// is moved to the front.
constexpr std::size_t compact_bytes = 64UL * 1024;

unsigned char* as_octets(char* p)
{
    return reinterpret_cast<unsigned char*>(p);
}

void drop_front(std::string& buffer, std::size_t& start)
{
    if (start == buffer.size())
    {
        // A large message must not keep its memory for the stream's life.
        if (buffer.capacity() > compact_bytes)
            buffer = std::string();
        else
            buffer.clear();
        start = 0;
    }
    else if (start >= compact_bytes && start >= buffer.size() / 2)
    {
        buffer.erase(0, start);
        start = 0;
    }
}

} // namespace

session_stream::session_stream(session& owner, std::int32_t id,
                               std::string path)
    : owner_(&owner), connection_id_(owner.id()), id_(id),
      path_(std::move(path))
{
}

void session_stream::set_hooks(stream_hooks hooks)
{
    hooks_ = std::make_shared<stream_hooks>(std::move(hooks));
    if (owner_ != nullptr)
        owner_->schedule(*this);
}

std::string_view session_stream::path() const
{
    return path_;
}

std::string_view session_stream::peer_address() const
{
    return owner_ != nullptr ? owner_->peer_address() : std::string_view();
}

std::uint64_t session_stream::connection_id() const
{
    return connection_id_;
}

bool session_stream::send(std::string_view message)
{
    if (!is_open())
        return true;
    BOOST_ASSERT(message.size() <= owner_->settings().max_message_bytes);

    std::array<char, length_bytes> length;
    boost::endian::store_big_u32(as_octets(length.data()),
                                 static_cast<std::uint32_t>(message.size()));
    outbox_.append(length.data(), length.size());
    outbox_.append(message);
    owner_->output_ready(*this);

    blocked_ = queued_bytes() > owner_->settings().send_buffer_bytes;
    return !blocked_;
}

std::size_t session_stream::queued_bytes() const
{
    return outbox_.size() - outbox_start_;
}

void session_stream::pause_reading(bool paused)
{
    if (paused == paused_)
        return;
    paused_ = paused;
    if (!paused && owner_ != nullptr)
        owner_->schedule(*this);
}

void session_stream::finish()
{
    if (!is_open())
        return;
    finished_ = true;
    owner_->output_ready(*this);
}

void session_stream::reset()
{
    if (owner_ == nullptr)
        return;
    auto* const owner = owner_;
    const bool on_wire = !closed_;
    const session_stream_ptr self(this);
    owner->remove(*this, on_wire);
    detach();
}

bool session_stream::is_open() const
{
    return owner_ != nullptr && !closed_ && !finished_;
}

void session_stream::receive(std::string_view data)
{
    inbox_.append(data);
    held_ += data.size();
}

void session_stream::receive_end()
{
    peer_finished_ = true;
}

void session_stream::close(std::error_code ec)
{
    // An end that is about to be delivered stays as it is; one behind a pause
    // would never be delivered once the connection is gone.
    if (closed_ && !paused_)
        return;
    closed_ = true;
    close_error_ = ec;
}

void session_stream::detach()
{
    // The inbox stays: a hook that resets the stream may still read from the
    // message it was given.
    owner_ = nullptr;
    closed_ = true;
    outbox_.clear();
    outbox_start_ = 0;
}

void session_stream::deliver()
{
    if (hooks_ == nullptr || owner_ == nullptr)
        return;

    // A hook may reset the stream, replace the hooks or end the session.
    const auto hooks = hooks_;
    const session_stream_ptr self(this);
    const bool lost = closed_ && close_error_;
    if (!lost || !paused_)
        deliver_messages(*hooks);

    if (owner_ != nullptr && writable_ && !closed_)
    {
        writable_ = false;
        if (hooks->on_writable)
            hooks->on_writable();
    }
    const bool drained = !paused_;
    if (owner_ != nullptr && peer_finished_ && !peer_finished_told_ && drained)
    {
        peer_finished_told_ = true;
        if (hooks->on_peer_finished)
            hooks->on_peer_finished();
    }
    if (owner_ != nullptr && closed_ && (close_error_ || !paused_))
    {
        owner_->remove(*this, false);
        detach();
        if (hooks->on_closed)
            hooks->on_closed(close_error_);
    }
}

void session_stream::deliver_messages(stream_hooks& hooks)
{
    std::size_t delivered = 0;
    std::string_view message;
    while (owner_ != nullptr && !paused_ && next_message(message))
    {
        if (hooks.on_message)
            hooks.on_message(message);
        inbox_start_ += length_bytes + message.size();
        delivered += length_bytes + message.size();
    }
    if (owner_ == nullptr)
        return;

    drop_front(inbox_, inbox_start_);
    // A part of a message is returned too: the message can be larger than
    // the window.
    return_window(paused_ ? std::min(delivered, held_) : held_);
}

bool session_stream::next_message(std::string_view& out)
{
    const std::size_t available = inbox_.size() - inbox_start_;
    if (available < length_bytes)
        return false;
    const std::size_t size =
        boost::endian::load_big_u32(as_octets(inbox_.data() + inbox_start_));
    if (size > owner_->settings().max_message_bytes)
    {
        fail_oversized();
        return false;
    }
    if (available - length_bytes < size)
        return false;
    out = std::string_view(inbox_).substr(inbox_start_ + length_bytes, size);
    return true;
}

void session_stream::return_window(std::size_t n)
{
    held_ -= n;
    owner_->return_window(id_, n);
}

void session_stream::fail_oversized()
{
    // The rest of the stream can't be parsed any more.
    inbox_start_ = inbox_.size();
    if (!closed_)
        owner_->reset_on_wire(id_);
    close(common::result_code::protocol_error);
}

std::size_t session_stream::take_output(char* out, std::size_t size, bool& end)
{
    const std::size_t n = std::min(size, queued_bytes());
    std::memcpy(out, outbox_.data() + outbox_start_, n);
    outbox_start_ += n;
    drop_front(outbox_, outbox_start_);

    end = finished_ && queued_bytes() == 0;
    if (blocked_ && queued_bytes() <= owner_->settings().send_buffer_bytes)
    {
        blocked_ = false;
        writable_ = true;
        owner_->schedule(*this);
    }
    return n;
}

} // namespace tanagertrack::transport
