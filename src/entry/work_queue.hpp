#ifndef TANAGERTRACK_ENTRY_WORK_QUEUE_HPP
#define TANAGERTRACK_ENTRY_WORK_QUEUE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace tanagertrack::entry
{

/// Order in which jobs get their items started.
enum class queue_order
{
    /// Fair between teams; within a team the job that is due first.
    fair_deadline,

    /// Jobs as they arrived; the baseline.
    fifo
};

/// What the order depends on.
struct queued_job
{
    /// Identifies the job among those in the queue.
    std::uint64_t key = 0;
    std::string team;

    /// Unix times in milliseconds; `due_ms` is 0 for a job without one.
    std::uint64_t created_ms = 0;
    std::uint64_t due_ms = 0;
};

/// Chooses the job whose item starts next. A job is in the queue while it has
/// an item that can start; `take` leaves it there.
///
/// Under `fair_deadline` the team that was served least goes first, so that no
/// team waits for another; a team that was idle starts level with the least
/// served one. A job that is not due counts as due a day after it was created,
/// and none as due before it was created, so that each becomes the first of
/// its team eventually. All operations take O(log n). Pure.
class work_queue
{
public:
    explicit work_queue(queue_order order);

    /// Adds a job; ignored when it is in the queue.
    void add(const queued_job& job);

    /// Removes a job; ignored when it is not in the queue.
    void remove(std::uint64_t key);

    /// Key of the job whose item starts next, charged to its team.
    std::optional<std::uint64_t> take();

    /// Jobs in the queue.
    std::size_t size() const
    {
        return jobs_.size();
    }

private:
    /// Order within a team: due time, then arrival.
    using job_rank = std::pair<std::uint64_t, std::uint64_t>;

    struct team_state
    {
        std::uint64_t served = 0;
        std::map<job_rank, std::uint64_t> jobs;
    };

    struct job_state
    {
        std::string team;
        job_rank rank;
    };

    queue_order order_;
    std::uint64_t arrivals_ = 0;

    /// Service of the team that was chosen last.
    std::uint64_t floor_ = 0;
    std::unordered_map<std::uint64_t, job_state> jobs_;
    std::unordered_map<std::string, team_state> teams_;

    /// Teams with jobs, least served first.
    std::set<std::pair<std::uint64_t, std::string_view>> ready_;
};

} // namespace tanagertrack::entry

#endif
