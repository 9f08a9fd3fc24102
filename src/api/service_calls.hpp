#ifndef TANAGERTRACK_API_SERVICE_CALLS_HPP
#define TANAGERTRACK_API_SERVICE_CALLS_HPP

#include "api/caller_request.hpp"
#include "entry/entry_core.hpp"
#include "online/call.hpp"

#include <string>

namespace tanagertrack::api
{

/// Runs calls to plain services that may not be repeated. For each idempotency
/// key that a team uses with a service, a call runs at most once, even if
/// messages are lost or the caller resends the request. Not thread-safe: all
/// calls are made on the thread of the core's io_context.
class service_calls
{
public:
    /// `core` must outlive the object.
    explicit service_calls(entry::entry_core& core);

    /// Runs the call and answers the request with its response. If an earlier
    /// request had the same key, answers with the outcome of that one, or with
    /// `idempotency_conflict` if its content was different.
    void run(const caller_request& request, const std::string& service,
             online::call call);

private:
    struct pending_call;

    void handle_decision(const std::shared_ptr<pending_call>& pending,
                         const batch::call_decision& decision);

    /// Sends the call to a target.
    void start(const std::shared_ptr<pending_call>& pending);

    /// Handles the failure of a call without a response. Its key may be used
    /// again only if the call certainly did not run.
    void handle_refusal(const std::shared_ptr<pending_call>& pending,
                        const http::rejection& rejection);

    /// Records the outcome of the call and answers the request. `complete` is
    /// false if the response was not received in full: the outcome is unknown.
    void handle_answer(const std::shared_ptr<pending_call>& pending,
                       bool complete);

    entry::entry_core& core_;
};

} // namespace tanagertrack::api

#endif
