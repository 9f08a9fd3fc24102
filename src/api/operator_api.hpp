#ifndef TANAGERTRACK_API_OPERATOR_API_HPP
#define TANAGERTRACK_API_OPERATOR_API_HPP

#include "api/ticket_log.hpp"
#include "common/clock.hpp"
#include "entry/entry_core.hpp"
#include "http/http_exchange.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace tanagertrack::api
{

/// Serves operators: submits change tickets and shows their results, and shows
/// jobs, targets and the state of the process. Not thread-safe: all calls are
/// made on the thread of the core's io_context.
class operator_api
{
public:
    /// `core` and `tickets` must outlive the object. `is_ready` and
    /// `in_progress` supply the readiness and the number of callers' requests
    /// in progress that the status shows.
    operator_api(entry::entry_core& core, ticket_log& tickets,
                 std::function<bool()> is_ready,
                 std::function<std::size_t()> in_progress);

    /// Handles a request that arrived on the operators' listener.
    void handle(const http::http_exchange_ptr& exchange);

private:
    void refuse(const http::http_exchange_ptr& exchange,
                const http::rejection& rejection) const;

    /// Returns true if the request has the operators' key.
    bool has_operator_key(const http::http_exchange_ptr& exchange) const;
    void submit_ticket(const http::http_exchange_ptr& exchange);
    void answer_ticket(const http::http_exchange_ptr& exchange,
                       const ticket_outcome& outcome) const;
    void show_ticket(const http::http_exchange_ptr& exchange,
                     std::string_view number);
    void show_job(const http::http_exchange_ptr& exchange,
                  const std::string& job_id) const;
    void show_targets(const http::http_exchange_ptr& exchange) const;
    void show_status(const http::http_exchange_ptr& exchange) const;

    entry::entry_core& core_;
    ticket_log& ticket_log_;
    std::function<bool()> is_ready_;
    std::function<std::size_t()> in_progress_;
    common::time_point started_ = common::clock::now();
};

} // namespace tanagertrack::api

#endif
