#include "batch/attempt_decision.hpp"

#include "http/status.hpp"

#include <algorithm>

namespace tanagertrack::batch
{

namespace
{

using outcome = targets::attempt_end::outcome;

/// Delay before a retry, multiplied by the number of attempts since data was
/// last received, up to `max_retry_pauses`.
constexpr auto retry_pause = std::chrono::milliseconds(50);
constexpr std::uint32_t max_retry_pauses = 20;

constexpr auto no_pause = std::chrono::milliseconds(0);

/// Interrupted attempts since data was last received after which an item starts
/// from its beginning: its targets may be unable to resume from the data
/// received so far.
constexpr std::uint32_t max_broken_resumes = 6;

attempt_decision decide_after_answer(item_run& item, unsigned status,
                                     failure_kind kind,
                                     std::uint32_t max_failures)
{
    if (http::is_success(status))
        return {proto::ITEM_DONE};
    if (kind == failure_kind::counted)
        ++item.failures;
    const bool is_final = kind == failure_kind::permanent ||
                          item.data.not_repeatable() ||
                          item.failures >= max_failures;
    if (is_final)
        return {proto::ITEM_DEAD};
    return {std::nullopt, retry_pause};
}

/// Returns true if enough texts of the item were too large, from enough
/// different targets.
bool is_confirmed_large(const item_run& item, const large_text_context& context)
{
    const auto needed_targets =
        std::min<std::size_t>(context.max_failures, context.target_count);
    return item.large_texts >= context.max_failures &&
           item.large_text_targets.size() >= needed_targets;
}

} // namespace

attempt_decision decide_after_large_text(item_run& item,
                                         const large_text_context& context)
{
    if (item.data.not_repeatable())
        return {proto::ITEM_UNKNOWN, no_pause, true};
    ++item.large_texts;
    item.large_text_targets.emplace(context.target);
    if (context.has_expired.value_or(is_confirmed_large(item, context)))
        return {proto::ITEM_DEAD, no_pause, true};
    return {std::nullopt,
            retry_pause * std::min(item.large_texts, max_retry_pauses), true};
}

attempt_decision decide_after_attempt(item_run& item,
                                      const targets::attempt_end& end,
                                      failure_kind kind,
                                      std::uint32_t max_failures)
{
    // A failure that the target has not signed says nothing about the item.
    if (end.result == outcome::complete && end.is_signed)
        return decide_after_answer(item, end.status, kind, max_failures);
    const bool was_sent = end.result != outcome::not_run;
    if (was_sent && item.data.not_repeatable())
        return {proto::ITEM_UNKNOWN};
    ++(was_sent ? item.broken_attempts : item.refused_attempts);

    // An item with as many events as it can have got them from a target that
    // sent more, so that none of them can be trusted.
    const bool has_all_events =
        item.max_events() && item.events >= *item.max_events();
    const auto attempts_without_data =
        item.broken_attempts + item.refused_attempts;
    return {std::nullopt,
            retry_pause * std::min(attempts_without_data, max_retry_pauses),
            was_sent &&
                (item.broken_attempts == max_broken_resumes || has_all_events)};
}

} // namespace tanagertrack::batch
