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
/// called each time a fleet configuration was applied, `is_ready` on the
/// process's thread to answer readiness requests. `core` must outlive the
/// returned edge.
entry::edge make_api_edge(entry::entry_core& core,
                          std::function<void()> on_targets_known,
                          std::function<bool()> is_ready);

/// Classifies the HTTP status of a target's failed response to a batch item.
/// 408 and 429 are transient and 5xx are counted. Any other status is
/// permanent: an invalid request is rejected by every target.
batch::failure_kind classify_failure(unsigned status);

} // namespace tanagertrack::api

#endif
