#ifndef TANAGERTRACK_ENTRY_STATE_EXCHANGE_HPP
#define TANAGERTRACK_ENTRY_STATE_EXCHANGE_HPP

#include "config/settings.hpp"
#include "entry/edge.hpp"
#include "http/client_connection.hpp"
#include "http/http_server.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <system_error>

namespace tanagertrack::entry
{

/// Lets a process that starts while the store is unreachable obtain the
/// configuration and the targets from another entry. Serves the state of this
/// process over HTTP, and requests it from the other entries in turn until this
/// process no longer needs it.
///
/// Not thread-safe: all calls are made on the thread of the io_context.
class state_exchange
{
public:
    /// `entry_edge` exports and imports the state; `needs_state` returns true
    /// while this process needs it. All arguments must outlive the object.
    state_exchange(boost::asio::io_context& context,
                   const config::settings& settings, const edge& entry_edge,
                   std::function<bool()> needs_state);

    state_exchange(const state_exchange&) = delete;
    state_exchange& operator=(const state_exchange&) = delete;

    /// Starts to serve the state, and to request it after a delay. Returns an
    /// error if the control address can't be bound; requests are made anyway.
    std::error_code start();

private:
    void serve(const http::http_exchange_ptr& exchange) const;

    /// Requests the state from the next entry. Repeats this when the timeout
    /// expires, until this process no longer needs a state.
    void request_state();
    void handle_response_end(std::error_code ec);

    /// Returns the value of the field Authorization; empty without a key.
    std::string authorization() const;
    std::string make_request(const common::endpoint& peer) const;

    boost::asio::io_context& context_;
    const config::settings& settings_;
    const edge& edge_;
    std::function<bool()> needs_state_;
    http::http_server server_;
    boost::asio::steady_timer timer_;

    // Request in progress.
    http::client_connection_ptr connection_;
    unsigned status_ = 0;
    std::string body_;

    /// Incremented with each request; modulo the number of entries, it is the
    /// position of the entry to be asked next.
    std::size_t next_peer_ = 0;
};

} // namespace tanagertrack::entry

#endif
