#ifndef TANAGERTRACK_ENTRY_CONTROL_FOLLOWER_HPP
#define TANAGERTRACK_ENTRY_CONTROL_FOLLOWER_HPP

#include "common/endpoint.hpp"
#include "entry/partition_owner.hpp"
#include "state/holder_table.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace tanagertrack::entry
{

/// How heartbeats are written and read.
struct control_settings
{
    std::string entry;

    /// The entry's internal listener, to which calls are forwarded.
    common::endpoint address;
    std::chrono::milliseconds heartbeat_interval{1000};
    std::chrono::milliseconds lease_duration{3000};
    std::chrono::milliseconds read_wait{1000};
    common::backoff_settings retry;
    std::uint64_t seed = 0;
};

/// Follows `control`, writes the heartbeats of this entry, and decides when
/// its partition owners try to claim and release partitions. One thread.
class control_follower
{
public:
    using owner_list = std::vector<std::unique_ptr<partition_owner>>;

    /// `owners` has one element for each partition, in order, and outlives
    /// this object. `release` starts to give a held partition back.
    control_follower(boost::asio::io_context& context,
                     services::log_service& log, control_settings settings,
                     owner_list& owners,
                     std::function<void(std::uint32_t)> release);
    ~control_follower();

    control_follower(const control_follower&) = delete;
    control_follower& operator=(const control_follower&) = delete;

    /// Starts to read and to claim.
    void start();

    /// Releases all partitions and claims none from now on.
    void leave();

    /// Writes a last heartbeat, which shows that no partition is held, and
    /// calls `written` whether it was appended or not.
    void write_final_heartbeat(std::function<void()> written);

    /// Whether the lease that heartbeats prove has not ended.
    bool has_lease() const;

    /// A partition is held now: writes a heartbeat at once.
    void note_held();

    /// A partition is idle now; `seen` is its current claim.
    void note_idle(std::uint32_t partition, const state::claim_info& seen);

    /// Whether items may be started: a heartbeat sent within the lease was
    /// read back, or reads of the log fail, so that nobody else can claim.
    bool may_start_work() const;

    /// Where calls for a partition are forwarded; nothing when no other entry
    /// is known to hold it.
    std::optional<common::endpoint> holder(std::uint32_t partition) const;

    /// Whether the log can be read and takes heartbeats, as far as known.
    bool log_is_up() const;

private:
    /// What is known of a partition beyond the holder table.
    struct claim_plan
    {
        /// Claim that may be replaced although no heartbeat was seen.
        std::uint64_t tolerated_claim = 0;

        /// When the next try starts; unset while the partition is not due.
        std::optional<common::time_point> try_at;
        common::time_point not_before = common::time_point::min();

        /// The partition is being given back.
        bool releasing = false;
    };

    void find_start();
    void start_follower(std::uint64_t from);
    void take_records(const std::vector<services::log_record>& records);
    void note_own_beat(const proto::Heartbeat& beat);
    void tick();
    void schedule_tick();
    void plan_claims(common::time_point now);
    void release_surplus(common::time_point now);
    bool is_fresh(common::time_point now) const;
    std::size_t live_entries(common::time_point now) const;
    std::size_t fair_share(common::time_point now) const;
    std::size_t count_owners(bool with_tries) const;
    void release_partition(std::uint32_t partition);
    bool wants_partitions(common::time_point now) const;
    void beat_if_due(common::time_point now);
    void send_beat(common::time_point now);
    void finish_beat(std::error_code ec);

    boost::asio::io_context& context_;
    services::log_service& log_;
    control_settings settings_;
    owner_list& owners_;
    std::function<void(std::uint32_t)> release_;
    state::holder_table table_;
    std::vector<claim_plan> plans_;
    std::unique_ptr<stream_follower> follower_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer start_timer_;
    common::backoff backoff_;
    std::mt19937_64 random_;

    /// Since when reads succeed without a break.
    std::optional<common::time_point> reading_since_;
    common::time_point last_read_;

    /// Number and time of the last heartbeat; the number grows over restarts.
    std::uint64_t beat_ = 0;
    common::time_point beat_sent_;
    bool beat_in_flight_ = false;
    bool beat_failed_ = false;
    bool beat_wanted_ = false;

    /// Send times of heartbeats that are not read back; bounded.
    std::vector<std::pair<std::uint64_t, common::time_point>> open_beats_;

    /// Until when the lease lasts that heartbeats have proven.
    common::time_point lease_end_ = common::time_point::min();
    common::time_point last_release_;
    bool leaving_ = false;
    std::function<void()> final_heartbeat_written_;

    /// Expires with this object; guards answers that are on their way.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace tanagertrack::entry

#endif
