#include "http/client_connection.hpp"

#include "common/result_code.hpp"
#include "http/status.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/assert.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <linux/sockios.h>
#include <netinet/tcp.h>

namespace tanagertrack::http
{

namespace asio = boost::asio;
namespace bhttp = boost::beast::http;
using boost::system::error_code;
using common::result_code;

namespace
{

/// Largest number of bytes requested from the socket by one read.
constexpr std::size_t read_chunk_bytes = 4096;

using user_timeout_option =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/// Error of a socket that no read or write has reported yet.
using pending_error_option =
    asio::detail::socket_option::integer<SOL_SOCKET, SO_ERROR>;

/// Asks for the bytes that were written to a socket and that the peer has not
/// acknowledged.
class undelivered_command
{
public:
    int name() const
    {
        return SIOCOUTQ;
    }

    void* data()
    {
        return &value_;
    }

    std::size_t value() const
    {
        return static_cast<std::size_t>(std::max(value_, 0));
    }

private:
    int value_ = 0;
};

/// Interval of the checks whether the peer has received the request, once the
/// response has ended.
constexpr auto delivery_check_interval = std::chrono::milliseconds(5);

/// Parses "timeout=N" (seconds) in the value of a Keep-Alive header. Returns
/// std::nullopt if there is none.
std::optional<std::chrono::seconds> keep_alive_seconds(std::string_view value)
{
    constexpr std::string_view name = "timeout=";
    const auto at = value.find(name);
    if (at == value.npos)
        return std::nullopt;
    const auto digits = value.substr(at + name.size());
    unsigned seconds = 0;
    const auto [end, ec] =
        std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

} // namespace

client_connection::client_connection(asio::io_context& context,
                                     const client_settings& settings)
    : socket_(context), timer_(context), settings_(settings),
      buffer_(settings.max_header_bytes + read_chunk_bytes)
{
}

void client_connection::connect(const common::endpoint& peer,
                                std::function<void(std::error_code)> handler)
{
    BOOST_ASSERT(state_ == state::unconnected);
    state_ = state::connecting;
    connect_handler_ = std::move(handler);

    boost::intrusive_ptr<client_connection> self(this);
    timer_.expires_after(settings_.connect_timeout);
    timer_.async_wait(
        [self](const error_code& ec)
        {
            if (!ec && self->state_ == state::connecting)
                self->fail(make_error_code(asio::error::timed_out));
        });

    error_code ec;
    const auto address = asio::ip::make_address(peer.address, ec);
    const asio::ip::tcp::endpoint remote(address, peer.port);
    socket_.async_connect(remote,
                          [self](const error_code& result)
                          {
                              if (self->state_ != state::connecting)
                                  return;
                              if (result)
                                  return self->fail(result);
                              self->timer_.cancel();
                              self->set_options();
                              self->state_ = state::idle;
                              self->idle_since_ = common::clock::now();
                              self->read_some();
                              auto connected = std::exchange(
                                  self->connect_handler_, nullptr);
                              connected({});
                          });
}

void client_connection::set_options()
{
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.set_option(
        user_timeout_option(static_cast<int>(settings_.user_timeout.count())),
        ignored);
}

void client_connection::send(std::string request, response_hooks hooks,
                             bool without_body)
{
    BOOST_ASSERT(is_idle());
    state_ = state::busy;
    request_ = std::move(request);
    bytes_written_ = 0;
    request_sent_ = false;
    without_body_ = without_body;
    hooks_ = std::make_shared<const response_hooks>(std::move(hooks));
    paused_ = false;
    keep_alive_.reset();
    response_ended_ = false;
    head_bytes_ = 0;
    start_parser();
    write_some();
    read_some();
}

void client_connection::start_parser()
{
    parser_.emplace();
    parser_->header_limit(settings_.max_header_bytes);
    parser_->body_limit(boost::none);
    parser_->skip(without_body_);
    head_received_ = false;
}

void client_connection::write_some()
{
    boost::intrusive_ptr<client_connection> self(this);
    socket_.async_write_some(asio::buffer(request_.data() + bytes_written_,
                                          request_.size() - bytes_written_),
                             [self](const error_code& ec, std::size_t n)
                             {
                                 if (self->state_ != state::busy)
                                     return;
                                 if (ec)
                                     return self->fail(ec);
                                 self->bytes_written_ += n;
                                 if (self->bytes_written_ <
                                     self->request_.size())
                                     return self->write_some();
                                 self->request_sent_ = true;
                                 self->request_ = {};
                             });
}

void client_connection::read_some()
{
    const bool has_ended = response_ended_ || state_ == state::closed;
    if (read_pending_ || parsing_ || paused_ || has_ended)
        return;
    read_pending_ = true;
    boost::intrusive_ptr<client_connection> self(this);
    socket_.async_read_some(buffer_.prepare(read_chunk_bytes),
                            [self](const error_code& ec, std::size_t n)
                            {
                                self->read_pending_ = false;
                                if (self->state_ != state::closed)
                                    self->handle_read(ec, n);
                            });
}

void client_connection::handle_read(const error_code& ec, std::size_t n)
{
    buffer_.commit(n);
    if (state_ == state::idle)
    {
        // The peer closed the connection, or sent bytes without a request.
        const auto hook = std::exchange(idle_end_hook_, nullptr);
        close();
        if (hook)
            hook();
        return;
    }
    // A hook may resume reading. The space in the buffer that a read would
    // write to is not fixed while the parser consumes the buffer.
    parsing_ = true;
    parse();
    parsing_ = false;
    if (state_ == state::idle)
        return read_some();
    if (state_ != state::busy)
        return;
    if (ec)
        return handle_end_of_stream(ec);
    read_some();
}

void client_connection::parse()
{
    boost::intrusive_ptr<client_connection> self(this);
    const auto hooks = hooks_;
    std::array<char, read_chunk_bytes> piece;
    while (state_ == state::busy && buffer_.size() != 0)
    {
        auto& body = parser_->get().body();
        body.data = piece.data();
        body.size = piece.size();
        body.more = true;
        error_code ec;
        const auto n = parser_->put(buffer_.data(), ec);
        buffer_.consume(n);
        if (!head_received_)
            head_bytes_ += n;
        if (ec == bhttp::error::need_buffer)
            ec = {};
        const bool needs_more_input = ec == bhttp::error::need_more;
        if (ec && !needs_more_input)
            return fail(ec);
        if (parser_->is_header_done() && !head_received_ && !handle_head())
            continue;

        const auto length = piece.size() - body.size;
        if (state_ == state::busy && length != 0 && hooks->on_body)
            hooks->on_body({piece.data(), length});
        if (state_ != state::busy)
            return;
        if (parser_->is_done())
            return complete();
        // The buffer has no space for another read: a chunk header or the
        // trailer is too long.
        if (needs_more_input && buffer_.size() > settings_.max_header_bytes)
            return fail(make_error_code(result_code::protocol_error));
        if (needs_more_input)
            return;
    }
}

bool client_connection::handle_head()
{
    const auto& message = parser_->get();
    const unsigned status = message.result_int();

    // No request asks for another protocol.
    if (!is_status(status) || status == status_switching_protocols)
    {
        fail(make_error_code(result_code::protocol_error));
        return false;
    }
    if (is_interim(status))
    {
        // The final response follows.
        if (head_bytes_ > settings_.max_header_bytes)
            fail(make_error_code(result_code::protocol_error));
        else
            start_parser();
        return false;
    }
    head_received_ = true;
    response_head head;
    head.status = status;
    for (const auto& it : message)
        head.headers.add(it.name_string(), it.value());
    keep_alive_ = keep_alive_seconds(head.headers.find("Keep-Alive"));
    if (const auto hooks = hooks_; hooks->on_head)
        hooks->on_head(head);
    return true;
}

void client_connection::handle_end_of_stream(const error_code& ec)
{
    // A response without a length ends when the peer closes the connection.
    // After a reset it is incomplete. The system reports an orderly end first
    // if the peer's process ended while a part of the request was on its way;
    // the reset comes when that part arrives.
    if (ec != asio::error::eof || !head_received_ || !parser_->need_eof())
        return fail(ec);
    response_ended_ = true;
    complete_when_delivered();
}

void client_connection::complete_when_delivered()
{
    if (state_ != state::busy)
        return;
    if (const auto ec = pending_error())
        return fail(ec);
    if (!request_sent_ || undelivered_bytes() != 0)
    {
        boost::intrusive_ptr<client_connection> self(this);
        timer_.expires_after(delivery_check_interval);
        timer_.async_wait(
            [self](const error_code& ec)
            {
                if (!ec)
                    self->complete_when_delivered();
            });
        return;
    }
    error_code result;
    parser_->put_eof(result);
    if (result)
        return fail(result);
    complete();
}

error_code client_connection::pending_error() const
{
    pending_error_option value;
    error_code ec;
    socket_.get_option(value, ec);
    return ec ? ec
              : error_code(value.value(), boost::system::system_category());
}

std::size_t client_connection::undelivered_bytes()
{
    undelivered_command command;
    error_code ec;
    socket_.io_control(command, ec);

    // Where the system doesn't tell, what it has taken counts as delivered.
    return ec ? 0 : command.value();
}

void client_connection::complete()
{
    // If the response ended before the whole request was sent, the peer may
    // still read the rest of the request. The connection can't be reused then.
    const bool reusable = request_sent_ && parser_->get().keep_alive() &&
                          !parser_->need_eof() && buffer_.size() == 0;
    boost::intrusive_ptr<client_connection> self(this);
    const auto hooks = std::exchange(hooks_, nullptr);
    parser_.reset();
    if (reusable)
    {
        state_ = state::idle;
        idle_since_ = common::clock::now();
        idle_until_ = keep_alive_ ? idle_since_ + *keep_alive_
                                  : common::time_point::max();
        paused_ = false;
        read_some();
    }
    else
    {
        close();
    }
    if (hooks->on_end)
        hooks->on_end({});
}

void client_connection::pause(bool paused)
{
    paused_ = paused;
    if (state_ == state::busy)
        read_some();
}

void client_connection::close()
{
    if (state_ == state::closed)
        return;
    state_ = state::closed;
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    connect_handler_ = nullptr;
    idle_end_hook_ = nullptr;
    hooks_ = nullptr;
}

void client_connection::fail(std::error_code ec)
{
    boost::intrusive_ptr<client_connection> self(this);
    auto connected = std::exchange(connect_handler_, nullptr);
    const auto hooks = std::exchange(hooks_, nullptr);
    close();
    if (connected)
        connected(ec);
    if (hooks && hooks->on_end)
        hooks->on_end(ec);
}

void client_connection::on_idle_end(std::function<void()> hook)
{
    idle_end_hook_ = std::move(hook);
}

} // namespace tanagertrack::http
