#include "transport/session.hpp"

#include "common/result_code.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/assert.hpp>
#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <atomic>
#include <utility>

namespace tanagertrack::transport
{

namespace asio = boost::asio;
using common::result_code;

namespace
{

/// Bytes collected for one write to the socket.
constexpr std::size_t write_batch_bytes = 128UL * 1024;

/// Windows that paused streams may hold before the connection's own window is
/// no longer opened. One paused stream must not stop the others.
constexpr std::size_t max_held_windows = 16;

/// Longest path of a stream in bytes.
constexpr std::size_t max_path_bytes = 1024;

/// Stream ids end at 2^31; a connection is given up before.
constexpr std::uint32_t last_stream_id = 0x7fff0000;

nghttp2_nv make_field(std::string_view name, std::string_view value)
{
    // nghttp2 does not write to the strings, but takes non-const pointers.
    const auto octets = [](std::string_view text)
    {
        return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
    };
    return {octets(name), octets(value), name.size(), value.size(),
            NGHTTP2_NV_FLAG_NONE};
}

/// Compares in a time that does not depend on the position of a difference.
bool same_secret(std::string_view a, std::string_view b)
{
    if (a.size() != b.size())
        return false;
    unsigned char difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i)
        difference |= static_cast<unsigned char>(a[i] ^ b[i]);
    return difference == 0;
}

std::error_code close_code(std::uint32_t http2_error, bool finished)
{
    if (http2_error == NGHTTP2_NO_ERROR && finished)
        return {};
    if (http2_error == NGHTTP2_REFUSED_STREAM)
        return result_code::shutting_down;
    return result_code::cancelled;
}

std::uint64_t next_connection_id()
{
    static std::atomic<std::uint64_t> last{0};
    return ++last;
}

std::string_view as_text(const std::uint8_t* data, std::size_t size)
{
    return {reinterpret_cast<const char*>(data), size};
}

} // namespace

/// Functions with the signatures that nghttp2 calls.
struct session_callbacks
{
    static session& self(void* user_data)
    {
        return *static_cast<session*>(user_data);
    }

    static int on_header(nghttp2_session*, const nghttp2_frame* frame,
                         const std::uint8_t* name, std::size_t name_size,
                         const std::uint8_t* value, std::size_t value_size,
                         std::uint8_t, void* user_data)
    {
        self(user_data).header(frame->hd.stream_id, as_text(name, name_size),
                               as_text(value, value_size));
        return 0;
    }

    static int on_frame(nghttp2_session*, const nghttp2_frame* frame,
                        void* user_data)
    {
        auto& it = self(user_data);
        const auto id = frame->hd.stream_id;
        switch (frame->hd.type)
        {
        case NGHTTP2_SETTINGS:
            it.up_ = true;
            break;
        case NGHTTP2_GOAWAY:
            it.going_away_ = true;
            break;
        case NGHTTP2_HEADERS:
            if (frame->headers.cat == NGHTTP2_HCAT_REQUEST)
                it.request_complete(id);
            break;
        default:
            break;
        }
        const bool carries_end =
            frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (carries_end && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
        {
            if (auto* stream = it.find(id))
            {
                stream->receive_end();
                it.schedule(*stream);
            }
        }
        return 0;
    }

    static int on_data(nghttp2_session*, std::uint8_t, std::int32_t id,
                       const std::uint8_t* data, std::size_t size,
                       void* user_data)
    {
        self(user_data).data(id, as_text(data, size));
        return 0;
    }

    static int on_close(nghttp2_session*, std::int32_t id, std::uint32_t error,
                        void* user_data)
    {
        self(user_data).stream_ended(id, error);
        return 0;
    }

    static ssize_t read_output(nghttp2_session*, std::int32_t id,
                               std::uint8_t* out, std::size_t size,
                               std::uint32_t* flags, nghttp2_data_source*,
                               void* user_data)
    {
        auto* stream = self(user_data).find(id);
        if (stream == nullptr)
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        bool end = false;
        const auto n =
            stream->take_output(reinterpret_cast<char*>(out), size, end);
        if (end)
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        else if (n == 0)
        {
            stream->deferred = true;
            return NGHTTP2_ERR_DEFERRED;
        }
        return static_cast<ssize_t>(n);
    }

    static nghttp2_data_provider output_provider()
    {
        nghttp2_data_provider provider{};
        provider.read_callback = read_output;
        return provider;
    }
};

session::session(socket connected, session_side side,
                 const transport_settings& settings, session_hooks hooks)
    : id_(next_connection_id()), socket_(std::move(connected)), side_(side),
      settings_(settings),
      hooks_(std::make_shared<session_hooks>(std::move(hooks))),
      idle_timer_(socket_.get_executor()), last_received_(common::clock::now())
{
    boost::system::error_code ec;
    const auto peer = socket_.remote_endpoint(ec);
    if (!ec)
        peer_address_ = peer.address().to_string();
    socket_.set_option(asio::ip::tcp::no_delay(true), ec);
    make_session();
}

session::~session()
{
    close();
    nghttp2_session_del(http2_);
}

void session::make_session()
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_option* options = nullptr;
    if (nghttp2_session_callbacks_new(&callbacks) != 0 ||
        nghttp2_option_new(&options) != 0)
        throw std::bad_alloc();
    nghttp2_session_callbacks_set_on_header_callback(
        callbacks, session_callbacks::on_header);
    nghttp2_session_callbacks_set_on_frame_recv_callback(
        callbacks, session_callbacks::on_frame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        callbacks, session_callbacks::on_data);
    nghttp2_session_callbacks_set_on_stream_close_callback(
        callbacks, session_callbacks::on_close);

