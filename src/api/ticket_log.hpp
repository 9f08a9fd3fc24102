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

namespace tanagertrack::api
{

/// What a ticket's operator is told.
struct ticket_outcome
{
    /// None when there is a verdict; otherwise `log_unavailable` (the ticket
    /// is certainly not in the log), `log_append_unknown` or `ring_full`.
    std::error_code error;
    state::ticket_result result;
};

/// Settings of the log of tickets.
struct ticket_log_settings
{
    /// Unique for each start of a process.
    std::string writer;
    std::size_t max_record_bytes = 256UL * 1024;

    /// Time for which the store keeps records.
    std::chrono::milliseconds retention{std::chrono::minutes(5)};
};

/// The topic of change tickets: follows it, keeps the configuration that
/// follows from it, and appends tickets and snapshots. One thread.
class ticket_log
{
public:
    using snapshot = state::config_state::snapshot;
    using handler = std::function<void(const ticket_outcome&)>;

    /// `changed` is called with each new version.
    ticket_log(boost::asio::io_context& context,
               const store::store_service& service,
               ticket_log_settings settings,
               std::function<void(const snapshot&)> changed);

    ticket_log(const ticket_log&) = delete;
    ticket_log& operator=(const ticket_log&) = delete;

    /// Starts to follow.
    void start();

    /// Judges a ticket, through the log where that is needed. `done` is called
    /// once, by `deadline`.
    void submit(const std::string& document, const std::string& operator_name,
                std::chrono::milliseconds time, handler done);

    /// Verdict on the tickets of a number; nothing if it is not known.
    std::optional<state::ticket_result> find_result(std::uint64_t number) const;

    /// Configuration for a process that can't read the log.
    proto::ConfigSnapshot export_state() const;

    /// Takes such a configuration.
    void import_state(const proto::ConfigSnapshot& state);

    const snapshot& current() const
    {
        return current_;
    }

private:
    struct pending;
    using pending_ptr = std::shared_ptr<pending>;

    void take_records(std::uint64_t offset, std::span<const std::string> its);
    void take_verdict(const state::ticket_result& result);
    void publish();
    void append(const proto::Ticket& ticket, const pending_ptr& it);
    void time_out(const pending_ptr& it);
    void end(const pending_ptr& it, const ticket_outcome& outcome);
    void schedule_snapshot(int eighths_of_retention);
    void append_snapshot();

    boost::asio::io_context& context_;
    ticket_log_settings settings_;
    std::function<void(const snapshot&)> changed_;
    state::config_state state_;
    snapshot current_;
    std::shared_ptr<store::partition_follower> follower_;
    std::shared_ptr<store::partition_writer> writer_;
    boost::asio::steady_timer snapshot_timer_;
    std::mt19937_64 random_;
    std::uint64_t sequence_ = 0;

    /// Tickets that wait to be read back, by their record's number, and by
    /// its offset once that is known.
    std::map<std::uint64_t, pending_ptr> pending_;
    std::map<std::uint64_t, pending_ptr> read_back_;
};

} // namespace tanagertrack::api

#endif
