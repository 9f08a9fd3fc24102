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

/// Reads the items of jobs that a process runs, part by part; the jobs that
/// are due first come first. One thread.
class part_loader
{
public:
    /// Order of a job among others: due time, then age.
    using job_order = std::pair<common::time_point, std::uint64_t>;

    /// Gets the items of a part; the first one has the index `first`.
    using items_handler =
        std::function<void(const std::string& job, std::uint32_t first,
                           const std::vector<proto::JobItem>& items)>;

    part_loader(job_log& jobs, items_handler on_items);

    part_loader(const part_loader&) = delete;
    part_loader& operator=(const part_loader&) = delete;

    /// Adds a job whose parts from `next_part` on are needed.
    void add(const std::string& job, job_order order, std::size_t next_part);

    /// Removes a job; what is read of it is dropped.
    void remove(std::string_view job);

    /// Reads the next part of each job that waits for none.
    void load(common::time_point now);

private:
    struct load_state
    {
        /// Unique for each `add`, so that reads for an earlier one are known.
        std::uint64_t generation = 0;
        job_order order;

        /// Parts before it are loaded or need not be.
        std::size_t next_part = 0;
        bool loading = false;

        /// No read before this time, after one that failed.
        common::time_point not_before;
    };

    void load_part(const std::string& id, load_state& it,
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
