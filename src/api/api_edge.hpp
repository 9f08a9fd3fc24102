#ifndef TANAGERTRACK_API_API_EDGE_HPP
#define TANAGERTRACK_API_API_EDGE_HPP

#include "batch/environment.hpp"
#include "entry/edge.hpp"
#include "entry/entry_core.hpp"

#include <functional>

namespace tanagertrack::api
{

/// Makes the edge of the product's own interface: callers, operators, and
/// change tickets. `core` outlives the result.
entry::edge make_api_edge(entry::entry_core& core,
                          std::function<void()> targets_known,
                          std::function<bool()> is_ready);

/// Meaning of a target's failure for a batch item: what the caller got wrong
/// is wrong at every target.
batch::failure_kind classify_failure(unsigned status);

} // namespace tanagertrack::api

#endif
