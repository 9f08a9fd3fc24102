#ifndef TANAGERTRACK_ENTRY_FRONT_SERVICE_HPP
#define TANAGERTRACK_ENTRY_FRONT_SERVICE_HPP

#include "config/settings.hpp"
#include "entry/config_view.hpp"
#include "entry/exchange.hpp"
#include "entry/fleet_index.hpp"
#include "entry/model_request.hpp"
#include "entry/online_router.hpp"
#include "entry/request_observer.hpp"
#include "http/http_exchange.hpp"
#include "routing/team_limits.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace tanagertrack::entry
{

/// Calls that the batch service takes.
struct batch_calls
{
    std::function<void(exchange_ptr)> handle_batches;
    std::function<void(exchange_ptr, std::string)> handle_call_once;
};

/// What the front uses of the process.
struct front_environment
{
    const config::settings& settings;
    common::metrics_registry& metrics;
    config_view& config;
    online_router& router;

    /// Threads on which the handlers of online and of batch requests run.
    common::duty_thread& peer_thread;
    common::duty_thread& batch_thread;
    batch_calls batch;
};

/// Serves callers' requests: authentication, team limits, checks of the
/// input, and delegation. Lives on the `front` thread.
class front_service
{
public:
    explicit front_service(front_environment environment);

    front_service(const front_service&) = delete;
    front_service& operator=(const front_service&) = delete;

    /// Serves one request.
    void handle(const http::http_exchange_ptr& http);

    /// Refuses all further requests with shutting_down. Any thread.
    void stop()
    {
        stopping_ = true;
    }

    /// Has a configuration and is not stopping. Any thread.
    bool is_ready() const;

    /// Requests in progress. Any thread.
    std::size_t in_progress() const
    {
        return *in_progress_;
    }

private:
    /// A request between authentication and delegation.
    struct checked_request
    {
        http::http_exchange_ptr http;
        std::string team;
        std::unique_ptr<request_observer> observer;
    };
    using request_ptr = std::shared_ptr<checked_request>;

    bool handle_open_path(const http::http_exchange_ptr& http);
    void refuse(const http::http_exchange_ptr& http,
                const http::rejection& why);
    void refuse_input(const http::http_exchange_ptr& http, std::error_code ec,
                      std::string message);
    bool update_index();
    const proto::TeamSpec* admit(const http::http_exchange_ptr& http);
    request_ptr check(const http::http_exchange_ptr& http,
                      const proto::TeamSpec& team, std::string_view kind);
    void list_models(const request_ptr& request);
    void handle_model(request_ptr request, model_endpoint endpoint);
    void route_model(const request_ptr& request, model_endpoint endpoint,
                     std::string body);
    void handle_service(request_ptr request);
    void route_service(const request_ptr& request, service_target target,
                       std::string body);
    void route(const request_ptr& request, online_call call);
    void handle_batches(const request_ptr& request);
    exchange_ptr make_exchange(const request_ptr& request,
                               common::duty_thread& thread);

    front_environment env_;
    routing::team_limits limits_;
    std::shared_ptr<const fleet_index> index_;
    std::atomic<bool> stopping_{false};
    in_progress_count in_progress_ =
        std::make_shared<std::atomic<std::size_t>>(0);
};

} // namespace tanagertrack::entry

#endif
