#ifndef TANAGERTRACK_QUARANTINE_CRASH_EVIDENCE_HPP
#define TANAGERTRACK_QUARANTINE_CRASH_EVIDENCE_HPP

#include "quarantine/answered_parts.hpp"
#include "quarantine/crash_report.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_set>
#include <vector>

namespace tanagertrack::quarantine
{

/// Parts of a prompt in ascending order of their keys. A set applies to the
/// prompts that contain all of its parts.
using part_set = std::vector<routing::part_key>;

/// Returns true if a prompt contains all parts of a set.
bool contains_all(const routing::prompt& prompt, const part_set& parts);

/// Limits of the evidence, and how much of it is required.
struct evidence_settings
{
    /// Maximum number of reports; the oldest one is dropped for a new one.
    std::size_t max_reports = 256;

    /// Number of reports whose ids are remembered, so that their copies are
    /// ignored also after an answer has refuted them.
    std::size_t max_known_ids = 2048;

    /// Older reports are dropped.
    std::chrono::milliseconds lifetime{std::chrono::minutes(5)};

    /// Losses of one target within this time are one crash.
    std::chrono::milliseconds crash_duration{1000};

    /// Weight of a crash in which the target had begun to answer the request,
    /// and of another one, and the sum from which on the cause counts as found:
    /// with 2, 1 and 5 these are three or five crashes.
    unsigned begun_weight = 2;
    unsigned other_weight = 1;
    unsigned required_weight = 5;

    /// Number of different prompts with a part that requests share, from which
    /// on the part can be a cause.
    std::size_t required_prompts = 2;
};

/// A set of parts that explains crashes.
struct crash_cause
{
    /// The part against which there is enough evidence. It identifies the cause
    /// while `parts` changes with further evidence.
    routing::part_key part = 0;

    /// This part, and the other parts that all of the requests have in common,
    /// without those that targets have answered: one of these may be the cause
    /// instead.
    part_set parts;

    /// True if the set contains the own part of a prompt, so that it applies
    /// only to repeats of one request.
    bool exact = false;
};

/// Reports of crashes, and the search for the parts of prompts that explain
/// them. Has no clock of its own: the current time is passed in. Not
/// thread-safe.
class crash_evidence
{
public:
    /// `answered` must outlive the evidence.
    crash_evidence(evidence_settings settings, const answered_parts& answered);

    /// Adds a report. Returns false for one that is known or too old, and for
    /// one without parts.
    bool add(const crash_report& report, common::time_point now);

    /// Removes a part from all reports of earlier crashes, as a target has
    /// answered a prompt with it.
    void remove_part(const sound_part& part);

    /// Returns true if a report names the part.
    bool contains(routing::part_key part) const;

    /// Returns the causes for which there is enough evidence and that `known`
    /// causes do not cover. Parts that targets have answered come last, and
    /// parts further back in the prompts, which are more specific, come first.
    ///
    /// Of all requests at a target that crashes, only one is the cause. If a
    /// known cause explains the crash, the other requests are not counted, and
    /// neither are those whose answer had not begun if that of another one had.
    std::vector<crash_cause> find_causes(std::span<const crash_cause> known,
                                         common::time_point now);

    std::size_t size() const
    {
        return reports_.size();
    }

private:
    /// What the reports say of one part.
    struct suspicion;

    void drop_old(common::time_point now);
    void remember(std::uint64_t id);
    bool is_same_crash(const crash_report& a, const crash_report& b) const;

    /// Returns true if another request at the same target explains the crash
    /// better than this one.
    bool has_better_explanation(const crash_report& report,
                                std::span<const crash_cause> known) const;

    std::vector<suspicion>
    collect_suspicions(std::span<const crash_cause> known) const;

    /// Returns the cause if there is enough evidence against the part.
    std::optional<crash_cause> evaluate(const suspicion& candidate) const;

    /// Returns the first cause that `known` causes do not cover.
    std::optional<crash_cause>
    find_cause(std::span<const crash_cause> known) const;
    unsigned weigh_crashes(const suspicion& candidate) const;

    evidence_settings settings_;
    const answered_parts& answered_;
    std::vector<crash_report> reports_;

    // Ids of the last reports; the queue has their order.
    std::unordered_set<std::uint64_t> known_ids_;
    std::deque<std::uint64_t> known_order_;
};

} // namespace tanagertrack::quarantine

#endif
