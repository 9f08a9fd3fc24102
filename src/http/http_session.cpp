#include "http/http_session.hpp"

#include "common/hash.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <vector>

namespace tanagertrack::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using common::result_code;
using step_kind = answer_step::kind;
using boost::system::error_code;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Maximum size of a body piece passed to its handler.
constexpr std::size_t max_piece_bytes = 64 * 1024;

/// Size of a body piece if the length of the body is unknown.
constexpr std::size_t unsized_body_piece_bytes = 16 * 1024;

/// Smallest size of a body piece. Pieces grow with what has been received, so
/// that a caller that announces a large body and sends little holds little.
constexpr std::size_t min_piece_bytes = 16 * 1024;

/// Size of a read that discards what a caller still sends.
constexpr std::size_t discard_bytes = 16 * 1024;

/// Copies of a body that count as held: the body, and either the spare capacity
/// of its string or its copy in the request to the target.
constexpr std::size_t body_copies = 2;

/// Copies of a head, besides that in the input buffer: the fields of the parser
/// and those of the request.
constexpr std::size_t head_copies = 2;

/// Size of the read that waits for the next request, or for a disconnect while
/// a response is being prepared.
constexpr std::size_t monitor_bytes = 4096;

/// Size of the kernel's send buffer. Limits the memory that is used for a
/// caller that doesn't read.
constexpr int send_buffer_bytes = 128 * 1024;

/// Limits for discarding an unread body after an early response. Closing
/// immediately would reset the connection, and the caller could lose the
/// response.
constexpr auto max_discard_time = std::chrono::seconds(2);
constexpr std::size_t max_discarded_bytes = 64UL * 1024 * 1024;

/// Minimum average rate at which a caller must send a body. Limits how long a
/// caller that sends single bytes can occupy a connection.
constexpr double min_bytes_per_second = 512;

/// Returns the remaining time for the caller to send the next bytes of a body,
/// after `bytes` bytes that took `spent`. Every body may take `grace` longer
/// than `min_bytes_per_second` allows.
std::chrono::steady_clock::duration
remaining_read_time(std::chrono::steady_clock::duration spent,
                    std::uint64_t bytes)
{
    using std::chrono::duration_cast;
    constexpr auto grace = std::chrono::seconds(30);
    const std::chrono::duration<double> allowed(static_cast<double>(bytes) /
                                                min_bytes_per_second);
    return grace + duration_cast<std::chrono::steady_clock::duration>(allowed) -
           spent;
}

/// Formats a duration in seconds, with milliseconds if they are not zero.
std::string seconds_text(std::chrono::milliseconds value)
{
    const auto whole = value.count() / 1000;
    const auto rest = value.count() % 1000;
    auto text = std::to_string(whole);
    if (rest != 0)
        text += '.' + std::to_string(1000 + rest).substr(1);
    return text;
}

bool has_no_body(unsigned status)
{
    return status == 204 || status == 304 || status < 200;
}

} // namespace

http_session::http_session(asio::ip::tcp::socket socket,
                           const http_settings& settings,
                           request_handler handler,
                           std::function<void(http_session*)> on_closed,
                           server_state_ptr server)
    : stream_(std::move(socket)), settings_(settings),
      handler_(std::move(handler)), on_closed_(std::move(on_closed)),
      server_(std::move(server)), wake_timer_(stream_.get_executor()),
      buffer_(settings.max_header_bytes + max_piece_bytes)
{
}

http_session::~http_session()
{
    if (budget_ != nullptr)
        budget_->remove(holder_);
}

void http_session::use_budget(std::shared_ptr<byte_budget> budget)
{
    error_code ec;
    const auto peer = stream_.socket().remote_endpoint(ec);
    budget_ = std::move(budget);
    holder_.on_resume = [this]
    {
        wake_timer_.cancel();
    };
    holder_.on_cut = [this](cut_reason reason)
    {
        if (reason == cut_reason::connections)
            close();
        else
            handle_cut();
    };
    budget_->add(holder_, ec ? std::string() : peer.address().to_string());
}

