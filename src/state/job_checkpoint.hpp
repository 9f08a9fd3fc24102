#ifndef TANAGERTRACK_STATE_JOB_CHECKPOINT_HPP
#define TANAGERTRACK_STATE_JOB_CHECKPOINT_HPP

#include "proto/jobs.pb.h"
#include "state/job_table.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::state
{

/// Returns the records of a checkpoint, which holds the whole state of a table.
/// `as_of` is the offset after the last record that was applied to the table;
/// `id` is unique for each checkpoint. The size of a record is at most about
/// `max_part_bytes`.
std::vector<proto::JobRecord> make_checkpoint(const job_table& from,
                                              std::uint64_t as_of,
                                              std::string_view id,
                                              std::size_t max_part_bytes);

/// Merges the parts of checkpoints and holds the latest complete checkpoint.
/// Not thread-safe.
class checkpoint_reader
{
public:
    /// A complete checkpoint.
    struct checkpoint
    {
        /// Offset of the first record that is not included.
        std::uint64_t as_of = 0;
        std::vector<proto::JobTableState> states;
    };

    /// Adds a part. Parts are added in the order of the log.
    void add_part(const proto::CheckpointPart& part);

    /// Returns the checkpoint that became complete last, or std::nullopt.
    const std::optional<checkpoint>& newest() const
    {
        return newest_;
    }

    /// Drops all parts and the complete checkpoint.
    void clear();

private:
    /// Parts of incomplete checkpoints by id of the checkpoint and index of the
    /// part.
    std::map<std::string, std::map<std::uint32_t, proto::JobTableState>>
        incomplete_;
    std::optional<checkpoint> newest_;
};

/// Replaces the state of a table with that of a checkpoint. Calls no hooks.
void load_checkpoint(job_table& to, const checkpoint_reader::checkpoint& from);

} // namespace tanagertrack::state

#endif
