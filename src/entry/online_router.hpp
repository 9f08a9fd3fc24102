#ifndef TANAGERTRACK_ENTRY_ONLINE_ROUTER_HPP
#define TANAGERTRACK_ENTRY_ONLINE_ROUTER_HPP

#include "common/clock.hpp"
#include "config/settings.hpp"
#include "entry/exchange.hpp"
#include "entry/target_pool.hpp"
#include "proto/peer.pb.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace tanagertrack::common
{
class duty_thread;
class metrics_registry;
} // namespace tanagertrack::common

namespace tanagertrack::entry
{

/// One online request, checked and with its whole body.
struct online_call
{
    /// Its handlers run on the `peer` thread.
    exchange_ptr request;

    /// Model or service name.
    std::string model;

    /// Class, method, path, body, team and whether the answer is streamed.
    proto::WorkRequest work;

    /// A streamed answer that was cut can go on at another target.
    bool resumable = false;
    common::time_point deadline;
};

/// Routes online requests to targets and their answers to callers. Lives on
/// the `peer` thread.
class online_router
{
public:
    online_router(const config::settings& settings,
                  common::metrics_registry& metrics, target_pool& pool,
                  common::duty_thread& peer_thread);
    ~online_router();

    online_router(const online_router&) = delete;
    online_router& operator=(const online_router&) = delete;

    /// Takes a request. Any thread. Refuses it when the ring is full.
    void handle(online_call call);

    /// Ends all requests without an answer. On the `peer` thread, or after it
    /// has stopped.
    void close();

private:
    struct impl;

    std::unique_ptr<impl> impl_;
};

} // namespace tanagertrack::entry

#endif
