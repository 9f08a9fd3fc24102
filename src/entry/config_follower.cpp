#include "entry/config_follower.hpp"

#include "common/duty_thread.hpp"
#include "common/hash.hpp"
#include "common/logging.hpp"
#include "common/metrics.hpp"
#include "common/result_code.hpp"
#include "entry/stream_follower.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <mutex>
#include <random>
#include <utility>
#include <vector>

namespace tanagertrack::entry
{

using common::result_code;
using state::ticket_verdict_kind;

namespace
{

follower_settings make_follower_settings(const config::settings& it)
{
    follower_settings settings;
    settings.stream = "config";
    settings.wait = it.platform.log_read_wait;
    settings.seed = std::random_device()();
    return settings;
}

} // namespace

struct config_follower::impl
{
    explicit impl(follower_environment environment)
        : env(std::move(environment)), context(env.log_thread.context()),
          snapshot_timer(context), random(std::random_device()()),
          submitter(context, env.log,
                    env.settings.name + '.' + common::random_id(), random()),
          follower(context, env.log, make_follower_settings(env.settings),
                   make_hooks()),
          version_gauge(env.metrics.get_gauge(
              "tanagertrack_config_version",
              "offset of the last accepted ticket in effect")),
          read_errors(
              env.metrics.get_counter("tanagertrack_config_read_errors_total",
                                      "reads of the config stream that failed"))
    {
    }

    follower_hooks make_hooks()
    {
        follower_hooks hooks;
        hooks.on_records =
            [this](std::vector<services::log_record> records, std::uint64_t)
        {
            std::vector<state::ticket_verdict> verdicts;
            for (const auto& it : records)
                apply(it, verdicts);

            // Operators get their verdicts once this entry uses the ticket.
            share();
            for (const auto& it : verdicts)
                submitter.verdict_given(it);
        };
        hooks.on_gap = [this](std::uint64_t from, std::uint64_t first)
        {
            common::log_warning("config_records_expired",
                                {{"from", from}, {"first", first}});
            ask_peers();
        };
        hooks.on_error = [this](std::error_code ec)
        {
            read_errors.add();
            common::log_warning("config_read_failed", {{"what", ec.message()}});
            ask_peers();
        };
        return hooks;
    }

    void ask_peers() const
    {
        const bool known = state.complete() && state.current()->version() > 0;
        if (!known && env.ask_peers)
            env.ask_peers();
    }

    /// Applies a record and adds the verdicts that follow from it.
    void apply(const services::log_record& it,
               std::vector<state::ticket_verdict>& verdicts)
    {
        proto::ConfigRecord record;
        if (!record.ParseFromString(it.data))
        {
            // A record that can't be read says nothing; its offset counts.
            common::log_error("config_record_not_valid",
                              {{"offset", it.offset}});
            record.Clear();
        }
        if (record.has_snapshot())
            schedule_snapshot(1);
        submitter.record_read(it.offset, record);
        for (auto& verdict : state.apply(it.offset, record))
        {
            common::log_info("ticket_judged",
                             {{"number", verdict.number},
                              {"offset", verdict.offset},
                              {"verdict", to_string(verdict.kind)}});
            verdicts.push_back(std::move(verdict));
        }
    }

    /// Publishes the state to the process and for other entries.
    void share()
    {
        const auto current = state.current();
        {
            const std::lock_guard lock(mutex);
            shared = current;
            shared_through = state.read_through();
            shared_complete = state.complete();
        }
        if (current->version() > 0 && env.config.publish(current))
        {
            version_gauge.set(static_cast<std::int64_t>(current->version()));
            common::log_info("config_in_effect",
                             {{"version", current->version()}});
        }
    }

    /// Appends a snapshot after half of the log's retention without one. Each
    /// entry does so after a random delay; the first one resets the others.
    /// The first wait after a start is shorter: the age of what was read is
    /// not known.
    void schedule_snapshot(int eighths_of_retention)
    {
        const auto retention = env.settings.batch.log_retention;
        const auto base = retention * eighths_of_retention / 8;
        std::uniform_int_distribution<std::int64_t> jitter(
            0, retention.count() / 16);
        snapshot_timer.expires_after(base +
                                     std::chrono::milliseconds(jitter(random)));
        snapshot_timer.async_wait(
            [this](const auto& ec)
            {
                if (ec)
                    return;
                if (state.complete() && state.current()->version() > 0)
                    append_snapshot();
                schedule_snapshot(4);
            });
    }

