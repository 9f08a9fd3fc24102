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

/// Lets a process that starts while the store is away learn configuration and
/// targets from another entry: serves what this one knows, and asks the others
/// in turn until the process has what it needs. One thread.
class state_exchange
{
public:
    /// `outside` gives and takes the state; `wanted` says whether this process
    /// still needs it. All arguments outlive the object.
    state_exchange(boost::asio::io_context& context,
                   const config::settings& settings, const edge& outside,
                   std::function<bool()> wanted);

    state_exchange(const state_exchange&) = delete;
    state_exchange& operator=(const state_exchange&) = delete;

    /// Starts to serve and to ask.
    std::error_code start();

private:
    void serve(const http::http_exchange_ptr& exchange) const;
    void ask();
    void take(std::error_code ec);
    std::string authorization() const;

    boost::asio::io_context& context_;
    const config::settings& settings_;
    const edge& outside_;
    std::function<bool()> wanted_;
    http::http_server server_;
    boost::asio::steady_timer timer_;

    // The question under way.
    http::client_connection_ptr connection_;
    unsigned status_ = 0;
    std::string answer_;
    std::size_t next_ = 0;
};

} // namespace tanagertrack::entry

#endif
