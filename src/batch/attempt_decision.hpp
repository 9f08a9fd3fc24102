#ifndef TANAGERTRACK_BATCH_ATTEMPT_DECISION_HPP
#define TANAGERTRACK_BATCH_ATTEMPT_DECISION_HPP

#include "batch/environment.hpp"
#include "batch/item_run.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace tanagertrack::batch
{

/// What follows from the end of an attempt at an item.
struct attempt_decision
{
    /// How the item ends; nothing if it is tried again.
    std::optional<proto::ItemState> end;

    /// Pause before it is tried again.
    std::chrono::milliseconds pause{0};

    /// Whether it is tried from its beginning.
    bool restarts = false;
};

/// Judges the end of an attempt and counts it in the item. `meaning` is that of
/// the answer's status, for a whole answer that is no success; `max_failures`
/// is the number of failures that the item may have.
attempt_decision decide_after_attempt(item_run& item,
                                      const targets::attempt_end& end,
                                      failure_kind kind,
                                      std::uint32_t max_failures);

} // namespace tanagertrack::batch

#endif
