#include "api/ticket_log.hpp"

#include "common/logging.hpp"
#include "common/result_code.hpp"
#include "config/ticket.hpp"

#include <boost/asio/io_context.hpp>

#include <utility>
#include <vector>

namespace tanagertrack::api
{

using common::result_code;
using state::ticket_result;
using state::ticket_result_kind;

namespace
{

constexpr auto topic = "tickets";

/// Offset in the fold of the record at offset 0 of the store:
/// `state::config_state` counts from 1.
constexpr std::uint64_t first_fold_offset = 1;

} // namespace

/// A submitted ticket whose result is not known yet.
struct ticket_log::pending_ticket
{
    explicit pending_ticket(boost::asio::io_context& context) : timer(context)
    {
    }

    /// Sequence number of the ticket's record.
    std::uint64_t sequence = 0;
    handler done;
    boost::asio::steady_timer timer;

    /// Id of the record's append, needed to withdraw it.
    store::append_id record_append = 0;
};

ticket_log::ticket_log(boost::asio::io_context& context,
                       const store::store_service& service,
                       ticket_log_settings settings,
                       std::function<void(const snapshot&)> on_changed)
    : context_(context), settings_(std::move(settings)),
      on_changed_(std::move(on_changed)), current_(state_.current()),
      snapshot_timer_(context), random_(std::random_device()())
{
    const store::partition_ref partition{topic, 0};
    store::follower_hooks hooks;
    hooks.on_records =
        [this](std::uint64_t offset, std::span<const std::string> records)
    {
        handle_records(offset, records);
    };
    hooks.on_expired = [this](std::uint64_t first)
    {
        common::log_warning("ticket_records_expired", {{"first", first}});
        follower_->start(first);
    };
    hooks.on_caught_up = [this]
    {
        caught_up_ = true;
        publish();
    };
    hooks.on_reachable = [](bool reachable)
    {
        common::log_info(reachable ? "store_regained" : "store_lost",
                         {{"topic", topic}});
    };
    follower_ = std::make_shared<store::partition_follower>(
        context, service, partition, store::follower_settings(),
        std::move(hooks));
    writer_ = std::make_shared<store::partition_writer>(
        context, service, partition, settings_.writer,
        store::writer_settings());
}

void ticket_log::start()
{
    schedule_snapshot(1);
    follower_->start(0);
}

void ticket_log::handle_records(std::uint64_t offset,
                                std::span<const std::string> records)
{
    for (const auto& it : records)
    {
        proto::ConfigRecord record;
        if (!record.ParseFromString(it))
        {
            // An unreadable record is applied as an empty one, so that its
            // offset is counted.
            common::log_error("ticket_record_skipped", {{"offset", offset}});
            record.Clear();
        }
        if (record.has_snapshot())
            schedule_snapshot(1);
        const auto found = record.writer() == settings_.writer
                               ? pending_by_sequence_.find(record.sequence())
                               : pending_by_sequence_.end();
        if (found != pending_by_sequence_.end())
            pending_by_offset_.emplace(offset + first_fold_offset,
                                       found->second);
        for (auto& result : state_.apply(offset + first_fold_offset, record))
            unreported_.push_back(std::move(result));
        ++offset;
    }
    if (caught_up_)
        publish();
}

void ticket_log::handle_result(const ticket_result& result)
{
    common::log_info("ticket_judged", {{"number", result.number},
                                       {"offset", result.offset},
                                       {"verdict", to_string(result.kind)}});
    const auto found = pending_by_offset_.find(result.offset);
    if (found == pending_by_offset_.end())
        return;
    const auto pending = found->second;
    pending_by_offset_.erase(found);
    finish(pending, {{}, result});
}

void ticket_log::publish()
{
    const auto next = state_.current();
    if (next->version() > current_->version())
    {
        current_ = next;
        on_changed_(current_);
    }

    // Operators get a result only once this process uses the configuration that
    // follows from it.
    for (const auto& it : std::exchange(unreported_, {}))
        handle_result(it);
}

void ticket_log::submit(const std::string& document,
                        const std::string& operator_name,
                        std::chrono::milliseconds timeout, handler done)
{
    config::ticket parsed;
    const auto errors = config::parse_ticket("ticket", document, parsed);
    if (!errors.empty())
    {
        // The default kind of a result is `invalid`.
        ticket_outcome outcome;
        for (const auto& it : errors)
            outcome.result.message += to_string(it) + '\n';
        return done(outcome);
    }
    proto::Ticket ticket;
    ticket.set_number(parsed.number);
    ticket.set_document(document);
    ticket.set_operator_name(operator_name);

    // A ticket that is refused now would also be refused at any later offset,
    // and one that was accepted before needs no second record.
    if (state_.complete())
    {
        const auto result = state_.preview(ticket);
        const bool is_final = result.kind == ticket_result_kind::stale ||
                              result.kind == ticket_result_kind::conflict ||
                              result.kind == ticket_result_kind::same_ticket;
        if (is_final)
            return done({{}, result});
    }
    const auto pending = std::make_shared<pending_ticket>(context_);
    pending->done = std::move(done);
    pending->timer.expires_after(timeout);
    pending->timer.async_wait(
        [this, pending](const auto& ec)
        {
            if (!ec && pending->done)
                handle_timeout(pending);
        });
    append(ticket, pending);
}

void ticket_log::append(const proto::Ticket& ticket, const pending_ptr& pending)
{
    pending->sequence = ++sequence_;
    pending_by_sequence_[pending->sequence] = pending;
    proto::ConfigRecord record;
    record.set_writer(settings_.writer);
    record.set_sequence(pending->sequence);
    *record.mutable_ticket() = ticket;
    pending->record_append =
        writer_->append({record.SerializeAsString()}, false,
                        [this, pending](std::error_code ec, std::uint64_t)
                        {
                            if (ec && pending->done)
                                return finish(pending, {ec, {}});

                            // Read the record back without delay.
                            follower_->read_soon();
                        });
}

void ticket_log::handle_timeout(const pending_ptr& pending)
{
    const bool withdrawn = writer_->withdraw(pending->record_append);
    finish(pending,
           {make_error_code(withdrawn ? result_code::log_unavailable
                                      : result_code::log_append_unknown),
            {}});
}

void ticket_log::finish(const pending_ptr& pending,
                        const ticket_outcome& outcome)
{
    pending->timer.cancel();
    pending_by_sequence_.erase(pending->sequence);
    const auto done = std::exchange(pending->done, nullptr);
    if (done)
        done(outcome);
}

std::optional<ticket_result> ticket_log::find_result(std::uint64_t number) const
{
    auto result = state_.find_result(number);
    for (const auto& accepted : current_->accepted())
    {
        // Fewer results are kept than numbers of accepted tickets.
        if (result || accepted.number() != number)
            continue;
        result.emplace();
        result->kind = ticket_result_kind::accepted;
        result->number = number;
        result->offset = accepted.offset();
    }
    return result;
}

proto::ConfigSnapshot ticket_log::export_state() const
{
    proto::ConfigSnapshot state;
    state.set_through_offset(state_.read_through());
    *state.mutable_config() = *current_;
    return state;
}

void ticket_log::import_state(const proto::ConfigSnapshot& state)
{
    if (!state_.load(state.config(), state.through_offset()))
        return;
    common::log_info("tickets_from_peer",
                     {{"version", state.config().version()}});
    publish();
}

void ticket_log::schedule_snapshot(int eighths_of_retention)
{
    // Each process appends a snapshot after a random delay. Reading a snapshot
    // restarts the delay, so that usually one process appends one. The delay is
    // shorter after a start and after a snapshot was read, because the age of
    // the records read is not known.
    const auto base = settings_.retention * eighths_of_retention / 8;
    std::uniform_int_distribution<std::int64_t> jitter(
        0, settings_.retention.count() / 16);
    snapshot_timer_.expires_after(base +
                                  std::chrono::milliseconds(jitter(random_)));
    snapshot_timer_.async_wait(
        [this](const auto& ec)
        {
            if (ec)
                return;
            if (state_.complete() && current_->version() > 0)
                append_snapshot();
            schedule_snapshot(4);
        });
}

void ticket_log::append_snapshot()
{
    // Half of the maximum leaves room for the record's other fields and for
    // errors in the estimated sizes of the parts.
    const auto max_bytes = settings_.max_record_bytes / 2;
    for (auto& part : state_.make_snapshot(max_bytes))
    {
        proto::ConfigRecord record;
        record.set_writer(settings_.writer);
        record.set_sequence(++sequence_);
        *record.mutable_snapshot() = std::move(part);
        writer_->append({record.SerializeAsString()}, true,
                        [](std::error_code, std::uint64_t) {});
    }
}

} // namespace tanagertrack::api
