#include "entry/forward_exchange.hpp"

#include "common/duty_thread.hpp"
#include "common/result_code.hpp"
#include "proto/peer.pb.h"

#include <deque>
#include <memory>
#include <utility>

namespace tanagertrack::entry
{

using common::result_code;

namespace
{

/// Bytes of a body that are kept until they are read; above, the peer's
/// window is not opened.
constexpr std::size_t max_kept_bytes = 256 * 1024;

/// The stream's side of a forwarded request. On the peer thread.
class forward_stream : public std::enable_shared_from_this<forward_stream>
{
public:
    forward_stream(transport::message_stream_ptr stream,
                   common::duty_thread& handler_thread)
        : stream_(std::move(stream)), handler_thread_(handler_thread)
    {
    }

    /// `on_head` is called once, within a hook of the stream.
    void start(std::function<void(const proto::ForwardHead&)> on_head)
    {
        on_head_ = std::move(on_head);
        transport::stream_hooks hooks;
        hooks.on_message = [self = shared_from_this()](std::string_view message)
        {
            self->take_message(message);
        };
        hooks.on_writable = [self = shared_from_this()]
        {
            self->call_written({});
        };
        hooks.on_closed = [self = shared_from_this()](std::error_code)
        {
            self->closed();
        };
        stream_->set_hooks(std::move(hooks));
    }

    void read_body(exchange::body_handler handler)
    {
        body_handler_ = std::move(handler);
        deliver();
    }

    void send(const proto::ForwardUp& message,
              exchange::written_handler handler)
    {
        written_handler_ = std::move(handler);
        if (!stream_)
            return call_written(result_code::connection_lost);
        if (stream_->send(message))
            call_written({});
    }

    void finish(const proto::ForwardUp& last)
    {
        if (!stream_)
            return;
        stream_->send(last);
        stream_->finish();
        answered_ = true;
    }

    void abort()
    {
        if (stream_ && !answered_)
            std::exchange(stream_, nullptr)->reset();
        answered_ = true;
        drop_handlers();
    }

    void set_abandoned(std::function<void()> hook)
    {
        abandoned_ = std::move(hook);
    }

private:
    struct piece
    {
        std::string data;
        bool end = false;
    };

    void take_message(std::string_view text)
    {
        proto::ForwardDown message;
        if (!message.ParseFromArray(text.data(), static_cast<int>(text.size())))
            return abort();
        if (on_head_)
        {
            if (!message.has_head())
                return abort();
            std::exchange(on_head_, nullptr)(message.head());
            if (message.body().empty() && !message.end())
                return;
        }
        kept_bytes_ += message.body().size();
        pieces_.push_back({std::move(*message.mutable_body()), message.end()});
        if (stream_ && kept_bytes_ > max_kept_bytes)
            stream_->pause_reading(true);
        deliver();
    }

    void deliver()
    {
        if (!body_handler_)
            return;
        if (pieces_.empty())
        {
            if (!stream_)
                call_body(result_code::connection_lost, {}, true);
            return;
        }
        auto next = std::move(pieces_.front());
        pieces_.pop_front();
        kept_bytes_ -= next.data.size();
        if (stream_ && kept_bytes_ <= max_kept_bytes)
            stream_->pause_reading(false);
        call_body({}, std::move(next.data), next.end);
    }

    void call_body(std::error_code ec, std::string data, bool end)
    {
        handler_thread_.post_completion(
            [handler = std::exchange(body_handler_, nullptr), ec,
             data = std::move(data), end] { handler(ec, data, end); });
    }

    void call_written(std::error_code ec)
    {
        if (!written_handler_)
            return;
        handler_thread_.post_completion(
            [handler = std::exchange(written_handler_, nullptr), ec]
            { handler(ec); });
    }

    void closed()
    {
        stream_.reset();
        on_head_ = nullptr;
        call_written(result_code::connection_lost);
        deliver();
        if (!answered_ && abandoned_)
            handler_thread_.post_completion(std::move(abandoned_));
        abandoned_ = nullptr;
    }

    void drop_handlers()
    {
        body_handler_ = nullptr;
        written_handler_ = nullptr;
        abandoned_ = nullptr;
    }

    transport::message_stream_ptr stream_;
    common::duty_thread& handler_thread_;
    std::function<void(const proto::ForwardHead&)> on_head_;
    std::deque<piece> pieces_;
    std::size_t kept_bytes_ = 0;
    exchange::body_handler body_handler_;
    exchange::written_handler written_handler_;
    std::function<void()> abandoned_;
    bool answered_ = false;
};

/// The user's side of a forwarded request.
class forward_exchange final : public exchange
{
public:
    forward_exchange(std::shared_ptr<forward_stream> stream,
                     common::duty_thread& peer_thread,
                     const proto::ForwardHead& head)
        : stream_(std::move(stream)),
          peer_thread_(peer_thread), head_{head.method(),
                                           head.target(),
                                           head.team(),
                                           head.idempotency_key(),
                                           head.content_type(),
                                           head.request_id(),
                                           head.content_length()}
    {
    }

    ~forward_exchange() override
    {
        peer_thread_.post_completion([it = std::move(stream_)]
                                     { it->abort(); });
    }

    const exchange_head& head() const override
    {
        return head_;
    }

    void read_body(body_handler handler) override
    {
        peer_thread_.post_completion(
            [it = stream_, handler = std::move(handler)]
            { it->read_body(handler); });
    }

    void respond(exchange_answer answer, std::string body) override
    {
        auto message = make_head(answer);
        message.set_body(std::move(body));
        message.set_end(true);
        peer_thread_.post_completion([it = stream_, message]
                                     { it->finish(message); });
    }

    void start_answer(exchange_answer answer) override
    {
        peer_thread_.post_completion([it = stream_, message = make_head(answer)]
                                     { it->send(message, nullptr); });
    }

    void write(std::string chunk, written_handler handler) override
    {
        proto::ForwardUp message;
        message.set_body(std::move(chunk));
        peer_thread_.post_completion(
            [it = stream_, message, handler = std::move(handler)]
            { it->send(message, handler); });
    }

    void finish() override
    {
        proto::ForwardUp message;
        message.set_end(true);
        peer_thread_.post_completion([it = stream_, message]
                                     { it->finish(message); });
    }

    void abort() override
    {
        peer_thread_.post_completion([it = stream_] { it->abort(); });
    }

    void on_abandoned(std::function<void()> hook) override
    {
        peer_thread_.post_completion([it = stream_, hook = std::move(hook)]
                                     { it->set_abandoned(hook); });
    }

private:
    static proto::ForwardUp make_head(const exchange_answer& answer)
    {
        proto::ForwardUp message;
        message.set_status(answer.status);
        message.set_content_type(answer.content_type);
        message.set_retry_after_s(answer.retry_after_s);
        return message;
    }

    std::shared_ptr<forward_stream> stream_;
    common::duty_thread& peer_thread_;
    exchange_head head_;
};

} // namespace

void accept_forward(transport::message_stream_ptr stream,
                    common::duty_thread& peer_thread,
                    common::duty_thread& handler_thread,
                    std::function<void(const exchange_ptr&)> serve)
{
    auto it =
        std::make_shared<forward_stream>(std::move(stream), handler_thread);
    it->start(
        [weak = std::weak_ptr(it), &peer_thread, &handler_thread,
         serve = std::move(serve)](const proto::ForwardHead& head)
        {
            exchange_ptr request(
                new forward_exchange(weak.lock(), peer_thread, head));
            handler_thread.post_completion([serve, request]
                                           { serve(request); });
        });
}

} // namespace tanagertrack::entry
