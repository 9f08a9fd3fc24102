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

/// Bounds of the configuration. They take part in verdicts and have to be
/// the same in all readers.
struct config_limits
{
    std::size_t max_targets = 20000;
    std::size_t max_models = 1000;
    std::size_t max_services = 1000;
    std::size_t max_teams = 50000;

    /// Removed objects whose ticket number is known. Beyond, the one with the
    /// lowest number is dropped, and numbers up to it are stale for objects
    /// that are not known.
    std::size_t max_removed = 20000;

    /// Accepted tickets that are known by number. Beyond, the oldest is
    /// dropped, and numbers up to it that are not known are stale.
    std::size_t max_accepted = 4096;

    /// Verdicts kept for `find_result`; takes no part in verdicts.
    std::size_t max_results = 1024;

    /// Bytes of ticket records kept while the state waits for a snapshot.
    std::size_t max_waiting_bytes = 16UL * 1024 * 1024;
};

/// What became of a ticket.
enum class ticket_result_kind : std::uint8_t
{
    accepted,

    /// A ticket with this number and content was accepted before.
    same_ticket,

    /// The number is not above the last accepted one for a touched object.
    stale,

    /// A ticket with this number and other content was accepted before.
    conflict,

    /// The document is not valid, or names a model or service that neither
    /// the ticket nor the configuration has.
    invalid
};

/// Returns the enumerator's name.
std::string_view to_string(ticket_result_kind kind);

/// Verdict on the ticket in one record.
struct ticket_result
{
    ticket_result_kind kind = ticket_result_kind::invalid;

    /// Ticket number in the record.
    std::uint64_t number = 0;

    /// Offset of the record.
    std::uint64_t offset = 0;

    /// Stale: the object, as "targets/NAME", and the number that it lost to.
    std::string object;
    std::uint64_t lost_to = 0;

    /// What an operator is told: errors one a line, or the reason.
    std::string message;
};

/// The fleet configuration: the fold of `config`. Pure; one thread; the
/// configurations given out are immutable and may go to other threads.
///
/// Order of checks of a ticket: the document; its number among the accepted
/// ones (same_ticket, conflict, or stale below the numbers that are known);
/// each touched object in the order targets, models, services, teams,
/// removed (stale); references and table sizes (invalid). A ticket is applied
/// in full or not at all. A removal keeps the object's last number. A removed
/// object that does not exist is accepted: the ticket states its absence.
/// Removing a model that targets still name is allowed: the targets keep the
/// name and serve it again when it returns.
///
/// A ticket that was appended twice is the same ticket. Of a snapshot's parts,
/// those of one writer are put together; a part that is not the next one is
/// ignored, and part 0 starts again.
///
/// A state that starts above offset 1, or finds a gap, is not complete: it
/// keeps the last configuration, holds back the tickets that follow (bounded)
/// and judges them once it has read a snapshot that covers everything before
/// them. Otherwise a snapshot is applied only when its offset is ahead of the
/// state's. The version never goes back.
class config_state
{
public:
    using snapshot = std::shared_ptr<const proto::FleetConfig>;

    explicit config_state(config_limits limits = {});
    ~config_state();

    config_state(const config_state&) = delete;
    config_state& operator=(const config_state&) = delete;

    /// Takes a configuration from a peer, complete through the offset
    /// `read_through`; ignored (false) if it is not ahead of the state.
    bool load(const proto::FleetConfig& config, std::uint64_t read_through);

    /// Applies the record at `offset`. Offsets up to `read_through()` are
    /// ignored; an offset after a gap makes the state incomplete. Returns the
    /// verdicts given, in log order: usually one for a ticket, none for a
    /// snapshot or a ticket that is held back, and several when a snapshot
    /// ends the waiting.
    std::vector<ticket_result> apply(std::uint64_t offset,
                                     const proto::ConfigRecord& record);

    /// Verdict that a ticket would get if it were appended now.
    ticket_result preview(const proto::Ticket& ticket) const;

    /// Whether the state follows from the whole history.
    bool complete() const;

    /// Current configuration; never null, version 0 before the first ticket.
    snapshot current() const;

    /// Offset through which records were applied or are held back.
    std::uint64_t read_through() const;

    /// Verdict on the tickets of this number: accepted if one was, or else the
    /// latest; nothing when it is not known (any more).
    std::optional<ticket_result> find_result(std::uint64_t number) const;

    /// Snapshot of the current configuration for the log, in parts of at most
    /// about `max_part_bytes` (at least 1024), to be appended in this order by
    /// one writer; other records may stand between them. The state is
    /// complete.
    std::vector<proto::ConfigSnapshot>
    make_snapshot(std::size_t max_part_bytes) const;

    /// Bytes of memory held, an estimate.
    std::size_t memory_bytes() const;

private:
    /// Parts of a snapshot read so far.
    struct snapshot_progress
    {
        std::string writer;
        proto::ConfigSnapshot parts;
        std::uint32_t next_part = 0;
    };

    struct waiting_ticket
    {
        std::uint64_t offset = 0;
        proto::Ticket record;
    };

    ticket_result judge(std::uint64_t offset, const proto::Ticket& record,
                        config::ticket& parsed) const;
    bool judge_number(const config::ticket& parsed,
                      ticket_result& result) const;
    bool judge_objects(const config::ticket& parsed,
                       ticket_result& result) const;
    bool judge_references(const config::ticket& parsed,
                          ticket_result& result) const;
    bool judge_sizes(const config::ticket& parsed, ticket_result& result) const;
    std::uint64_t last_number(std::string_view object) const;
    ticket_result apply_ticket(std::uint64_t offset,
                               const proto::Ticket& record);
    void apply_accepted(std::uint64_t offset, const config::ticket& parsed);
    void apply_snapshot(const std::string& writer,
                        const proto::ConfigSnapshot& part,
                        std::vector<ticket_result>& results);
    bool adopt(const proto::FleetConfig& config, std::uint64_t through,
               std::vector<ticket_result>& results);
    void hold_back(std::uint64_t offset, const proto::Ticket& record);

    config_limits limits_;
    snapshot current_;
    bool complete_ = true;
    std::uint64_t read_through_ = 0;

    /// While incomplete: first offset from which on all tickets are in
    /// `waiting_`.
    std::uint64_t waiting_from_ = 0;
    std::deque<waiting_ticket> waiting_;
    std::size_t waiting_bytes_ = 0;
    snapshot_progress progress_;
    std::deque<ticket_result> results_;
};

} // namespace tanagertrack::state

#endif
