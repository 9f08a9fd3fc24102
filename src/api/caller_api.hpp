#ifndef TANAGERTRACK_API_CALLER_API_HPP
#define TANAGERTRACK_API_CALLER_API_HPP

#include "api/batch_api.hpp"
#include "api/fleet_index.hpp"
#include "api/model_request.hpp"
#include "api/service_calls.hpp"
#include "entry/entry_core.hpp"
#include "entry/request_observer.hpp"
#include "http/http_exchange.hpp"
#include "routing/team_limits.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace tanagertrack::api
{

/// Handles the requests of callers: authenticates the team, applies its rate
/// limit, validates the input, and passes the request to the handler of batch
/// jobs, models or services. Not thread-safe: all calls are made on the thread
/// of the core's io_context.
class caller_api
{
public:
    /// `core` must outlive the object. `is_ready` answers readiness requests.
    caller_api(entry::entry_core& core, std::function<bool()> is_ready);

    /// Handles a request that arrived on the callers' listener.
    void handle(const http::http_exchange_ptr& exchange);

    /// Replaces the configuration that requests are checked against. Requests
    /// in progress keep the one they started with.
    void set_fleet(std::shared_ptr<const proto::FleetConfig> fleet);

    /// Begins a planned stop: new requests that need a team key are refused
    /// with `shutting_down`.
    void drain();

    /// Number of requests in progress.
    std::size_t in_progress() const
    {
        return in_progress_;
    }

private:
    /// Answers /healthz, /readyz and /metrics, which need no team key. Returns
    /// false for any other path.
    bool handle_unauthenticated_path(const http::http_exchange_ptr& exchange);

    /// Authenticates the team and applies its rate limit. Refuses the request
    /// and returns nullptr if the key is unknown or the rate is exceeded.
    const proto::TeamSpec* admit(const http::http_exchange_ptr& exchange);
    void list_models(const caller_request& request) const;
    void handle_model(const caller_request& request, model_endpoint endpoint);

    /// Sends a valid request to a target of its model.
    void run_model(const caller_request& request, std::string body,
                   const model_request& parsed);
    void handle_service(const caller_request& request);

    /// Sends a request to a target of its service. A call that may not be
    /// repeated is run at most once for its idempotency key.
    void run_service(const caller_request& request,
                     const service_target& target, std::string body,
                     bool repeatable);
    void refuse(const http::http_exchange_ptr& exchange,
                const http::rejection& rejection);

    /// Refuses with the result code of `ec`; an empty `message` stands for the
    /// default text of that code.
    void refuse_with_message(const http::http_exchange_ptr& exchange,
                             std::error_code ec, std::string message);

    entry::entry_core& core_;
    std::function<bool()> is_ready_;
    batch_api batch_;
    service_calls service_calls_;
    std::shared_ptr<const fleet_index> fleet_;
    routing::team_limits limits_;
    std::size_t in_progress_ = 0;
    bool draining_ = false;
};

} // namespace tanagertrack::api

#endif
