#ifndef TANAGERTRACK_ENTRY_TICKET_SUBMITTER_HPP
#define TANAGERTRACK_ENTRY_TICKET_SUBMITTER_HPP

#include "common/backoff.hpp"
#include "common/clock.hpp"
#include "services/log_service.hpp"
#include "proto/records.pb.h"
#include "state/config_state.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace tanagertrack::entry
{

/// What a ticket's operator is told.
struct ticket_outcome
{
    /// None when there is a verdict; otherwise `log_unavailable` (the ticket
    /// is certainly not in the log), `log_append_unknown` or `overloaded`.
    std::error_code error;
    state::ticket_verdict verdict;
};

using ticket_handler = std::function<void(ticket_outcome)>;

/// Appends records to `config`, one at a time, and waits until each is read
/// back. An append whose answer was lost is sent again with the same bytes;
/// the first copy in the log counts. One thread.
class ticket_submitter
{
public:
    ticket_submitter(boost::asio::io_context& context,
                     services::log_service& log, std::string writer,
                     std::uint64_t seed);

    /// Queues a ticket; `handler` is called once.
    void submit(proto::Ticket ticket, ticket_handler handler);

    /// Queues a snapshot of the configuration.
    void submit(proto::ConfigSnapshot snapshot);

    /// A record was read from the log.
    void record_read(std::uint64_t offset, const proto::ConfigRecord& record);

    /// A verdict was given.
    void verdict_given(const state::ticket_verdict& verdict);

private:
    struct open_record
    {
        std::uint64_t sequence = 0;
        std::string data;
        ticket_handler handler;
        common::time_point give_up;

        /// An append may have been received.
        bool sent = false;

        /// The log gave its offset: it needs no further append.
        bool appended = false;

        /// Offset of the first copy that was read back; 0: none yet.
        std::uint64_t offset = 0;
    };

    void add(proto::ConfigRecord record, ticket_handler handler);
    void append();
    void finish_append(std::uint64_t sequence, std::error_code ec);
    void wait(std::chrono::milliseconds delay);
    void end_front(ticket_outcome outcome);

    services::log_service& log_;
    std::string writer_;
    common::backoff backoff_;
    boost::asio::steady_timer timer_;
    std::deque<open_record> records_;
    std::uint64_t sequence_ = 0;

    /// Expires with this object; guards answers that are on their way.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace tanagertrack::entry

#endif
