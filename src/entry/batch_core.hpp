#ifndef TANAGERTRACK_ENTRY_BATCH_CORE_HPP
#define TANAGERTRACK_ENTRY_BATCH_CORE_HPP

#include "config/settings.hpp"
#include "entry/config_view.hpp"
#include "entry/control_follower.hpp"
#include "entry/dispatcher.hpp"
#include "entry/fleet_index.hpp"
#include "entry/record_cache.hpp"
#include "entry/work_gate.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tanagertrack::entry
{

/// An entry that was appended, or why not.
struct recorded_entry
{
    /// As for `recorded_handler`; `stale_claim` when the partition is not held
    /// under the claim any more and nothing was appended.
    std::error_code ec;
    record_position position;
};

/// What the batch service's parts share on the batch thread. Coroutines keep
/// it alive.
class batch_core : public std::enable_shared_from_this<batch_core>
{
public:
    /// What the core is made of.
    struct parts
    {
        const config::settings& settings;
        config_view& config;
        boost::asio::io_context& context;
        services::log_service log;
        work_gate gate;

        /// Given the claims held whenever they change.
        std::function<void(std::vector<proto::Fence>)> set_fences;
    };

    explicit batch_core(parts its);
    ~batch_core();

    batch_core(const batch_core&) = delete;
    batch_core& operator=(const batch_core&) = delete;

    /// Starts to follow the log, to claim and to dispatch.
    void start();

    /// Gives all partitions back; `stopped` is called when none is held.
    void stop(std::function<void()> stopped);

    const config::settings& settings() const
    {
        return parts_.settings;
    }

    boost::asio::io_context& context()
    {
        return parts_.context;
    }

    work_gate& gate()
    {
        return parts_.gate;
    }

    record_cache& cache()
    {
        return cache_;
    }

    dispatcher& dispatch()
    {
        return *dispatcher_;
    }

    const control_follower& control() const
    {
        return *control_;
    }

    /// Owner of a partition below `batch.partitions`.
    partition_owner& owner(std::uint32_t partition)
    {
        return *owners_[partition];
    }

    /// Number of partitions.
    std::uint32_t partitions() const
    {
        return static_cast<std::uint32_t>(owners_.size());
    }

    /// Look-up tables of the current configuration; null before the first.
    std::shared_ptr<const fleet_index> fleet();

    /// Jobs and items in the partitions held.
    std::size_t job_count() const;
    std::size_t item_count() const;

    /// Whether new work is accepted.
    bool is_stopping() const
    {
        return static_cast<bool>(stopped_);
    }

    /// Appends an entry under a claim of this entry and waits until it is read
    /// back, or until `deadline`. A null handler is enough for an entry that
    /// another one follows: with `wait` false, waits for room only.
    boost::asio::awaitable<recorded_entry> record(std::uint32_t partition,
                                                  std::uint64_t claim,
                                                  proto::PartitionEntry entry,
                                                  common::time_point deadline,
                                                  bool wait = true);

private:
    void make_owner(std::uint32_t partition);
    void note_held(std::uint32_t partition);
    void note_idle(std::uint32_t partition, const state::claim_info& seen);
    void release(std::uint32_t partition);
    void send_fences();
    void check_stopped();

    parts parts_;
    std::string writer_;
    record_cache cache_;
    control_follower::owner_list owners_;
    std::unique_ptr<control_follower> control_;
    std::unique_ptr<dispatcher> dispatcher_;
    std::shared_ptr<const fleet_index> fleet_;
    std::function<void()> stopped_;
    bool stop_told_ = false;
};

} // namespace tanagertrack::entry

#endif
