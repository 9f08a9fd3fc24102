#ifndef TANAGERTRACK_BATCH_ITEM_REQUEST_HPP
#define TANAGERTRACK_BATCH_ITEM_REQUEST_HPP

#include "batch/item_run.hpp"
#include "targets/protocol.hpp"

#include <string>

namespace tanagertrack::batch
{

/// Makes the request of an attempt at an item on `target`. The attempt resumes
/// after the last event that the item has received. `host` is the host name of
/// the job.
targets::attempt_request
make_item_request(const targets::target_protocol& protocol,
                  const item_run& item, const std::string& host,
                  const std::string& target);

} // namespace tanagertrack::batch

#endif
