#ifndef TANAGERTRACK_ENTRY_PARTITION_OWNER_HPP
#define TANAGERTRACK_ENTRY_PARTITION_OWNER_HPP

#include "entry/stream_appender.hpp"
#include "entry/stream_follower.hpp"
#include "state/partition_state.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace tanagertrack::entry
{

/// What a partition's owner needs to know.
struct owner_settings
{
    std::uint32_t partition = 0;

    /// Entry id, and the id of this process: entry id and start nonce.
    std::string entry;
    std::string writer;
    std::size_t max_record_bytes = 256 * 1024;
    std::chrono::milliseconds read_wait{1000};
    common::backoff_settings retry;
    std::uint64_t seed = 0;

    /// Records and bytes read since the last checkpoint after which the holder
    /// writes one; it bounds what a new holder has to read.
    std::uint64_t checkpoint_records = 2000;
    std::size_t checkpoint_bytes = 16 * 1024 * 1024;
};

/// Progress of a claim.
enum class owner_phase
{
    /// Neither held nor tried.
    idle,

    /// Reads the stream up to its end, before the claim.
    reading,

    /// The claim is appended and not read back.
    claiming,
    held,

    /// The release is appended and not read back.
    releasing
};

/// Name of the stream of a partition.
std::string batch_stream(std::uint32_t partition);

/// Claims one partition, follows its stream, and appends to it while the
/// claim is current. One thread.
class partition_owner
{
public:
    /// What the owner of this object is told. Effects of records are told
    /// while the partition is held only. A hook must not change the state.
    struct hooks
    {
        /// The claim is current and everything before it was read.
        std::function<void()> on_held;

        /// The phase is idle again: the claim was replaced or released, or
        /// the try did not succeed. `seen` is the current claim. Called before
        /// the handlers of entries that were not recorded.
        std::function<void(const state::claim_info& seen)> on_idle;
        std::function<void(const state::job&)> on_job_accepted;
        std::function<void(const state::job&)> on_job_cancelled;
        std::function<void(const std::string& id)> on_forgotten;
        std::function<void(const state::job&, const proto::ItemResult&)>
            on_item_completed;

        /// Records were applied.
        std::function<void()> on_progress;
    };

    partition_owner(boost::asio::io_context& context,
                    services::log_service& log, owner_settings settings,
                    hooks hooks);
    ~partition_owner();

    partition_owner(const partition_owner&) = delete;
    partition_owner& operator=(const partition_owner&) = delete;

    /// Starts to claim the partition; the phase is idle. Reads from
    /// `checkpoint_offset` (0: the first record kept). The try ends without a
    /// claim if a claim above `tolerated_claim` is current and not released:
    /// its holder may not have had the time for a heartbeat.
    void try_claim(std::uint64_t checkpoint_offset,
                   std::uint64_t tolerated_claim);

    /// Gives the partition back after all queued entries; ignored unless it
    /// is held. A try to claim is ended.
    void release();

    /// Appends a checkpoint when all earlier records are read back; ignored
    /// unless the partition is held, and while an earlier one is open.
    void write_checkpoint();

    owner_phase phase() const
    {
        return phase_;
    }

    /// Whether entries may be appended: held and not releasing.
    bool is_held() const
    {
        return phase_ == owner_phase::held;
    }

    std::uint32_t partition() const
    {
        return settings_.partition;
    }

    /// Offset of the current claim; 0 unless held or releasing.
    std::uint64_t claim_offset() const;

    /// State as read so far; complete while held.
    const state::partition_state& state() const
    {
        return state_;
    }

    /// Appender under the current claim; null unless held or releasing.
    stream_appender* appender()
    {
        return appender_.get();
    }

    /// Oldest offset that the log kept at the last read.
    std::uint64_t first_kept() const
    {
        return first_kept_;
    }

private:
    void start_reading(std::uint64_t from);
    void take_records(std::vector<services::log_record> records,
                      std::uint64_t next_offset);
    void take_record(const services::log_record& it);
    void finish_reading();
    void send_claim();
    void finish_claim(std::error_code ec);
    void take_gap(std::uint64_t first);
    state::partition_hooks make_state_hooks();
    void note_claim(const state::claim_info& current);
    void become_held();
    void become_idle();
    bool checkpoint_is_due() const;
    void write_checkpoint_if_due();

    boost::asio::io_context& context_;
    services::log_service& log_;
    owner_settings settings_;
    hooks hooks_;
    common::backoff backoff_;
    boost::asio::steady_timer timer_;
    owner_phase phase_ = owner_phase::idle;
    state::partition_state state_;
    state::partition_hooks state_hooks_;
    std::unique_ptr<stream_follower> follower_;
    std::unique_ptr<stream_appender> appender_;
    std::uint64_t started_at_ = 1;
    std::uint64_t first_kept_ = 1;
    std::uint64_t tolerated_claim_ = 0;
    std::uint64_t records_since_checkpoint_ = 0;
    std::size_t bytes_since_checkpoint_ = 0;

    /// A checkpoint of this claim is not read back yet.
    bool checkpoint_open_ = false;

    /// Set by hooks of the state; acted on after the record was applied.
    bool own_claim_read_ = false;
    bool claim_replaced_ = false;
    bool released_ = false;

    /// Expires when the phase becomes idle; guards answers on their way.
    std::shared_ptr<bool> attempt_;
};

} // namespace tanagertrack::entry

#endif
