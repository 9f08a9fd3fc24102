#ifndef TANAGERTRACK_API_CALLER_REQUEST_HPP
#define TANAGERTRACK_API_CALLER_REQUEST_HPP

#include "api/fleet_index.hpp"
#include "entry/request_observer.hpp"
#include "http/http_exchange.hpp"

#include <memory>
#include <string>

namespace tanagertrack::api
{

/// A caller's request after authentication.
struct caller_request
{
    http::http_exchange_ptr http;
    std::string team;
    entry::request_observer_ptr observer;

    /// Configuration against which the request is checked.
    std::shared_ptr<const fleet_index> fleet;
};

} // namespace tanagertrack::api

#endif
