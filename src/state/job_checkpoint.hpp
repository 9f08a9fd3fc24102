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

/// Makes records of a table's whole state. `as_of` is the offset behind the
/// last record that the table was given; `id` is unique for each checkpoint.
/// A record has about `max_part_bytes` at most.
std::vector<proto::JobRecord> make_checkpoint(const job_table& from,
                                              std::uint64_t as_of,
                                              std::string_view id,
                                              std::size_t max_part_bytes);

/// Finds the newest complete checkpoint among records. One thread.
class checkpoint_reader
{
public:
    /// A complete checkpoint.
    struct checkpoint
    {
        std::uint64_t as_of = 0;
        std::vector<proto::JobTableState> states;
    };

    /// Takes the next part in the order of the log.
    void add_part(const proto::CheckpointPart& part);

    /// Newest complete checkpoint, if any.
    const std::optional<checkpoint>& newest() const
    {
        return newest_;
    }

    /// Forgets everything.
    void clear();

private:
    /// Parts of the checkpoints that are not complete, by id and index.
    std::map<std::string, std::map<std::uint32_t, proto::JobTableState>>
        incomplete_;
    std::optional<checkpoint> newest_;
};

/// Replaces a table's state by that of a checkpoint. No hook is called.
void load_checkpoint(job_table& to, const checkpoint_reader::checkpoint& from);

} // namespace tanagertrack::state

#endif
