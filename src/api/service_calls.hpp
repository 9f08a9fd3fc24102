#ifndef TANAGERTRACK_API_SERVICE_CALLS_HPP
#define TANAGERTRACK_API_SERVICE_CALLS_HPP

#include "api/caller_request.hpp"
#include "entry/entry_core.hpp"
#include "online/call.hpp"

#include <string>

namespace tanagertrack::api
{

/// Runs calls to plain services that may not be repeated: once for each key
/// of a team, whatever is lost or sent again. One thread.
class service_calls
{
public:
    /// `core` outlives the object.
    explicit service_calls(entry::entry_core& core);

    /// Runs the call, or answers with the outcome of an earlier request with
    /// the same key.
    void run(const caller_request& request, const std::string& service,
             online::call call);

private:
    struct running;

    void take_permit(const std::shared_ptr<running>& it,
                     const batch::call_decision& decision);
    void start(const std::shared_ptr<running>& it);
    void take_refusal(const std::shared_ptr<running>& it,
                      const http::rejection& why);
    void take_answer(const std::shared_ptr<running>& it, bool complete);

    entry::entry_core& core_;
};

} // namespace tanagertrack::api

#endif
