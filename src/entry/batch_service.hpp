#ifndef TANAGERTRACK_ENTRY_BATCH_SERVICE_HPP
#define TANAGERTRACK_ENTRY_BATCH_SERVICE_HPP

#include "config/settings.hpp"
#include "entry/config_view.hpp"
#include "entry/exchange.hpp"
#include "entry/target_pool.hpp"
#include "transport/message_stream.hpp"

#include <functional>
#include <memory>

namespace tanagertrack::common
{
class duty_thread;
class metrics_registry;
} // namespace tanagertrack::common

namespace tanagertrack::entry
{

/// What the batch service uses of the process.
struct batch_environment
{
    const config::settings& settings;
    common::metrics_registry& metrics;
    config_view& config;

    /// Thread of the batch service: partition state, dispatch and the log
    /// client of the batch streams. Handlers of exchanges given to the
    /// service run on it.
    common::duty_thread& batch_thread;

    /// Thread of the log client.
    common::duty_thread& log_thread;

    /// Thread of `pool` and of all internal streams.
    common::duty_thread& peer_thread;
    target_pool& pool;
};

/// Jobs, and calls that may not be repeated: intake through the log, the
/// partitions that this entry holds, dispatch of items, results, cancel.
/// Requests for partitions that another entry holds are forwarded to it.
class batch_service
{
public:
    explicit batch_service(batch_environment environment);
    ~batch_service();

    batch_service(const batch_service&) = delete;
    batch_service& operator=(const batch_service&) = delete;

    /// Starts to follow the log and to claim partitions.
    void start();

    /// Serves POST /v1/batches, GET /v1/batches/{id}, its results and cancel.
    /// Any thread.
    void handle_batches(exchange_ptr request);

    /// Serves a service call that may not be repeated. The head has an
    /// idempotency key. `model` is the service's name. Any thread.
    void handle_call_once(exchange_ptr request, std::string model);

    /// Serves a `/forward` stream from another entry. On the peer thread.
    void handle_forward(transport::message_stream_ptr stream);

    /// Planned stop: takes no new work, records what is finished, releases
    /// the partitions, then calls `stopped` on the batch thread.
    void stop(std::function<void()> stopped);

private:
    struct impl;

    std::unique_ptr<impl> impl_;
};

} // namespace tanagertrack::entry

#endif
