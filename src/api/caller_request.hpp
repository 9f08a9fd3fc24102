#ifndef TANAGERTRACK_API_CALLER_REQUEST_HPP
#define TANAGERTRACK_API_CALLER_REQUEST_HPP

#include "api/fleet_index.hpp"
#include "entry/request_observer.hpp"
#include "http/http_exchange.hpp"

#include <memory>
#include <string>

namespace tanagertrack::api
{

/// An authenticated request of a caller.
struct caller_request
{
    http::http_exchange_ptr exchange;

    /// Name of the team whose key the request has.
    std::string team;

    /// Counts the request as in progress while it exists.
    entry::request_observer_ptr observer;

    /// Configuration that was current when the request arrived; the request is
    /// checked against it.
    std::shared_ptr<const fleet_index> fleet;
};

} // namespace tanagertrack::api

#endif
