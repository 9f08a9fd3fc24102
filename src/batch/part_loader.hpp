#ifndef TANAGERTRACK_BATCH_PART_LOADER_HPP
#define TANAGERTRACK_BATCH_PART_LOADER_HPP

#include "batch/job_log.hpp"
#include "common/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

namespace tanagertrack::batch
{

/// Reads the items of this process's jobs from the log, part by part, starting
/// with the jobs that are due first. Not thread-safe: all calls are made on the
/// thread of the io_context.
class part_loader
{
public:
    /// Order of the jobs: by due time, then by age.
    using job_order = std::pair<common::time_point, std::uint64_t>;

    /// Called with the items of a part; the first one has the index `first`.
    using items_handler =
        std::function<void(const std::string& job, std::uint32_t first,
                           const std::vector<proto::JobItem>& items)>;

    part_loader(job_log& jobs, items_handler on_items);

    part_loader(const part_loader&) = delete;
    part_loader& operator=(const part_loader&) = delete;

    /// Adds a job whose parts from index `next_part` on are to be loaded.
    void add(const std::string& job, job_order order, std::size_t next_part);

    /// Removes a job; the result of a running read is dropped.
    void remove(std::string_view job);

    /// Reads the next part of each job without a running read for which
    /// `may_load` returns true.
    void load(common::time_point now,
              const std::function<bool(const std::string& job)>& may_load);

private:
    struct load_state
    {
        /// Unique for each `add`, so that results of reads for an earlier one
        /// are recognized.
        std::uint64_t generation = 0;
        job_order order;

        /// Index of the next part; those before it are loaded or have no open
        /// items.
        std::size_t next_part = 0;
        bool loading = false;

        /// Not read before this time, after a failure.
        common::time_point not_before;
    };

    void load_part(const std::string& id, load_state& job_state,
                   const state::batch_job& job);
    void handle_part(const std::string& job, std::uint64_t generation,
                     std::error_code ec, const proto::JobRecord& record);

    job_log& jobs_;
    items_handler on_items_;
    std::map<std::string, load_state, std::less<>> loads_;
    std::uint64_t last_generation_ = 0;
};

} // namespace tanagertrack::batch

#endif
