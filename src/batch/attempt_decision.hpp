#ifndef TANAGERTRACK_BATCH_ATTEMPT_DECISION_HPP
#define TANAGERTRACK_BATCH_ATTEMPT_DECISION_HPP

#include "batch/environment.hpp"
#include "batch/item_run.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace tanagertrack::batch
{

/// What happens to an item after an attempt.
struct attempt_decision
{
    /// Final state of the item; std::nullopt if it is retried.
    std::optional<proto::ItemState> end;

    /// Time before the retry.
    std::chrono::milliseconds pause{0};

    /// True if the retry starts from the beginning of the item.
    bool restarts = false;
};

/// Decides how an item continues after an attempt, and updates the counts of
/// attempts and failures in the item. `kind` classifies `end.status` and is
/// used only for a complete response whose status is not 2xx. After
/// `max_failures` counted failures the item fails.
attempt_decision decide_after_attempt(item_run& item,
                                      const targets::attempt_end& end,
                                      failure_kind kind,
                                      std::uint32_t max_failures);

} // namespace tanagertrack::batch

#endif
