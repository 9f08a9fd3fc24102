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

/// Offset of the fold for an offset of the store: the fold counts from 1.
constexpr std::uint64_t fold_offset = 1;

} // namespace

/// A ticket on its way into the log.
struct ticket_log::pending
{
    explicit pending(boost::asio::io_context& context) : timer(context)
    {
    }

    std::uint64_t sequence = 0;
    handler done;
    boost::asio::steady_timer timer;
    store::append_id record_append = 0;
};

ticket_log::ticket_log(boost::asio::io_context& context,
                       const store::store_service& service,
                       ticket_log_settings settings,
                       std::function<void(const snapshot&)> changed)
    : context_(context), settings_(std::move(settings)),
      changed_(std::move(changed)), current_(state_.current()),
      snapshot_timer_(context), random_(std::random_device()())
{
    const store::partition_ref place{topic, 0};
    store::follower_hooks hooks;
    hooks.on_records =
        [this](std::uint64_t offset, std::span<const std::string> its)
    {
        take_records(offset, its);
    };
    hooks.on_expired = [this](std::uint64_t first)
    {
        common::log_warning("ticket_records_expired", {{"first", first}});
        follower_->start(first);
    };
    hooks.on_reachable = [](bool reachable)
    {
        common::log_info(reachable ? "store_regained" : "store_lost",
                         {{"topic", topic}});
    };
    follower_ = std::make_shared<store::partition_follower>(
        context, service, place, store::follower_settings(), std::move(hooks));
    writer_ = std::make_shared<store::partition_writer>(
        context, service, place, settings_.writer, store::writer_settings());
}

void ticket_log::start()
{
    schedule_snapshot(1);
    follower_->start(0);
}

void ticket_log::take_records(std::uint64_t offset,
                              std::span<const std::string> its)
{
    std::vector<ticket_result> results;
    for (const auto& it : its)
    {
        proto::ConfigRecord record;
        if (!record.ParseFromString(it))
        {
            // A record that can't be read says nothing; its offset counts.
            common::log_error("ticket_record_skipped", {{"offset", offset}});
            record.Clear();
        }
        if (record.has_snapshot())
            schedule_snapshot(1);
        const auto found = record.writer() == settings_.writer
                               ? pending_.find(record.sequence())
                               : pending_.end();
        if (found != pending_.end())
            read_back_.emplace(offset + fold_offset, found->second);
        for (auto& result : state_.apply(offset + fold_offset, record))
            results.push_back(std::move(result));
        ++offset;
    }

    // Operators get their verdicts once this process uses the ticket.
    publish();
    for (const auto& it : results)
        take_verdict(it);
}

void ticket_log::take_verdict(const ticket_result& result)
{
    common::log_info("ticket_judged", {{"number", result.number},
                                       {"offset", result.offset},
                                       {"verdict", to_string(result.kind)}});
    const auto found = read_back_.find(result.offset);
    if (found == read_back_.end())
        return;
    const auto it = found->second;
    read_back_.erase(found);
    end(it, {{}, result});
}

void ticket_log::publish()
{
    const auto next = state_.current();
    if (next->version() <= current_->version())
        return;
    current_ = next;
    changed_(current_);
}

void ticket_log::submit(const std::string& document,
                        const std::string& operator_name,
                        std::chrono::milliseconds time, handler done)
{
    config::ticket parsed;
    const auto errors = config::parse_ticket("ticket", document, parsed);
    if (!errors.empty())
    {
        ticket_outcome outcome;
        for (const auto& it : errors)
            outcome.result.message += to_string(it) + '\n';
        return done(outcome);
    }
    proto::Ticket ticket;
    ticket.set_number(parsed.number);
    ticket.set_document(document);
    ticket.set_operator_name(operator_name);

    // What is refused now would be refused at any later offset too, so such a
    // ticket needs no record.
    if (state_.complete())
    {
        const auto result = state_.preview(ticket);
        const bool fixed = result.kind == ticket_result_kind::stale ||
                           result.kind == ticket_result_kind::conflict ||
                           result.kind == ticket_result_kind::same_ticket;
        if (fixed)
            return done({{}, result});
    }
    const auto it = std::make_shared<pending>(context_);
    it->done = std::move(done);
    it->timer.expires_after(time);
    it->timer.async_wait(
        [this, it](const auto& ec)
        {
            if (!ec && it->done)
                time_out(it);
        });
    append(ticket, it);
}

void ticket_log::append(const proto::Ticket& ticket, const pending_ptr& it)
{
    it->sequence = ++sequence_;
    pending_[it->sequence] = it;
    proto::ConfigRecord record;
    record.set_writer(settings_.writer);
    record.set_sequence(it->sequence);
    *record.mutable_ticket() = ticket;
    it->record_append =
        writer_->append({record.SerializeAsString()}, false,
                        [this, it](std::error_code ec, std::uint64_t)
                        {
                            if (ec && it->done)
                                return end(it, {ec, {}});
                            follower_->confirm(std::chrono::milliseconds(0),
                                               [](std::error_code) {});
                        });
}

void ticket_log::time_out(const pending_ptr& it)
{
    const bool withdrawn = writer_->withdraw(it->record_append);
    end(it, {make_error_code(withdrawn ? result_code::log_unavailable
                                       : result_code::log_append_unknown),
             {}});
}

void ticket_log::end(const pending_ptr& it, const ticket_outcome& outcome)
{
    it->timer.cancel();
    pending_.erase(it->sequence);
    const auto done = std::exchange(it->done, nullptr);
    if (done)
        done(outcome);
}

std::optional<ticket_result> ticket_log::find_result(std::uint64_t number) const
{
    auto result = state_.find_result(number);
    for (const auto& accepted : current_->accepted())
    {
        // Verdicts are forgotten; accepted numbers are kept longer.
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
    // Each process appends a snapshot after a random delay; the first one
    // resets the others. The first wait after a start is shorter: the age of
    // what was read is not known.
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
    // Room for the record's own fields and the parts' estimates.
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