    // Windows are opened by this class, when messages were delivered.
    nghttp2_option_set_no_auto_window_update(options, 1);
    const int rv =
        side_ == session_side::client
            ? nghttp2_session_client_new2(&http2_, callbacks, this, options)
            : nghttp2_session_server_new2(&http2_, callbacks, this, options);
    nghttp2_option_del(options);
    nghttp2_session_callbacks_del(callbacks);
    if (rv != 0)
        throw std::bad_alloc();
}

void session::start()
{
    submit_settings();
    schedule_flush();
    wait_idle(settings_.ping_interval);
    read();
}

void session::submit_settings()
{
    const std::array<nghttp2_settings_entry, 3> entries = {{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, settings_.max_streams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, settings_.window_bytes},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    }};
    // A server may not send ENABLE_PUSH.
    const std::size_t n = side_ == session_side::client ? 3 : 2;
    nghttp2_submit_settings(http2_, NGHTTP2_FLAG_NONE, entries.data(), n);
    nghttp2_session_set_local_window_size(
        http2_, NGHTTP2_FLAG_NONE, 0,
        static_cast<std::int32_t>(settings_.window_bytes));
}

void session::close()
{
    if (!closed_)
        shut_socket();
    closed_ = true;
    down_told_ = true;
    for (auto& [id, stream] : streams_)
        stream->detach();
    // Destroying the last reference to a stream may run destructors of
    // captured objects that call back; they find an empty table.
    auto streams = std::move(streams_);
    streams_.clear();
    ready_.clear();
    opened_.clear();
}

void session::shut_socket()
{
    boost::system::error_code ec;
    socket_.close(ec);
    idle_timer_.cancel();
}

void session::fail(std::error_code ec)
{
    if (closed_)
        return;
    closed_ = true;
    down_error_ = ec;
    shut_socket();
    for (auto& [id, stream] : streams_)
    {
        stream->close(result_code::connection_lost);
        schedule(*stream);
    }
    schedule_dispatch();
}

// ---- streams ----

session_stream_ptr session::open(std::string_view path, stream_hooks hooks)
{
    BOOST_ASSERT(side_ == session_side::client);
    BOOST_ASSERT(path.size() <= max_path_bytes);
    const auto peer_limit = nghttp2_session_get_remote_settings(
        http2_, NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS);
    const auto limit = std::min(settings_.max_streams, peer_limit);
    if (!is_up() || streams_.size() >= limit)
        return nullptr;

    const std::array<nghttp2_nv, 5> fields = {
        make_field(":method", "POST"),
        make_field(":scheme", "http"),
        make_field(":authority", "tanagertrack"),
        make_field(":path", path),
        make_field("authorization", settings_.cluster_key),
    };
    const auto provider = session_callbacks::output_provider();
    const auto id = nghttp2_submit_request(http2_, nullptr, fields.data(),
                                           fields.size(), &provider, nullptr);
    if (id < 0)
        return nullptr;

    if (nghttp2_session_get_next_stream_id(http2_) > last_stream_id)
    {
        going_away_ = true;
        schedule_dispatch();
    }
    auto stream = add_stream(id, std::string(path));
    stream->set_hooks(std::move(hooks));
    schedule_flush();
    return stream;
}

