#ifndef TANAGERTRACK_API_TICKET_LOG_HPP
#define TANAGERTRACK_API_TICKET_LOG_HPP

#include "state/config_state.hpp"
#include "store/partition_follower.hpp"
#include "store/partition_writer.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <system_error>
#include <vector>

namespace tanagertrack::api
{

/// Outcome of submitting a ticket, as reported to the operator.
struct ticket_outcome
{
    /// Not set if there is a `result`. Otherwise `log_unavailable` (the ticket
    /// is certainly not in the log), `log_append_unknown` (it may be in the
    /// log) or `ring_full` (too many appends are queued).
    std::error_code error;

    /// Valid if `error` is not set.
    state::ticket_result result;
};

/// Settings of the ticket log.
struct ticket_log_settings
{
    /// Name of the writer in the log's records; unique for each start of a
    /// process.
    std::string writer;

    /// Maximum size of a record in bytes.
    std::size_t max_record_bytes = 256UL * 1024;

    /// Time for which the store keeps records. Snapshots are appended after a
    /// fraction of it, so that the configuration doesn't expire with the
    /// records.
    std::chrono::milliseconds retention{std::chrono::minutes(5)};
};

/// Follows the topic of change tickets, maintains the configuration that
/// results from its records, and appends tickets and snapshots. Not
/// thread-safe: all calls are made on the thread of the io_context.
class ticket_log
{
public:
    using snapshot = state::config_state::snapshot;
    using handler = std::function<void(const ticket_outcome&)>;

    /// `on_changed` is called with each new version of the configuration; at
    /// first when the log was read to its end, or a state was imported: an
    /// object that is missing before that may be added by a later ticket.
    ticket_log(boost::asio::io_context& context,
               const store::store_service& service,
               ticket_log_settings settings,
               std::function<void(const snapshot&)> on_changed);

    ticket_log(const ticket_log&) = delete;
    ticket_log& operator=(const ticket_log&) = delete;

    /// Starts to follow the topic and to schedule snapshots.
    void start();

    /// Submits a ticket. It is appended to the log, unless its result is
    /// already certain. `done` is called once, within `timeout`; possibly
    /// before this function returns.
    void submit(const std::string& document, const std::string& operator_name,
                std::chrono::milliseconds timeout, handler done);

    /// Returns the result for a ticket number: accepted if a ticket with it was
    /// accepted, or else the latest result. Returns std::nullopt if there was
    /// no such ticket or its result is no longer kept.
    std::optional<state::ticket_result> find_result(std::uint64_t number) const;

    /// Returns the configuration, for a process that can't read the log.
    proto::ConfigSnapshot export_state() const;

    /// Adopts a configuration that another process exported, if it is newer.
    void import_state(const proto::ConfigSnapshot& state);

    /// Returns the current configuration; never null.
    const snapshot& current() const
    {
        return current_;
    }

private:
    struct pending_ticket;
    using pending_ptr = std::shared_ptr<pending_ticket>;

    void handle_records(std::uint64_t offset,
                        std::span<const std::string> records);
    void handle_result(const state::ticket_result& result);

    /// Makes the folded configuration the current one and calls `on_changed_`,
    /// if its version is higher than that of the current one. Then reports the
    /// results of tickets.
    void publish();
    void append(const proto::Ticket& ticket, const pending_ptr& pending);
    void handle_timeout(const pending_ptr& pending);

    /// Reports the outcome to the submitter, unless it was reported already.
    void finish(const pending_ptr& pending, const ticket_outcome& outcome);

    /// Restarts the timer of the next snapshot. It expires after this many
    /// eighths of the retention, plus a random time of up to a sixteenth of it.
    void schedule_snapshot(int eighths_of_retention);
    void append_snapshot();

    boost::asio::io_context& context_;
    ticket_log_settings settings_;
    std::function<void(const snapshot&)> on_changed_;
    state::config_state state_;
    snapshot current_;
    std::shared_ptr<store::partition_follower> follower_;
    std::shared_ptr<store::partition_writer> writer_;

    /// True once the end of the log was reached.
    bool caught_up_ = false;

    /// Results of tickets whose configuration is not published yet.
    std::vector<state::ticket_result> unreported_;
    boost::asio::steady_timer snapshot_timer_;
    std::mt19937_64 random_;
    std::uint64_t sequence_ = 0;

    /// Tickets whose result is not known yet, by the sequence number of their
    /// record.
    std::map<std::uint64_t, pending_ptr> pending_by_sequence_;

    /// Tickets whose record was read back, by the offset at which `state_`
    /// applies it.
    std::map<std::uint64_t, pending_ptr> pending_by_offset_;
};

} // namespace tanagertrack::api

#endif
