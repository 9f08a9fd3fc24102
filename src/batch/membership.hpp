#ifndef TANAGERTRACK_BATCH_MEMBERSHIP_HPP
#define TANAGERTRACK_BATCH_MEMBERSHIP_HPP

#include "batch/job_log.hpp"
#include "common/endpoint.hpp"
#include "store/store_service.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagertrack::batch
{

/// Names and timeouts of the membership.
struct membership_settings
{
    /// Name of the host, and the address at which other entries reach this
    /// process.
    std::string host;
    common::endpoint address;

    /// Partitions of each topic; the store lists at most this many members for
    /// one topic.
    std::uint32_t partitions = 1;

    /// Time without a join after which the store removes a member, and the
    /// interval of the joins.
    std::chrono::milliseconds session_timeout{2000};
    std::chrono::milliseconds join_interval{600};

    /// Time without a listing by the store after which a member's jobs are
    /// reassigned. Longer than a session, so that a member that the store
    /// removed although it is alive can come back.
    std::chrono::milliseconds absence_timeout{2500};

    /// This process counts as cut off from the store if the last answer of the
    /// store to another process is this much later than that to this one.
    std::chrono::milliseconds contact_lead{1500};

    /// Time without a list of members after which all members count as listed
    /// now: they could not renew their sessions either.
    std::chrono::milliseconds list_gap{1500};
};

/// Functions of the process that the membership uses.
struct membership_hooks
{
    /// Returns the time at which the store last answered a member, as that
    /// member reported it; std::nullopt if no report of the member is known.
    std::function<std::optional<common::time_point>(const std::string& member)>
        store_contact;

    /// Returns the time at which the store last answered any other member.
    std::function<std::optional<common::time_point>()> last_store_contact;

    /// Pauses or resumes the running of batch items.
    std::function<void(bool paused)> set_paused;
};

/// Membership of this process in the store's group of processes that run jobs,
/// and the reassignment of jobs whose runner has departed. The member to which
/// the store assigns the partition of the job log is the leader and reassigns
/// these jobs. Two members may be the leader for a moment, which does no harm:
/// a reassignment has an effect only if it names the job's current runner. Not
/// thread-safe: all calls are made on the thread of the io_context.
class membership
{
public:
    membership(boost::asio::io_context& context, store::store_service service,
               job_log& jobs, membership_settings settings,
               membership_hooks hooks);

    membership(const membership&) = delete;
    membership& operator=(const membership&) = delete;

    /// Joins the group. The process is announced to the other members once the
    /// log of jobs was read.
    void start();

    /// Leaves the group and records it, so that other members take over the
    /// jobs.
    void stop();

    /// Returns true if this process reassigns the jobs of departed runners.
    bool is_leader() const
    {
        return leader_;
    }

    /// Returns true if this process maintains the records of a runner's jobs:
    /// of its own, and, as the leader, of those of departed runners.
    bool is_responsible_for(const std::string& runner) const;

private:
    void announce();
    void send_join();
    void handle_join(const store::join_result& result);
    void check_store_contact();

    /// Requests the list of members that own a partition.
    void request_owners();
    void handle_owners(const store::owners_result& result);
    void claim_jobs_of_own_host();
    void reassign_orphaned_jobs();
    bool has_departed(const std::string& member, common::time_point now) const;
    std::vector<std::string> topics() const;
    std::vector<std::string> live_members(common::time_point now) const;
    void reassign_job(const state::batch_job& job, const std::string& member);

    store::store_service service_;
    job_log& jobs_;
    membership_settings settings_;
    membership_hooks hooks_;
    boost::asio::steady_timer timer_;
    std::uint64_t generation_ = 0;
    bool announced_ = false;
    bool stopped_ = false;
    bool leader_ = false;
    bool paused_ = false;
    bool owners_requested_ = false;

    /// Times of the last successful join and of the last list of members.
    common::time_point last_join_;
    common::time_point last_owners_;

    /// The last reassignment of a job that this process appended.
    struct reassignment
    {
        std::string from;
        common::time_point at;
    };

    /// The last reassignments, by job.
    std::map<std::string, reassignment> reassignments_;

    /// Time at which each member was last listed by the store.
    std::map<std::string, common::time_point> last_listed_;
};

} // namespace tanagertrack::batch

#endif
