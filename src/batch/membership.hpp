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

/// Times and names of the membership.
struct membership_settings
{
    /// Name of the host, and where other entries reach this process.
    std::string host;
    common::endpoint address;

    /// Partitions of each topic: how many members one topic can show.
    std::uint32_t partitions = 1;

    /// Silence after which the store takes a member out, and the time between
    /// two signs of life.
    std::chrono::milliseconds session_timeout{2000};
    std::chrono::milliseconds join_interval{600};

    /// Absence from the store's list after which a member's jobs are given to
    /// others. Longer than a session, so that a member that the store dropped
    /// by itself can come back.
    std::chrono::milliseconds absence_timeout{2500};

    /// How much later than this process another one must have had an answer of
    /// the store for this one to count as cut off.
    std::chrono::milliseconds contact_lead{1500};

    /// Time without a list of members after which all are given time to appear
    /// in the next one: they could not renew their sessions either.
    std::chrono::milliseconds list_gap{1500};
};

/// What a membership uses of the process.
struct membership_hooks
{
    /// When the store last answered a member, as it told; nothing for one that
    /// is not heard.
    std::function<std::optional<common::time_point>(const std::string& member)>
        store_contact;

    /// When the store last answered any other member.
    std::function<std::optional<common::time_point>()> last_store_contact;

    /// Sets whether batch items may run.
    std::function<void(bool paused)> set_paused;
};

/// Membership of this process among those that run jobs, by a group in the
/// platform's store, and the care for jobs whose runner is gone. The member
/// that holds the first partition of the jobs gives them to others. That two
/// members may hold it for a moment does no harm: a job is only taken from the
/// runner that it has in the log. One thread.
class membership
{
public:
    membership(boost::asio::io_context& context, store::store_service service,
               job_log& jobs, membership_settings settings,
               membership_hooks hooks);

    membership(const membership&) = delete;
    membership& operator=(const membership&) = delete;

    /// Starts to take part as soon as the jobs are read.
    void start();

    /// Leaves: other members take the jobs over.
    void stop();

    /// Whether this process cares for jobs whose runner is gone.
    bool is_leader() const
    {
        return leader_;
    }

    /// Whether this process cares for the records of a runner's jobs: for its
    /// own, and as the leader for those of processes that are gone.
    bool is_responsible_for(const std::string& runner) const;

private:
    void announce();
    void send_join();
    void handle_join(const store::join_result& result);
    void check_store_contact();
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

    /// Last answer to a sign of life, and last list of members.
    common::time_point last_join_;
    common::time_point last_owners_;

    /// Runner from which a job was asked for, and when.
    struct reassignment
    {
        std::string from;
        common::time_point at;
    };

    std::map<std::string, reassignment> reassignments_;

    /// When each member was last in the list.
    std::map<std::string, common::time_point> last_listed_;
};

} // namespace tanagertrack::batch

#endif