void session::stop_accepting()
{
    if (closed_)
        return;
    nghttp2_submit_goaway(http2_, NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(http2_),
                          NGHTTP2_NO_ERROR, nullptr, 0);
    schedule_flush();
}

session_stream* session::find(std::int32_t id)
{
    const auto it = streams_.find(id);
    return it != streams_.end() ? it->second.get() : nullptr;
}

session_stream_ptr session::add_stream(std::int32_t id, std::string path)
{
    session_stream_ptr stream(new session_stream(*this, id, std::move(path)));
    streams_.emplace(id, stream);
    return stream;
}

void session::remove(session_stream& stream, bool on_wire)
{
    if (on_wire)
        reset_on_wire(stream.id());
    held_ -= stream.held_bytes();
    returned_connection_window(0);
    streams_.erase(stream.id());
}

void session::reset_on_wire(std::int32_t id)
{
    if (closed_)
        return;
    nghttp2_submit_rst_stream(http2_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    schedule_flush();
}

void session::output_ready(session_stream& stream)
{
    if (closed_)
        return;
    if (stream.deferred)
    {
        stream.deferred = false;
        nghttp2_session_resume_data(http2_, stream.id());
    }
    schedule_flush();
}

void session::return_window(std::int32_t id, std::size_t n)
{
    if (n == 0 || closed_)
        return;
    held_ -= n;
    nghttp2_session_consume_stream(http2_, id, n);
    returned_connection_window(0);
    schedule_flush();
}

void session::returned_connection_window(std::size_t n)
{
    withheld_ += n;
    if (closed_ || held_ > max_held_windows * settings_.window_bytes)
        return;
    nghttp2_session_consume_connection(http2_, withheld_);
    withheld_ = 0;
    schedule_flush();
}

// ---- callbacks of nghttp2 ----

void session::header(std::int32_t id, std::string_view name,
                     std::string_view value)
{
    if (side_ == session_side::client)
        return;
    if (name == ":path" && value.size() <= max_path_bytes)
        heads_[id].path = value;
    else if (name == "authorization")
        heads_[id].authorization = value;
}

void session::request_complete(std::int32_t id)
{
    auto head = std::move(heads_[id]);
    heads_.erase(id);
    if (rejected_ || head.path.empty() ||
        !same_secret(head.authorization, settings_.cluster_key))
    {
        // The GOAWAY is written, then the connection is closed.
        rejected_ = true;
        nghttp2_session_terminate_session(http2_, NGHTTP2_PROTOCOL_ERROR);
        return;
    }

    const std::array<nghttp2_nv, 1> fields = {make_field(":status", "200")};
    const auto provider = session_callbacks::output_provider();
    if (nghttp2_submit_response(http2_, id, fields.data(), fields.size(),
                                &provider) != 0)
        return;
    opened_.push_back(add_stream(id, std::move(head.path)));
}

void session::data(std::int32_t id, std::string_view bytes)
{
    if (auto* stream = find(id))
    {
        stream->receive(bytes);
        held_ += bytes.size();
        schedule(*stream);
    }
    returned_connection_window(bytes.size());
}

void session::stream_ended(std::int32_t id, std::uint32_t error)
{
    heads_.erase(id);
    if (auto* stream = find(id))
    {
        stream->close(close_code(error, !stream->is_open()));
        schedule(*stream);
    }
}

// ---- delivery of events ----

void session::schedule(session_stream& stream)
{
    if (!stream.listed)
    {
        stream.listed = true;
        ready_.emplace_back(&stream);
    }
    schedule_dispatch();
}

void session::schedule_dispatch()
{
    if (dispatch_scheduled_)
        return;
    dispatch_scheduled_ = true;
    asio::post(socket_.get_executor(),
               [self = shared_from_this()]
               {
                   if (self->dispatch_scheduled_)
                       self->dispatch();
               });
}

void session::dispatch()
{
    dispatch_scheduled_ = false;
    const auto hooks = hooks_;

    // Streams that the peer opened are handed over before their messages.
    const auto opened = std::exchange(opened_, {});
    for (const auto& stream : opened)
        hand_over(stream);

    const auto ready = std::exchange(ready_, {});
    for (const auto& stream : ready)
    {
        stream->listed = false;
        stream->deliver();
    }
    dispatch_connection_events();
}

void session::hand_over(const session_stream_ptr& stream)
{
    if (down_told_ || !hooks_->on_stream)
        return;
    hooks_->on_stream(stream);

    // The handler kept no reference: nobody will ever set hooks. References
    // are held by the table, `opened` and perhaps `ready_`.
    const int own_references = stream->listed ? 3 : 2;
    if (!stream->has_hooks() &&
        static_cast<int>(stream->use_count()) <= own_references)
        stream->reset();
}

void session::dispatch_connection_events()
{
    const auto hooks = hooks_;
    if (up_ && !up_told_ && !closed_)
    {
        up_told_ = true;
        if (hooks->on_up)
            hooks->on_up();
    }
    if (going_away_ && !going_away_told_ && !closed_)
    {
        going_away_told_ = true;
        if (hooks->on_going_away)
            hooks->on_going_away();
    }
    // Streams whose owner was told something may have new events.
    if (closed_ && !down_told_ && ready_.empty())
    {
        down_told_ = true;
        if (hooks->on_down)
            hooks->on_down(down_error_);
    }
}

// ---- socket ----

void session::read()
{
    socket_.async_read_some(
        asio::buffer(read_buffer_),
        [self = shared_from_this()](const auto& ec, std::size_t n)
        { self->on_read(ec, n); });
}

void session::on_read(const boost::system::error_code& ec, std::size_t n)
{
    if (closed_)
        return;
    if (ec)
    {
        fail(result_code::connection_lost);
        return;
    }
    last_received_ = common::clock::now();
    ping_sent_ = false;

    const auto used = nghttp2_session_mem_recv(
        http2_, reinterpret_cast<const std::uint8_t*>(read_buffer_.data()), n);
    if (used < 0)
    {
        fail(result_code::protocol_error);
        return;
    }
    dispatch();
    if (closed_)
        return;
    schedule_flush();
    read();
}

void session::schedule_flush()
{
    if (flush_scheduled_ || writing_ || closed_)
        return;
    flush_scheduled_ = true;
    asio::post(socket_.get_executor(),
               [self = shared_from_this()]
               {
                   self->flush_scheduled_ = false;
                   self->flush();
               });
}

void session::flush()
{
    if (writing_ || closed_)
        return;
    while (write_buffer_.size() < write_batch_bytes)
    {
        const std::uint8_t* data = nullptr;
        const auto n = nghttp2_session_mem_send(http2_, &data);
        if (n < 0)
        {
            fail(result_code::protocol_error);
            return;
        }
        if (n == 0)
            break;
        write_buffer_.append(as_text(data, static_cast<std::size_t>(n)));
    }
    if (write_buffer_.empty())
    {
        // After GOAWAY the connection ends with its last stream.
        if (nghttp2_session_want_read(http2_) == 0 &&
            nghttp2_session_want_write(http2_) == 0)
            fail(going_away_ ? result_code::shutting_down
                             : result_code::connection_lost);
        return;
    }

    writing_ = true;
    asio::async_write(socket_, asio::buffer(write_buffer_),
                      [self = shared_from_this()](const auto& ec, std::size_t)
                      { self->on_written(ec); });
}

void session::on_written(const boost::system::error_code& ec)
{
    writing_ = false;
    write_buffer_.clear();
    if (closed_)
        return;
    if (ec)
        fail(result_code::connection_lost);
    else
        flush();
}

// ---- probe ----

void session::wait_idle(std::chrono::milliseconds delay)
{
    idle_timer_.expires_after(delay);
    idle_timer_.async_wait(
        [self = shared_from_this()](const auto& ec)
        {
            if (!ec && !self->closed_)
                self->on_idle_timer();
        });
}

void session::on_idle_timer()
{
    using std::chrono::milliseconds;
    const auto silent = std::chrono::duration_cast<milliseconds>(
        common::clock::now() - last_received_);
    const auto late = common::clock::now() - idle_timer_.expiry();
    if (ping_sent_ && late > settings_.ping_timeout / 2)
    {
        // This process itself was stalled: what the peer sent meanwhile is
        // read before the peer is judged.
        wait_idle(settings_.ping_timeout);
        return;
    }
    if (ping_sent_)
    {
        fail(result_code::connection_lost);
        return;
    }
    if (silent < settings_.ping_interval)
    {
        wait_idle(settings_.ping_interval - silent);
        return;
    }
    ping_sent_ = true;
    nghttp2_submit_ping(http2_, NGHTTP2_FLAG_NONE, nullptr);
    schedule_flush();
    wait_idle(settings_.ping_timeout);
}

} // namespace tanagertrack::transport
