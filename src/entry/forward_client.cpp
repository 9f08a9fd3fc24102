#include "entry/forward_client.hpp"

#include "common/duty_thread.hpp"
#include "common/result_code.hpp"
#include "entry/caller_exchange.hpp"
#include "http/error_answer.hpp"
#include "proto/peer.pb.h"
#include "transport/peer_options.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <utility>

namespace tanagertrack::entry
{

using common::execution;
using common::result_code;

namespace
{

/// Entries to which connections are kept, and requests that wait for one.
constexpr std::size_t max_links = 64;
constexpr std::size_t max_waiting = 256;

constexpr std::string_view forward_path = "/forward";

} // namespace

/// One forwarded request. On the peer thread; handlers of the exchange run
/// elsewhere and come back through the ring.
class forward_client::relay : public std::enable_shared_from_this<relay>
{
public:
    relay(exchange_ptr request, common::duty_thread& peer_thread)
        : request_(std::move(request)), peer_thread_(peer_thread)
    {
    }

    void start(transport::client_connection& connection)
    {
        transport::stream_hooks hooks;
        hooks.on_message = [self = shared_from_this()](std::string_view message)
        {
            self->take_message(message);
        };
        hooks.on_writable = [self = shared_from_this()]
        {
            self->writable();
        };
        hooks.on_closed = [self = shared_from_this()](std::error_code)
        {
            self->closed();
        };
        stream_ = connection.open(forward_path, std::move(hooks));
        if (!stream_)
            return refuse_unsent();
        request_->on_abandoned(
            [self = weak_from_this(), &peer = peer_thread_]
            {
                peer.post_completion(
                    [self]
                    {
                        if (const auto it = self.lock())
                            it->abandon();
                    });
            });
        send_head();
        read_on();
    }

    /// The holder can't be reached: nothing was sent.
    void refuse_unsent()
    {
        http::rejection why(result_code::no_partition_holder);
        why.retry_after = std::chrono::seconds(1);
        refuse(*request_, why);
        end();
    }

private:
    void send_head()
    {
        const auto& head = request_->head();
        proto::ForwardDown message;
        auto& it = *message.mutable_head();
        it.set_method(head.method);
        it.set_target(head.target);
        it.set_team(head.team);
        it.set_idempotency_key(head.idempotency_key);
        it.set_content_type(head.content_type);
        it.set_request_id(head.request_id);
        it.set_content_length(head.content_length);
        stream_->send(message);
    }

    void read_on()
    {
        request_->read_body(
            [self = shared_from_this()](std::error_code ec, std::string data,
                                        bool end)
            {
                self->peer_thread_.post_completion(
                    [self, ec, data = std::move(data), end]
                    { self->take_body(ec, data, end); });
            });
    }

    void take_body(std::error_code ec, const std::string& data, bool end)
    {
        if (!stream_)
            return;
        if (ec)
        {
            if (ec == result_code::body_too_large)
                refuse(*request_, http::rejection(result_code::body_too_large));
            else
                request_->abort();
            stream_->reset();
            return this->end();
        }
        proto::ForwardDown message;
        message.set_body(data);
        message.set_end(end);
        const bool room = stream_->send(message);
        if (end)
            stream_->finish();
        else if (room)
            read_on();
        else
            blocked_ = true;
    }

    void writable()
    {
        if (stream_ && std::exchange(blocked_, false))
            read_on();
    }

    void take_message(std::string_view text)
    {
        proto::ForwardUp message;
        if (!stream_)
            return;
        if (!message.ParseFromArray(text.data(), static_cast<int>(text.size())))
        {
            stream_->reset();
            return closed();
        }
        if (!std::exchange(started_, true))
        {
            exchange_answer head;
            head.status = message.status();
            head.content_type = message.content_type();
            head.retry_after_s = message.retry_after_s();
            if (message.end())
            {
                request_->respond(std::move(head), message.body());
                return end();
            }
            request_->start_answer(std::move(head));
        }
        if (!message.body().empty())
            write(message.body());
        if (!message.end())
            return;
        finished_ = true;
        if (writing_ == 0)
            finish();
    }

