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

/// Serves callers of the product's own interface: authentication, team limits,
/// checks of the input, and delegation. One thread.
class caller_api
{
public:
    /// `core` outlives the object.
    caller_api(entry::entry_core& core, std::function<bool()> is_ready);

    /// Takes a request on the callers' listener.
    void handle(const http::http_exchange_ptr& http);

    /// Takes the configuration that requests are checked against.
    void set_fleet(std::shared_ptr<const proto::FleetConfig> fleet);

    /// A planned stop began: connections end with their next answer.
    void drain();

    /// Requests under way.
    std::size_t in_progress() const
    {
        return in_progress_;
    }

private:
    bool handle_open_path(const http::http_exchange_ptr& http);
    const proto::TeamSpec* admit(const http::http_exchange_ptr& http);
    void list_models(const caller_request& request) const;
    void handle_model(const caller_request& request, model_endpoint endpoint);
    void run_model(const caller_request& request, std::string body,
                   const model_request& parsed);
    void handle_service(const caller_request& request);
    void run_service(const caller_request& request,
                     const service_target& target, std::string body,
                     bool repeatable);
    void refuse(const http::http_exchange_ptr& http,
                const http::rejection& why);
    void refuse_input(const http::http_exchange_ptr& http, std::error_code ec,
                      std::string message);

    entry::entry_core& core_;
    std::function<bool()> is_ready_;
    batch_api batch_;
    service_calls calls_;
    std::shared_ptr<const fleet_index> index_;
    routing::team_limits limits_;
    std::size_t in_progress_ = 0;
    bool draining_ = false;
};

} // namespace tanagertrack::api

#endif