    void append_snapshot()
    {
        // Room for the record's own fields and the parts' estimates.
        const auto max_bytes = env.settings.platform.max_record_bytes / 2;
        for (auto& part : state.make_snapshot(max_bytes))
            submitter.submit(std::move(part));
    }

    void submit(proto::Ticket ticket, ticket_handler handler)
    {
        // What is refused now would be refused at any later offset too, so
        // such a ticket needs no record.
        if (state.complete())
        {
            auto verdict = state.preview(ticket);
            const bool fixed = verdict.kind == ticket_verdict_kind::stale ||
                               verdict.kind == ticket_verdict_kind::conflict ||
                               verdict.kind == ticket_verdict_kind::same_ticket;
            if (fixed)
                return handler({{}, std::move(verdict)});
        }
        submitter.submit(std::move(ticket), std::move(handler));
    }

    follower_environment env;
    boost::asio::io_context& context;
    boost::asio::steady_timer snapshot_timer;
    std::mt19937_64 random;
    state::config_state state;
    ticket_submitter submitter;
    stream_follower follower;
    common::gauge& version_gauge;
    common::counter& read_errors;

    mutable std::mutex mutex;
    config_view::snapshot shared;
    std::uint64_t shared_through = 0;
    bool shared_complete = false;
};

config_follower::config_follower(follower_environment environment)
    : impl_(std::make_unique<impl>(std::move(environment)))
{
}

config_follower::~config_follower() = default;

void config_follower::start()
{
    impl_->env.log_thread.post_completion(
        [it = impl_.get()]
        {
            it->schedule_snapshot(1);
            it->follower.start(1);
        });
}

void config_follower::submit(std::string document, std::string operator_name,
                             ticket_handler handler)
{
    config::ticket parsed;
    const auto errors = config::parse_ticket("ticket", document, parsed);
    if (!errors.empty())
    {
        ticket_outcome outcome;
        for (const auto& it : errors)
            outcome.verdict.message += to_string(it) + '\n';
        return handler(std::move(outcome));
    }
    proto::Ticket ticket;
    ticket.set_number(parsed.number);
    ticket.set_document(std::move(document));
    ticket.set_operator_name(std::move(operator_name));
    auto work = [it = impl_.get(), ticket = std::move(ticket), handler]
    {
        it->submit(ticket, handler);
    };
    if (!impl_->env.log_thread.post(std::move(work)))
        handler({result_code::overloaded, {}});
}

void config_follower::find_verdict(
    std::uint64_t number,
    std::function<void(std::optional<state::ticket_verdict>)> handler)
{
    auto work = [it = impl_.get(), number, handler]
    {
        auto verdict = it->state.find_verdict(number);
        const auto current = it->state.current();
        for (const auto& accepted : current->accepted())
        {
            // Verdicts are forgotten; accepted numbers are kept longer.
            if (verdict || accepted.number() != number)
                continue;
            verdict.emplace();
            verdict->kind = ticket_verdict_kind::accepted;
            verdict->number = number;
            verdict->offset = accepted.offset();
        }
        handler(std::move(verdict));
    };
    if (!impl_->env.log_thread.post(std::move(work)))
        handler(std::nullopt);
}

void config_follower::load(proto::ConfigPush push)
{
    impl_->env.log_thread.post_completion(
        [it = impl_.get(), push = std::move(push)]
        {
            if (!it->state.load(push.config(), push.read_through()))
                return;
            common::log_info("config_from_peer",
                             {{"version", push.config().version()}});
            it->share();
        });
}

std::optional<proto::ConfigPush> config_follower::make_push() const
{
    const std::lock_guard lock(impl_->mutex);
    if (!impl_->shared || !impl_->shared_complete ||
        impl_->shared->version() == 0)
        return std::nullopt;
    proto::ConfigPush push;
    *push.mutable_config() = *impl_->shared;
    push.set_read_through(impl_->shared_through);
    return push;
}

} // namespace tanagertrack::entry