void http_session::handle_cut()
{
    // Nothing of a request was executed before its body is complete, so that it
    // can be refused if the body is being read. The rest is closed.
    if (!current_ || !current_->read_handler)
        return close();
    stream_.cancel();
    wake_timer_.cancel();
}

void http_session::set_phase(holder_phase phase)
{
    if (budget_ != nullptr)
        budget_->set_phase(holder_, phase);
}

void http_session::set_held(held_kind kind, std::size_t bytes)
{
    if (budget_ != nullptr)
        budget_->set_held(holder_, kind, bytes);
}

void http_session::record_progress(std::size_t n)
{
    if (budget_ != nullptr)
        budget_->record_progress(holder_, n);
}

void http_session::account_for_head()
{
    // The buffer of an idle connection does not count, so that connections
    // alone don't use up the budget.
    auto bytes = buffer_.capacity();
    if (bytes <= monitor_bytes)
        bytes = 0;
    if (current_)
        bytes += head_copies * current_->head_bytes;
    set_held(held_kind::head, bytes);
}

void http_session::account_for_body(std::size_t piece_bytes)
{
    const auto kept =
        current_->keeps_body ? body_copies * current_->body_bytes : 0;
    set_held(held_kind::body, kept + piece_bytes);
}

void http_session::set_held_bytes(request_state& state, std::size_t bytes)
{
    if (!state.closed)
        set_held(held_kind::upload, bytes);
}

asio::awaitable<bool> http_session::wait_for_budget(std::size_t n)
{
    while (budget_ != nullptr && !broken_ && !holder_.is_cut() &&
           !budget_->may_read(holder_, n))
    {
        set_phase(holder_phase::held);
        wake_timer_.expires_at(std::chrono::steady_clock::time_point::max());
        co_await wait_for_wake();
    }
    co_return !broken_ && !holder_.is_cut();
}

asio::any_io_executor http_session::executor()
{
    return stream_.get_executor();
}

void http_session::close_if_idle()
{
    if (!current_ && !parser_ && buffer_.size() == 0)
        close();
}

void http_session::close()
{
    broken_ = true;
    stream_.close();
    wake_timer_.cancel();
}

asio::awaitable<void> http_session::run()
{
    const auto self = shared_from_this();
    error_code ignored;
    stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    stream_.socket().set_option(
        asio::socket_base::send_buffer_size(send_buffer_bytes), ignored);

    for (;;)
    {
        // Awaited outside of conditions: g++ 12 generated wrong code for
        // co_await inside a condition.
        const bool waiting = co_await wait_for_request();
        if (!waiting)
            break;
        const bool has_head = co_await read_head();
        if (!has_head)
            break;
        co_await serve();
        const bool unread = !broken_ && !current_->body_complete;
        finish_request();
        if (unread)
            co_await discard_unread_body();
        if (broken_ || !keep_alive_ || unread || holder_.is_cut())
            break;
        parser_.reset();

        // A pending monitor read writes to the buffer's memory.
        if (!monitor_read_pending_)
            buffer_.shrink_to_fit();
        set_phase(holder_phase::head);
        account_for_head();
    }
    stream_.close();
    if (budget_ != nullptr)
        budget_->remove(holder_);
    on_closed_(this);
}

