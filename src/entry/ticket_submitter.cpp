#include "entry/ticket_submitter.hpp"

#include "common/logging.hpp"
#include "common/result_code.hpp"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace tanagertrack::entry
{

using common::result_code;

namespace
{

/// Tickets that wait at a time.
constexpr std::size_t max_open_records = 64;

/// Time after which an operator is told that the log did not answer.
constexpr auto submit_timeout = std::chrono::seconds(10);

/// Time between looks at a record that was appended and not read back.
constexpr auto read_back_interval = std::chrono::milliseconds(500);

} // namespace

ticket_submitter::ticket_submitter(boost::asio::io_context& context,
                                   services::log_service& log,
                                   std::string writer, std::uint64_t seed)
    : log_(log), writer_(std::move(writer)), backoff_({}, seed), timer_(context)
{
}

void ticket_submitter::submit(proto::Ticket ticket, ticket_handler handler)
{
    if (records_.size() >= max_open_records)
        return handler({result_code::overloaded, {}});
    proto::ConfigRecord record;
    *record.mutable_ticket() = std::move(ticket);
    add(std::move(record), std::move(handler));
}

void ticket_submitter::submit(proto::ConfigSnapshot snapshot)
{
    if (records_.size() >= max_open_records)
        return;
    proto::ConfigRecord record;
    *record.mutable_snapshot() = std::move(snapshot);
    add(std::move(record), [](ticket_outcome) {});
}

void ticket_submitter::add(proto::ConfigRecord record, ticket_handler handler)
{
    record.set_writer(writer_);
    record.set_sequence(++sequence_);
    open_record it;
    it.sequence = sequence_;
    it.data = record.SerializeAsString();
    it.handler = std::move(handler);
    it.give_up = common::clock::now() + submit_timeout;
    records_.push_back(std::move(it));
    if (records_.size() == 1)
        append();
}

void ticket_submitter::append()
{
    if (records_.empty())
        return;
    auto& it = records_.front();
    if (common::clock::now() >= it.give_up)
    {
        const auto why = it.sent ? result_code::log_append_unknown
                                 : result_code::log_unavailable;
        return end_front({why, {}});
    }
    if (it.appended || it.offset != 0)
        return wait(read_back_interval);
    log_.append("config", it.data,
                [this, sequence = it.sequence, alive = std::weak_ptr(alive_)](
                    std::error_code ec, std::uint64_t)
                {
                    if (!alive.expired())
                        finish_append(sequence, ec);
                });
}

void ticket_submitter::finish_append(std::uint64_t sequence, std::error_code ec)
{
    // The record may have been read back before the answer came; then the
    // next one is started by this answer, because one append is under way at
    // a time.
    if (records_.empty() || records_.front().sequence != sequence)
        return append();
    auto& it = records_.front();
    it.appended = it.appended || !ec;
    it.sent =
        it.sent || !ec || ec != make_error_code(result_code::log_unavailable);
    if (!ec)
        backoff_.reset();
    else
        common::log_warning("ticket_append_failed", {{"what", ec.message()}});
    wait(ec ? backoff_.next() : std::chrono::milliseconds(read_back_interval));
}

void ticket_submitter::wait(std::chrono::milliseconds delay)
{
    timer_.expires_after(delay);
    timer_.async_wait(
        [this](const auto& ec)
        {
            if (!ec)
                append();
        });
}

void ticket_submitter::record_read(std::uint64_t offset,
                                   const proto::ConfigRecord& record)
{
    if (records_.empty() || record.writer() != writer_)
        return;
    auto& it = records_.front();
    if (record.sequence() != it.sequence || it.offset != 0)
        return;
    it.offset = offset;
    it.sent = true;
    if (record.has_snapshot())
        end_front({});
}

void ticket_submitter::verdict_given(const state::ticket_verdict& verdict)
{
    if (!records_.empty() && records_.front().offset == verdict.offset)
        end_front({{}, verdict});
}

void ticket_submitter::end_front(ticket_outcome outcome)
{
    auto ended = std::move(records_.front());
    records_.pop_front();
    ended.handler(std::move(outcome));

    // With an append under way, its answer starts the next record.
    wait(std::chrono::milliseconds(0));
}

} // namespace tanagertrack::entry
