#ifndef TANAGERTRACK_ENTRY_OPERATOR_SERVICE_HPP
#define TANAGERTRACK_ENTRY_OPERATOR_SERVICE_HPP

#include "common/clock.hpp"
#include "config/settings.hpp"
#include "entry/config_follower.hpp"
#include "entry/front_service.hpp"
#include "entry/target_pool.hpp"
#include "http/http_exchange.hpp"

namespace tanagertrack::entry
{

/// What the operators' listener uses of the process.
struct operator_environment
{
    const config::settings& settings;
    common::metrics_registry& metrics;
    config_view& config;
    config_follower& follower;
    const front_service& front;
    common::duty_thread& peer_thread;

    /// Used on the `peer` thread.
    const target_pool& pool;
};

/// Serves operators' requests: tickets, targets and status. Lives on the
/// `front` thread.
class operator_service
{
public:
    explicit operator_service(operator_environment environment);

    operator_service(const operator_service&) = delete;
    operator_service& operator=(const operator_service&) = delete;

    /// Serves one request.
    void handle(const http::http_exchange_ptr& http);

private:
    bool is_permitted(const http::http_exchange_ptr& http) const;
    void refuse(const http::http_exchange_ptr& http,
                const http::rejection& why) const;
    void submit_ticket(const http::http_exchange_ptr& http);
    void answer_ticket(const http::http_exchange_ptr& http,
                       const ticket_outcome& outcome) const;
    void show_ticket(const http::http_exchange_ptr& http,
                     std::string_view number);
    void show_targets(const http::http_exchange_ptr& http);
    void show_status(const http::http_exchange_ptr& http);

    operator_environment env_;
    common::time_point started_ = common::clock::now();
};

} // namespace tanagertrack::entry

#endif