asio::awaitable<void> http_session::wait_for_wake()
{
    error_code ignored;
    co_await wake_timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<bool> http_session::wait_for_request()
{
    // The first request of a connection has to arrive within the read timeout,
    // later ones within the idle timeout.
    const auto limit =
        first_request_ ? settings_.read_timeout : settings_.idle_timeout;
    const auto deadline = std::chrono::steady_clock::now() + limit;
    first_request_ = false;
    start_monitor();
    while (monitor_read_pending_ && !broken_)
    {
        wake_timer_.expires_at(deadline);
        co_await wait_for_wake();
        if (std::chrono::steady_clock::now() >= deadline)
            co_return false;
    }
    co_return !broken_;
}

void http_session::start_monitor()
{
    // Not started while the buffer holds a pipelined request, which could not
    // be parsed while a read is pending. In that case the next write detects a
    // closed connection.
    if (monitor_read_pending_ || broken_ || buffer_.size() != 0)
        return;
    monitor_read_pending_ = true;
    stream_.expires_never();
    stream_.async_read_some(
        buffer_.prepare(monitor_bytes),
        [self = shared_from_this()](error_code ec, std::size_t n)
        {
            self->monitor_read_pending_ = false;
            self->buffer_.commit(n);
            self->record_progress(n);
            self->broken_ = self->broken_ || ec.failed();
            self->wake_timer_.cancel();
        });
}

bool http_session::has_unambiguous_framing() const
{
    // Prevents request smuggling: all recipients must agree on the end of the
    // message and on its host.
    const auto& message = parser_->get();
    const auto coding = message[bhttp::field::transfer_encoding];
    return (coding.empty() || beast::iequals(coding, "chunked")) &&
           message.count(bhttp::field::transfer_encoding) <= 1 &&
           message.count(bhttp::field::host) <= 1;
}

asio::awaitable<error_code> http_session::receive_head()
{
    const auto deadline =
        std::chrono::steady_clock::now() + settings_.read_timeout;
    error_code ec;
    for (;;)
    {
        if (buffer_.size() != 0)
            buffer_.consume(parser_->put(buffer_.data(), ec));
        if (ec && ec != bhttp::error::need_more)
            co_return ec;
        if (parser_->is_header_done())
            co_return error_code();
        const auto room = buffer_.max_size() - buffer_.size();
        if (room == 0)
            co_return bhttp::error::buffer_overflow;
        const bool may_read = co_await wait_for_budget(monitor_bytes);
        if (!may_read)
            co_return asio::error::operation_aborted;
        set_phase(holder_phase::head);
        stream_.expires_at(deadline);
        const auto n = co_await stream_.async_read_some(
            buffer_.prepare(std::min(room, monitor_bytes)),
            asio::redirect_error(asio::use_awaitable, ec));
        buffer_.commit(n);
        record_progress(n);
        account_for_head();
        if (ec)
            co_return ec;
    }
}

asio::awaitable<bool> http_session::read_head()
{
    parser_.emplace();
    parser_->header_limit(
        static_cast<std::uint32_t>(settings_.max_header_bytes));
    parser_->body_limit(boost::none);
    auto ec = co_await receive_head();
    if (!ec && !has_unambiguous_framing())
        ec = bhttp::error::bad_transfer_encoding;
    if (!ec)
    {
        handle_head();
        co_return true;
    }

    // Malformed input gets an error response; a lost connection does not.
    const bool too_large =
        ec == bhttp::error::header_limit || ec == bhttp::error::buffer_overflow;
    const bool connection_lost =
        ec.category() != make_error_code(bhttp::error::bad_value).category();
    if (!connection_lost && ec != bhttp::error::end_of_stream &&
        ec != bhttp::error::partial_message)
        co_await refuse(too_large ? result_code::headers_too_large
                                  : result_code::invalid_request);
    co_return false;
}

void http_session::handle_head()
{
    const auto& message = parser_->get();
    current_ = std::make_shared<request_state>();
    auto& head = current_->head;
    head.method = message.method_string();
    head.target = message.target();
    current_->head_bytes = head.target.size();
    for (const auto& it : message)
    {
        head.headers.add(it.name_string(), it.value());
        current_->head_bytes += it.name_string().size() + it.value().size();
    }
    head.request_id = common::random_id();
    head.content_length = parser_->content_length().value_or(0);
    current_->body_complete = parser_->is_done();
    expects_continue_ =
        beast::iequals(message[bhttp::field::expect], "100-continue");
    keep_alive_ = message.keep_alive();
    chunked_ = false;
    account_for_head();
    set_phase(current_->body_complete ? holder_phase::running
                                      : holder_phase::held);
}

bool http_session::peer_uses_http_1_1() const
{
    return parser_ && parser_->get().version() >= 11;
}

asio::awaitable<void> http_session::serve()
{
    const auto state = current_;
    ++server_->requests_in_progress;
    handler_(http_exchange_ptr(new http_exchange(shared_from_this(), state)));
    while (!broken_ && !(state->answered && state->steps.empty()))
    {
        if (state->read_handler)
            co_await read_piece();
        else if (!state->steps.empty())
            co_await write_steps();
        else
        {
            if (state->body_complete)
                start_monitor();
            wake_timer_.expires_at(
                std::chrono::steady_clock::time_point::max());
            co_await wait_for_wake();
        }
    }
}

void http_session::read_body(request_state& state,
                             http_exchange::body_handler handler)
{
    if (state.closed || state.answered)
    {
        state.run(
            [handler = std::move(handler)] {
                handler(make_error_code(result_code::connection_lost), {},
                        false);
            });
        return;
    }
    state.read_handler = std::move(handler);
    wake_timer_.cancel();
}

void http_session::complete_read(std::error_code ec, std::string chunk,
                                 bool end)
{
    auto handler = std::exchange(current_->read_handler, nullptr);
    current_->run([handler = std::move(handler), ec, chunk = std::move(chunk),
                   end]() mutable { handler(ec, std::move(chunk), end); });
}

std::size_t http_session::next_piece_bytes() const
{
    const auto length = current_->head.content_length;
    if (length == 0)
        return unsized_body_piece_bytes;
    const auto most = std::clamp<std::uint64_t>(
        current_->body_bytes, min_piece_bytes, max_piece_bytes);
    return std::min<std::uint64_t>(most, length - current_->body_bytes);
}

asio::awaitable<bool> http_session::send_continue()
{
    if (!std::exchange(expects_continue_, false) || buffer_.size() != 0)
        co_return true;
    co_return co_await write_all("HTTP/1.1 100 Continue\r\n\r\n");
}

asio::awaitable<void> http_session::read_piece()
{
    const auto state = current_;
    if (state->body_complete)
        co_return complete_read({}, {}, true);
    if (state->head.content_length > state->max_body_bytes)
        co_return complete_read(make_error_code(result_code::body_too_large),
                                {}, false);
    const auto piece_bytes = next_piece_bytes();
    const bool admitted =
        budget_ == nullptr || state->body_bytes != 0 ||
        budget_->admits_body(holder_, state->head.content_length);
    bool may_read = false;
    if (admitted)
        may_read = co_await wait_for_budget(piece_bytes);
    if (!may_read)
        co_return complete_read(make_error_code(result_code::overloaded), {},
                                false);
    const bool continues = co_await send_continue();
    if (!continues)
        co_return;

    std::string piece(piece_bytes, '\0');
    set_phase(holder_phase::body);
    account_for_body(piece_bytes);
    auto& body = parser_->get().body();
    body.data = piece.data();
    body.size = piece.size();
    body.more = true;
    error_code ec;
    const auto started = std::chrono::steady_clock::now();
    const auto remaining =
        remaining_read_time(state->reading_time, state->body_bytes);
    while (!parser_->is_done() && body.size == piece.size() && !ec)
    {
        stream_.expires_at(
            std::min(started + remaining, std::chrono::steady_clock::now() +
                                              settings_.read_timeout));
        co_await bhttp::async_read_some(
            stream_, buffer_, *parser_,
            asio::redirect_error(asio::use_awaitable, ec));
    }
    parse_received(ec);
    state->reading_time += std::chrono::steady_clock::now() - started;
    piece.resize(piece.size() - body.size);
    state->body_bytes += piece.size();
    state->body_complete = parser_->is_done();
    record_progress(piece.size());
    account_for_body(0);
    account_for_head();
    set_phase(state->body_complete ? holder_phase::running
                                   : holder_phase::held);
    if (holder_.is_cut() && !state->body_complete)
        co_return complete_read(make_error_code(result_code::overloaded), {},
                                false);

    if (state->body_bytes > state->max_body_bytes)
        co_return complete_read(make_error_code(result_code::body_too_large),
                                {}, false);
    if (!ec || ec == bhttp::error::need_buffer)
        co_return complete_read({}, std::move(piece), state->body_complete);

    // A malformed chunk header can still get an error response.
    if (ec.category() == make_error_code(bhttp::error::bad_chunk).category() &&
        ec != bhttp::error::partial_message)
        co_return complete_read(make_error_code(result_code::invalid_request),
                                {}, false);
    broken_ = true;
    complete_read(make_error_code(ec == beast::error::timeout
                                      ? result_code::deadline_exceeded
                                      : result_code::connection_lost),
                  {}, false);
}

void http_session::parse_received(error_code& ec)
{
    auto& body = parser_->get().body();
    while (!ec && !parser_->is_done() && body.size != 0 && buffer_.size() != 0)
    {
        const auto n = parser_->put(buffer_.data(), ec);
        buffer_.consume(n);
        if (n == 0 && !ec)
            break;
    }
    if (ec == bhttp::error::need_more)
        ec = {};
}

void http_session::add_step(request_state& state, answer_step step)
{
    if (state.closed || state.answered)
    {
        if (step.handler)
            state.run(
                [handler = std::move(step.handler)]
                { handler(make_error_code(result_code::connection_lost)); });
        return;
    }
    state.answered =
        step.type != step_kind::start && step.type != step_kind::piece;
    // The recipient no longer uses the body once it has answered.
    if (state.answered)
        set_held(held_kind::body, 0);
    queued_answer_bytes_ += step.data.size();
    set_held(held_kind::answer, queued_answer_bytes_);
    state.steps.push_back(std::move(step));
    wake_timer_.cancel();
}

void http_session::fail_unanswered(request_state& state)
{
    const bool started = state.steps.size() > 0 || chunked_;
    if (started)
        return add_step(state, {step_kind::abort, {}, {}, {}});
    auto answer = error_answer(rejection(result_code::internal_error),
                               state.head.request_id);
    add_step(
        state,
        {step_kind::whole, std::move(answer.head), std::move(answer.body), {}});
}

std::string http_session::format_head(const answer_head& head,
                                      std::optional<std::size_t> length)
{
    if (head.close || server_->draining || !current_->body_complete)
        keep_alive_ = false;
    chunked_ = !length;
    if (chunked_ && !peer_uses_http_1_1())
        keep_alive_ = false;

    std::string out = "HTTP/1.1 " + std::to_string(head.status) + ' ';
    out += bhttp::obsolete_reason(static_cast<bhttp::status>(head.status));
    out += "\r\n";
    if (!head.content_type.empty())
        out += "Content-Type: " + head.content_type + "\r\n";
    head.headers.append_to(out);
    if (length && !has_no_body(head.status))
        out += "Content-Length: " + std::to_string(*length) + "\r\n";
    else if (chunked_ && peer_uses_http_1_1())
        out += "Transfer-Encoding: chunked\r\n";
    if (settings_.adds_request_id)
        out += "X-Request-Id: " + current_->head.request_id + "\r\n";
    if (head.retry_after.count() != 0)
        out += "Retry-After: " + seconds_text(head.retry_after) + "\r\n";
    out += keep_alive_ ? "Connection: keep-alive\r\n\r\n"
                       : "Connection: close\r\n\r\n";
    return out;
}

void http_session::append_step(std::string& out, const answer_step& step)
{
    const bool without_body = current_->head.method == "HEAD";
    switch (step.type)
    {
    case step_kind::whole:
        out += format_head(step.head, step.data.size());
        if (!without_body && !has_no_body(step.head.status))
            out += step.data;
        break;
    case step_kind::start:
        out += format_head(step.head, std::nullopt);
        break;
    case step_kind::piece:
        if (step.data.empty() || without_body)
            break;
        if (peer_uses_http_1_1())
            out += beast::buffers_to_string(
                bhttp::make_chunk(asio::buffer(step.data)));
        else
            out += step.data;
        break;
    case step_kind::finish:
        if (peer_uses_http_1_1() && !without_body)
            out += beast::buffers_to_string(bhttp::make_chunk_last());
        break;
    case step_kind::abort:
        break;
    }
}

asio::awaitable<void> http_session::write_steps()
{
    const auto state = current_;

    // All pending steps are sent with one write.
    std::string out;
    std::vector<http_exchange::written_handler> handlers;
    bool aborted = false;
    while (!state->steps.empty())
    {
        auto step = std::move(state->steps.front());
        state->steps.pop_front();
        append_step(out, step);
        if (step.handler)
            handlers.push_back(std::move(step.handler));
        aborted = aborted || step.type == step_kind::abort;
    }
    queued_answer_bytes_ = out.size();
    set_phase(holder_phase::answer);
    set_held(held_kind::answer, queued_answer_bytes_);
    const bool written = co_await write_all(out);
    queued_answer_bytes_ -= out.size();
    set_held(held_kind::answer, queued_answer_bytes_);
    set_phase(state->body_complete ? holder_phase::running
                                   : holder_phase::held);
    const auto ec = written ? std::error_code()
                            : make_error_code(result_code::connection_lost);
    for (auto& it : handlers)
        state->run([handler = std::move(it), ec] { handler(ec); });
    if (!aborted)
        co_return;

    // HTTP/1.0 responses without a length end when the connection closes: only
    // a reset tells the caller that the response is incomplete.
    error_code ignored;
    if (!peer_uses_http_1_1())
        stream_.socket().set_option(asio::socket_base::linger(true, 0),
                                    ignored);
    keep_alive_ = false;
}

asio::awaitable<bool> http_session::write_all(std::string_view data)
{
    while (!data.empty() && !broken_)
    {
        stream_.expires_after(settings_.write_timeout);
        const auto [ec, n] = co_await stream_.async_write_some(
            asio::buffer(data.data(), data.size()), as_result);
        data.remove_prefix(n);
        record_progress(n);
        broken_ = broken_ || ec.failed();
    }
    co_return !broken_;
}

asio::awaitable<void> http_session::discard_unread_body()
{
    error_code ignored;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    buffer_.clear();
    std::string discarded(discard_bytes, '\0');
    std::size_t total = 0;
    stream_.expires_after(max_discard_time);
    while (total < max_discarded_bytes)
    {
        const auto [ec, n] = co_await stream_.async_read_some(
            asio::buffer(discarded), as_result);
        total += n;
        if (ec)
            break;
    }
}

asio::awaitable<void> http_session::refuse(result_code code)
{
    current_ = std::make_shared<request_state>();
    current_->head.request_id = common::random_id();
    const auto answer =
        error_answer(rejection(code), current_->head.request_id);
    const auto out = format_head(answer.head, answer.body.size()) + answer.body;
    const bool written = co_await write_all(out);
    if (written)
        co_await discard_unread_body();
    current_.reset();
}

void http_session::finish_request()
{
    const auto state = std::exchange(current_, nullptr);
    --server_->requests_in_progress;
    state->closed = true;
    queued_answer_bytes_ = 0;
    set_held(held_kind::body, 0);
    set_held(held_kind::upload, 0);
    set_held(held_kind::answer, 0);
    const auto lost = make_error_code(result_code::connection_lost);
    const bool complete = state->answered && state->steps.empty() && !broken_;
    if (auto handler = std::exchange(state->read_handler, nullptr))
        state->run([handler = std::move(handler), lost]
                   { handler(lost, {}, false); });
    for (auto& it : state->steps)
    {
        if (it.handler)
            state->run([handler = std::move(it.handler), lost]
                       { handler(lost); });
    }
    state->steps.clear();
    auto hook = std::exchange(state->abandoned_hook, nullptr);
    if (!complete && hook)
        state->run(std::move(hook));
}

} // namespace tanagertrack::http
