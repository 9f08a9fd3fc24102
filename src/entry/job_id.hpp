#ifndef TANAGERTRACK_ENTRY_JOB_ID_HPP
#define TANAGERTRACK_ENTRY_JOB_ID_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tanagertrack::entry
{

/// A job or call and the partition that keeps it.
struct placed_id
{
    std::string id;
    std::uint32_t partition = 0;
};

/// Id and partition of the job of a team with an idempotency key. The same at
/// each entry; `partitions` is at least 1.
placed_id make_job_id(std::string_view team, std::string_view key,
                      std::uint32_t partitions);

/// Id and partition of a call that may not be repeated.
placed_id make_call_id(std::string_view team, std::string_view service,
                       std::string_view key, std::uint32_t partitions);

/// Partition in a job id; nothing when the id is malformed.
std::optional<std::uint32_t> parse_job_partition(std::string_view id,
                                                 std::uint32_t partitions);

} // namespace tanagertrack::entry

#endif
