#include "entry/state_exchange.hpp"

#include "common/logging.hpp"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace tanagertrack::entry
{

using common::result_code;

namespace
{

constexpr std::string_view state_path = "/state";
constexpr unsigned status_ok = 200;

/// Delay before the first request. The store usually answers within it, so that
/// no request is needed.
constexpr auto first_delay = std::chrono::milliseconds(400);

/// Timeout of a request to one entry, including the connect.
constexpr auto answer_timeout = std::chrono::milliseconds(400);

/// Maximum size of a response that is accepted.
constexpr std::size_t max_state_bytes = 64UL * 1024 * 1024;

http::http_settings server_settings()
{
    http::http_settings settings;
    settings.name = "control";
    settings.max_connections = 64;
    return settings;
}

} // namespace

state_exchange::state_exchange(boost::asio::io_context& context,
                               const config::settings& settings,
                               const edge& entry_edge,
                               std::function<bool()> needs_state)
    : context_(context), settings_(settings), edge_(entry_edge),
      needs_state_(std::move(needs_state)),
      server_(context, server_settings(),
              [this](const http::http_exchange_ptr& it) { serve(it); }),
      timer_(context)
{
}

std::error_code state_exchange::start()
{
    const auto& local = settings_.peer.control;
    std::error_code ec;
    if (local.port != 0)
        ec = server_.listen(local);
    if (ec)
        common::log_warning(
            "control_listen_failed",
            {{"address", to_string(local)}, {"what", ec.message()}});
    if (!settings_.peer.entries.empty())
    {
        timer_.expires_after(first_delay);
        timer_.async_wait(
            [this](const auto& result)
            {
                if (!result)
                    request_state();
            });
    }
    return ec;
}

std::string state_exchange::authorization() const
{
    // Without a key there is no such field: a value that ends with a space
    // would lose it on the way.
    return settings_.cluster_key.empty() ? std::string()
                                         : "Bearer " + settings_.cluster_key;
}

std::string state_exchange::make_request(const common::endpoint& peer) const
{
    auto text = "GET " + std::string(state_path) +
                " HTTP/1.1\r\nHost: " + to_string(peer) + "\r\n";
    if (const auto value = authorization(); !value.empty())
        text += "Authorization: " + value + "\r\n";
    return text + "Connection: close\r\n\r\n";
}

void state_exchange::serve(const http::http_exchange_ptr& exchange) const
{
    const auto& head = exchange->head();
    if (head.path() != state_path)
        return exchange->refuse(http::rejection(result_code::unknown_path));
    if (head.authorization() != authorization())
        return exchange->refuse(http::rejection(result_code::forbidden));
    if (needs_state_())
        return exchange->refuse(http::rejection(result_code::no_configuration));
    http::answer_head answer;
    answer.content_type = "application/octet-stream";
    exchange->respond(std::move(answer), edge_.export_state());
}

void state_exchange::request_state()
{
    if (!needs_state_())
        return;
    const auto peer =
        settings_.peer.entries[next_peer_++ % settings_.peer.entries.size()];
    http::client_settings options;
    options.connect_timeout = answer_timeout;
    connection_ = new http::client_connection(context_, options);
    status_ = 0;
    body_.clear();

    timer_.expires_after(answer_timeout);
    timer_.async_wait(
        [this](const auto& ec)
        {
            if (ec)
                return;
            connection_->close();
            request_state();
        });
    connection_->connect(
        peer,
        [this, peer](std::error_code ec)
        {
            if (ec)
                return;
            http::response_hooks hooks;
            hooks.on_head = [this](const http::response_head& head)
            {
                status_ = head.status;
            };
            hooks.on_body = [this](std::string_view piece)
            {
                body_ += piece;
                if (body_.size() > max_state_bytes)
                    connection_->close();
            };
            hooks.on_end = [this](std::error_code result)
            {
                handle_response_end(result);
            };
            connection_->send(make_request(peer), std::move(hooks));
        });
}

void state_exchange::handle_response_end(std::error_code ec)
{
    if (ec || status_ != status_ok || !needs_state_())
        return;
    common::log_info("state_from_peer", {{"bytes", body_.size()}});
    edge_.import_state(body_);
}

} // namespace tanagertrack::entry
