#ifndef TANAGERTRACK_BATCH_ATTEMPT_DECISION_HPP
#define TANAGERTRACK_BATCH_ATTEMPT_DECISION_HPP

#include "batch/environment.hpp"
#include "batch/item_run.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace tanagertrack::batch
{

/// What happens to an item after an attempt.
struct attempt_decision
{
    /// Final state of the item; std::nullopt if it is retried.
    std::optional<proto::ItemState> end;

    /// Time before the retry.
    std::chrono::milliseconds pause{0};

    /// True if the received data is discarded, so that a retry starts from the
    /// beginning of the item.
    bool restarts = false;
};

/// What is known about the targets and the route of an item whose text was too
/// large.
struct large_text_context
{
    /// Target that sent the text, and the number of targets of the service.
    std::string_view target;
    std::size_t target_count = 0;

    /// Failures after which the item may fail for good.
    std::uint32_t max_failures = 0;

    /// Whether the time is over after which the route permits to give the item
    /// up; std::nullopt if the route states no such time.
    std::optional<bool> has_expired;
};

/// Decides how an item continues whose text exceeded the maximum. A target in
/// trouble may have sent too much, so that its word alone does not end the
/// item: it fails when its route permits it, or, if the route states no time
/// for that, after `max_failures` such texts from different targets.
attempt_decision decide_after_large_text(item_run& item,
                                         const large_text_context& context);

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