    void write(const std::string& data)
    {
        ++writing_;
        stream_->pause_reading(true);
        pieces_.push_back(data);
        if (writing_ == 1)
            write_next();
    }

    void write_next()
    {
        request_->write(std::move(pieces_.front()),
                        [self = shared_from_this()](std::error_code ec) {
                            self->peer_thread_.post_completion(
                                [self, ec] { self->written(ec); });
                        });
    }

    void written(std::error_code ec)
    {
        if (!stream_)
            return;
        if (ec)
            return abandon();
        --writing_;
        pieces_.erase(pieces_.begin());
        if (writing_ > 0)
            write_next();
        else if (finished_)
            finish();
        else
            stream_->pause_reading(false);
    }

    void finish()
    {
        request_->finish();
        end();
    }

    void abandon()
    {
        if (!stream_)
            return;
        stream_->reset();
        request_->abort();
        end();
    }

    /// The stream ended before the answer was complete.
    void closed()
    {
        if (!stream_ || finished_)
            return;
        if (started_)
        {
            request_->abort();
            return end();
        }
        http::rejection why(result_code::connection_lost);
        why.retry_after = std::chrono::seconds(1);
        if (request_->head().method == "GET")
            why.ran = execution::not_run;
        else
            why.message = "the connection to the partition's holder was lost; "
                          "the request may have taken effect, and sending it "
                          "again with the same Idempotency-Key is safe";
        refuse(*request_, why);
        end();
    }

    void end()
    {
        stream_.reset();
    }

    exchange_ptr request_;
    common::duty_thread& peer_thread_;
    transport::message_stream_ptr stream_;
    std::vector<std::string> pieces_;
    std::size_t writing_ = 0;
    bool blocked_ = false;
    bool started_ = false;
    bool finished_ = false;
};

forward_client::forward_client(common::duty_thread& peer_thread,
                               const config::settings& settings)
    : peer_thread_(peer_thread),
      options_(transport::make_peer_options(settings))
{
}

forward_client::~forward_client() = default;

void forward_client::forward(exchange_ptr request, common::endpoint holder)
{
    auto it = std::make_shared<relay>(std::move(request), peer_thread_);
    const bool posted = peer_thread_.post(
        [self = shared_from_this(), it, holder = std::move(holder)]
        { self->start_relay(it, holder); });
    if (!posted)
        it->refuse_unsent();
}

void forward_client::start_relay(std::shared_ptr<relay> it,
                                 const common::endpoint& holder)
{
    const auto found = links_.find(holder);
    if (found == links_.end() && links_.size() >= max_links)
        return it->refuse_unsent();
    auto& link = links_[holder];
    if (link.up)
        return it->start(*link.connection);
    if (link.waiting.size() >= max_waiting)
        return it->refuse_unsent();
    link.waiting.push_back(std::move(it));
    if (!link.connection)
        open_link(holder);
}

void forward_client::open_link(const common::endpoint& holder)
{
    auto& link = links_[holder];
    link.connection = std::make_unique<transport::client_connection>(
        peer_thread_.context(), options_);
    transport::connection_hooks hooks;
    hooks.on_up = [self = weak_from_this(), holder]
    {
        if (const auto it = self.lock())
            it->link_up(holder);
    };
    hooks.on_down = [self = weak_from_this(), holder](std::error_code)
    {
        if (const auto it = self.lock())
            it->link_down(holder);
    };
    link.connection->start(holder, std::move(hooks));
}

void forward_client::link_up(const common::endpoint& holder)
{
    auto& link = links_[holder];
    link.up = true;
    for (const auto& it : std::exchange(link.waiting, {}))
        it->start(*link.connection);
}

void forward_client::link_down(const common::endpoint& holder)
{
    // The connection calls this hook: it is destroyed afterwards.
    auto node = links_.extract(holder);
    if (node.empty())
        return;
    for (const auto& it : node.mapped().waiting)
        it->refuse_unsent();
    std::shared_ptr<transport::client_connection> connection(
        std::move(node.mapped().connection));
    boost::asio::post(peer_thread_.context(), [connection] {});
}

} // namespace tanagertrack::entry
