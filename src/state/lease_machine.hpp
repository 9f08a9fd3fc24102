#ifndef TANAGERTRACK_STATE_LEASE_MACHINE_HPP
#define TANAGERTRACK_STATE_LEASE_MACHINE_HPP

#include "common/clock.hpp"

#include <cstdint>
#include <memory>

namespace tanagertrack::state
{

/// Where an entry stands towards one partition.
enum class lease_state : std::uint8_t
{
    none,

    /// The claim was handed to the log and not read back.
    claiming,

    /// The claim is current and an own heartbeat was read back within the
    /// lease.
    held,

    /// The claim is current as far as known, but no own heartbeat was read
    /// back within the lease: another entry may hold the partition.
    suspended,

    /// The release was handed to the log and not read back.
    releasing,

    /// Another claim was read; the holder's state has to be dropped.
    lost
};

/// What the owner of a lease has to do after an event.
enum class lease_action : std::uint8_t
{
    nothing,
    append_claim,
    start_dispatch,

    /// Send no new work; what is running goes on.
    stop_dispatch,

    /// Send no new work, and append a release once running work is recorded.
    stop_and_release,

    /// End running work and forget the partition, then call `dropped`.
    drop
};

/// Lease of one entry on one partition. Says whether work may be dispatched;
/// safety rests on the claim's fencing. Pure; one thread.
class lease_machine
{
public:
    /// `lease_duration` is above 0.
    explicit lease_machine(common::duration lease_duration);
    ~lease_machine();

    lease_machine(lease_machine&&) noexcept;
    lease_machine& operator=(lease_machine&&) noexcept;

    lease_state state() const;

    /// Whether new work may be sent at `now`: held, and the lease has not run
    /// out. Ask right before each dispatch: the thread may have been paused
    /// since the last `tick`.
    bool may_dispatch(common::time_point now) const;

    /// Tries to take the partition; in state none only.
    lease_action claim();

    /// The own claim was read back, valid or void. The lease runs from
    /// `appended_at`, when its append was started.
    lease_action claim_read(bool valid, common::time_point appended_at);

    /// An own heartbeat was read back, whose append was started at
    /// `appended_at`. `now` is the current time.
    lease_action heartbeat_read(common::time_point appended_at,
                                common::time_point now);

    /// Time has passed. Call at least ten times in a lease.
    lease_action tick(common::time_point now);

    /// Another claim replaced the own one, or the state of the partition was
    /// reset.
    lease_action replaced();

    /// Gives the partition back.
    lease_action release();

    /// The own release was read back as valid.
    lease_action release_read();

    /// The partition's state was dropped after `lost`.
    lease_action dropped();

private:
    struct impl;

    std::unique_ptr<impl> impl_;
};

} // namespace tanagertrack::state

#endif
