#ifndef TANAGERTRACK_BATCH_ITEM_REQUEST_HPP
#define TANAGERTRACK_BATCH_ITEM_REQUEST_HPP

#include "batch/item_run.hpp"
#include "targets/protocol.hpp"

#include <string>

namespace tanagertrack::batch
{

/// The order of an attempt at an item on a target, from the event on that the
/// item has reached. `host` is that of the job.
targets::attempt_request
make_item_request(const targets::target_protocol& protocol,
                  const item_run& item, const std::string& host,
                  const std::string& target);

} // namespace tanagertrack::batch

#endif
