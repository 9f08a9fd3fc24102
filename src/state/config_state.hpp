#ifndef TANAGERTRACK_STATE_CONFIG_STATE_HPP
#define TANAGERTRACK_STATE_CONFIG_STATE_HPP

#include "config/ticket.hpp"
#include "proto/tickets.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::state
{

/// Limits of the configuration. Results of tickets depend on them, so they must
/// be the same in all readers.
struct config_limits
{
    std::size_t max_targets = 20000;
    std::size_t max_models = 1000;
    std::size_t max_services = 1000;
    std::size_t max_teams = 50000;

    /// Maximum number of removed objects whose ticket number is kept. Above it,
    /// the object with the lowest number is dropped, and numbers up to this one
    /// are stale for all unknown objects.
    std::size_t max_removed = 20000;

    /// Maximum number of accepted tickets that are kept. Above it, the oldest
    /// is dropped, and unknown numbers up to its number are stale.
    std::size_t max_accepted = 4096;

    /// Maximum number of results kept for `find_result`. Does not affect the
    /// results themselves.
    std::size_t max_results = 1024;

    /// Maximum size in bytes of the tickets that are deferred, and of the parts
    /// of a snapshot that are merged, while the state is incomplete.
    std::size_t max_deferred_bytes = 16UL * 1024 * 1024;
};

/// Result of evaluating a ticket.
enum class ticket_result_kind : std::uint8_t
{
    accepted,

    /// A ticket with the same number and content was accepted before.
    same_ticket,

    /// The number is not above that of the last accepted ticket for one of the
    /// ticket's objects, or is below all numbers that are kept.
    stale,

    /// A ticket with the same number and other content was accepted before.
    conflict,

    /// The document is not valid, refers to a model or service that neither the
    /// ticket nor the configuration has, or exceeds a table's size.
    invalid
};

/// Returns the enumerator's name.
std::string_view to_string(ticket_result_kind kind);

/// Result of the ticket in one record.
struct ticket_result
{
    ticket_result_kind kind = ticket_result_kind::invalid;

    /// Ticket number in the record.
    std::uint64_t number = 0;

    /// Offset of the record.
    std::uint64_t offset = 0;

    /// For a stale ticket: the object, as "targets/NAME", and the number that a
    /// ticket has to exceed. The object is empty if the number is below all
    /// numbers that are kept.
    std::string object;
    std::uint64_t last_number = 0;

    /// Message for the operator: one error per line, or the reason of the
    /// result; empty if the ticket is accepted.
    std::string message;
};

/// The fleet configuration, folded from the log of tickets and snapshots. Has
/// no side effects and reads no clock, so that all readers of the log get the
/// same state. Not thread-safe, but the configurations that `current` returns
/// are immutable and may be used on other threads.
///
/// A ticket is checked in this order: the document (invalid); its number among
/// the accepted ones (same_ticket, conflict, or stale if it is below the
/// numbers that are kept); each of its objects in the order targets, models,
/// services, teams, removed (stale); references and table sizes (invalid). A
/// ticket is applied as a whole or not at all. A removed object keeps its last
/// ticket number. The removal of an object that does not exist is accepted,
/// since the ticket demands only its absence. A model may be removed while
/// targets refer to it: the targets keep its name and serve the model again
/// when it is added again.
///
/// A ticket that was appended twice gets the result same_ticket. The parts of a
/// snapshot are merged if they come from one writer and in order; a part out of
/// order is ignored, and part 0 starts a new snapshot.
///
/// A state that starts above offset 1, or finds a gap in the offsets, is
/// incomplete: it keeps the last configuration, defers the tickets that follow,
/// up to a limit, and evaluates them after a snapshot that covers all records
/// before them. A complete state ignores snapshots, and adopts a peer's
/// configuration only if that is ahead. The version never decreases.
class config_state
{
public:
    using snapshot = std::shared_ptr<const proto::FleetConfig>;

    explicit config_state(config_limits limits = {});
    ~config_state();

    config_state(const config_state&) = delete;
    config_state& operator=(const config_state&) = delete;

    /// Adopts a configuration from a peer that has applied all records up to
    /// and including `read_through`. Returns false, and changes nothing, if it
    /// is not ahead of this state.
    bool load(const proto::FleetConfig& config, std::uint64_t read_through);

    /// Applies the record at `offset`. Offsets up to `read_through()` are
    /// ignored; an offset after a gap makes the state incomplete. Returns new
    /// ticket results in log order: usually one for a ticket, none for a
    /// snapshot or a deferred ticket, and those of all deferred tickets when a
    /// snapshot makes the state complete.
    std::vector<ticket_result> apply(std::uint64_t offset,
                                     const proto::ConfigRecord& record);

    /// Returns the result that a ticket would get if it were appended now.
    ticket_result preview(const proto::Ticket& ticket) const;

    /// Returns true if the state includes all records of the log up to
    /// `read_through()`.
    bool complete() const;

    /// Returns the current configuration. Never null; has version 0 before the
    /// first ticket.
    snapshot current() const;

    /// Returns the offset of the last record that was applied or deferred.
    std::uint64_t read_through() const;

    /// Returns the result for a ticket number: accepted if a ticket with it was
    /// accepted, or else the latest result. Returns std::nullopt if there was
    /// no such ticket or its result is no longer kept.
    std::optional<ticket_result> find_result(std::uint64_t number) const;

    /// Returns a snapshot of the current configuration in parts of at most
    /// about `max_part_bytes` (at least 1024). One writer appends them to the
    /// log in this order; other records may come between them. The state must
    /// be complete.
    std::vector<proto::ConfigSnapshot>
    make_snapshot(std::size_t max_part_bytes) const;

    /// Returns an estimate of the memory used, in bytes.
    std::size_t memory_bytes() const;

private:
    /// Parts of a snapshot that were read so far, merged.
    struct snapshot_progress
    {
        std::string writer;
        proto::ConfigSnapshot merged;
        std::uint32_t next_part = 0;
    };

    struct deferred_ticket
    {
        std::uint64_t offset = 0;
        proto::Ticket record;
    };

    /// Checks a ticket. The other functions return false and set `result` if
    /// the ticket is not accepted; `result.kind` is `invalid` from the start.
    ticket_result evaluate_ticket(std::uint64_t offset,
                                  const proto::Ticket& record,
                                  config::ticket& parsed) const;
    bool evaluate_number(const config::ticket& parsed,
                         ticket_result& result) const;
    bool evaluate_objects(const config::ticket& parsed,
                          ticket_result& result) const;
    bool evaluate_references(const config::ticket& parsed,
                             ticket_result& result) const;
    bool evaluate_table_sizes(const config::ticket& parsed,
                              ticket_result& result) const;

    /// Returns the number that a ticket for the object has to exceed.
    std::uint64_t last_number(std::string_view object) const;
    ticket_result apply_ticket(std::uint64_t offset,
                               const proto::Ticket& record);
    void apply_accepted(std::uint64_t offset, const config::ticket& parsed);
    void apply_snapshot(const std::string& writer,
                        const proto::ConfigSnapshot& part,
                        std::vector<ticket_result>& results);

    /// Replaces the configuration and evaluates the deferred tickets after
    /// `through`. Returns false if the configuration is not ahead of this
    /// state.
    bool adopt(const proto::FleetConfig& config, std::uint64_t through,
               std::vector<ticket_result>& results);
    void defer_ticket(std::uint64_t offset, const proto::Ticket& record);

    config_limits limits_;
    snapshot current_;
    bool complete_ = true;
    std::uint64_t read_through_ = 0;

    /// While the state is incomplete: all tickets from this offset on are in
    /// `deferred_`. A snapshot has to cover all records before it.
    std::uint64_t deferred_from_ = 0;
    std::deque<deferred_ticket> deferred_;
    std::size_t deferred_bytes_ = 0;
    snapshot_progress progress_;
    std::deque<ticket_result> results_;
};

} // namespace tanagertrack::state

#endif
