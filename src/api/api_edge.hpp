#ifndef TANAGERTRACK_API_API_EDGE_HPP
#define TANAGERTRACK_API_API_EDGE_HPP

#include "batch/environment.hpp"
#include "entry/edge.hpp"
#include "entry/entry_core.hpp"

#include <functional>

namespace tanagertrack::api
{

/// Creates the edge for the product's own HTTP interface: it serves callers and
/// operators and follows the log of change tickets. `on_targets_known` is
/// called each time a fleet configuration has been applied, `is_ready` to
/// answer readiness requests. Both are called on the thread of the core's
/// io_context. `core` must outlive the returned edge.
entry::edge make_api_edge(entry::entry_core& core,
                          std::function<void()> on_targets_known,
                          std::function<bool()> is_ready);

/// Classifies the HTTP status of a target's failed response to a batch item.
/// 408 and 429 are transient, and 5xx count towards the item's maximum number
/// of failures. Any other status is permanent, because every target would
/// reject the request.
batch::failure_kind classify_failure(unsigned status);

} // namespace tanagertrack::api

#endif
