#ifndef TANAGERTRACK_TEST_STATE_SIMULATION_HPP
#define TANAGERTRACK_TEST_STATE_SIMULATION_HPP

#include "common/clock.hpp"
#include "records.hpp"
#include "state/holder_table.hpp"
#include "state/lease_machine.hpp"
#include "state/partition_state.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <tuple>
#include <vector>

namespace tanagertrack::test
{

/// A promise of the system does not hold.
struct broken_invariant : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// What happened in a run; shows that a run reaches the cases it is for.
struct run_counts
{
    std::size_t claims = 0;
    std::size_t takeovers = 0;
    std::size_t fresh_starts = 0;
    std::size_t releases = 0;
    std::size_t accepted = 0;
    std::size_t repeated = 0;
    std::size_t conflicts = 0;
    std::size_t completed = 0;
    std::size_t cancelled = 0;
    std::size_t void_claims = 0;
    std::size_t void_sequences = 0;
    std::size_t checkpoints = 0;
    std::size_t checkpoint_starts = 0;
    std::size_t sent_once = 0;
    std::size_t sent_repeatable = 0;
    std::size_t refused_by_fence = 0;
};

/// A stream of the log: dense offsets from 1, old records expire.
template<typename Record>
class model_stream
{
public:
    std::uint64_t append(Record record)
    {
        records_.push_back(std::move(record));
        return records_.size();
    }

    const Record& at(std::uint64_t offset) const
    {
        return records_.at(offset - 1);
    }

    std::uint64_t first_kept() const
    {
        return first_kept_;
    }

    std::uint64_t next() const
    {
        return records_.size() + 1;
    }

    void expire_before(std::uint64_t offset)
    {
        first_kept_ = std::max(first_kept_, offset);
    }

private:
    std::vector<Record> records_;
    std::uint64_t first_kept_ = 1;
};

/// Work of the simulated holders on one partition.
struct work_id
{
    /// Job id, or call id with item 0.
    std::string id;
    std::uint32_t item = 0;
    bool call = false;

    bool operator<(const work_id& other) const
    {
        return std::tie(id, item, call) <
               std::tie(other.id, other.item, other.call);
    }
};

class simulation;

/// One entry that tries to hold the partition.
class simulated_holder
{
public:
    simulated_holder(simulation& world, std::string name);

    /// One step of the entry's process: reads or acts.
    void step();

    /// A new process on the same host.
    void restart();

    bool paused = false;

private:
    void read_batch();
    void read_control();
    void act();
    void act_as_holder();
    void start_reading();
    void append(proto::PartitionRecord record);
    template<typename... Entries>
    void write(Entries... entries);
    void send_heartbeat();
    void resend();
    void try_claim();
    void plan_intake();
    void plan_checkpoint();
    void dispatch();
    void finish_work();
    void client_call();
    void move_records();
    void lose();
    void on_record(std::uint64_t offset, const proto::PartitionRecord& record);

    simulation& world_;
    std::string name_;
    unsigned generation_ = 0;
    std::string writer_;
    state::partition_state state_;
    state::holder_table table_;
    state::lease_machine lease_;
    bool reading_ = false;
    std::uint64_t control_next_ = 1;
    std::uint64_t beat_ = 0;
    std::map<std::uint64_t, common::time_point> beat_times_;

    /// Record whose answer is missing.
    std::optional<proto::PartitionRecord> in_flight_;
    common::time_point claim_time_;
    common::time_point last_beat_;
    std::uint64_t claim_ = 0;
    std::uint64_t sequence_ = 0;
    std::deque<proto::PartitionRecord> plan_;
    std::multiset<work_id> running_;
};

/// Several holders, the log and one fenced agent, driven by a seed. Checks
/// invariants at each step and throws `broken_invariant`.
class simulation
{
public:
    explicit simulation(std::uint64_t seed);

    /// Runs `steps` steps.
    void run(unsigned steps);

    const run_counts& counts() const
    {
        return counts_;
    }

private:
    friend class simulated_holder;

    std::uint64_t random(std::uint64_t below);
    bool chance(unsigned percent);
    void deliver(proto::PartitionRecord record);
    void follow(std::uint64_t offset);
    void follow_claim(const proto::Claim& claim, std::uint64_t checkpoint);
    void judge(const proto::PartitionRecord& record, std::uint64_t offset,
               state::record_verdict verdict);
    void watch();
    void expire();
    void check_agreement(const state::partition_state& reader);
    bool is_void(std::uint64_t offset) const;
    void fence(std::uint64_t claim);
    bool send(const work_id& work, std::uint64_t claim);

    std::mt19937_64 random_;
    common::time_point now_{};
    model_stream<proto::PartitionRecord> batch_;
    model_stream<proto::ControlRecord> control_;
    std::deque<proto::PartitionRecord> delayed_;
    std::vector<simulated_holder> holders_;
    run_counts counts_;

    /// Reads every record as soon as it is appended.
    state::partition_state reference_;
    state::partition_hooks reference_hooks_;
    std::vector<std::string> fingerprints_;

    /// Offsets of records that were void for the reference.
    std::set<std::uint64_t> void_offsets_;

    /// Independent statement of the rules of D3.
    std::uint64_t rule_claim_ = 0;
    std::string rule_writer_;
    bool rule_released_ = false;
    std::uint64_t rule_sequence_ = 0;

    /// Highest claim offset in a heartbeat.
    std::uint64_t announced_claim_ = 0;

    std::map<std::string, std::string> job_hashes_;
    std::map<work_id, int> completions_;
    std::map<work_id, int> sends_;
    std::set<std::string> confirmed_cancels_;
    std::uint64_t fence_ = 0;
};

/// Whether an item of the simulated jobs may be repeated.
inline bool is_repeatable(const work_id& work)
{
    return !work.call && work.item % 2 == 0;
}

} // namespace tanagertrack::test

#endif
