#include "entry/entry_core.hpp"

#include "common/hash.hpp"
#include "common/logging.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace tanagertrack::entry
{

using std::chrono::milliseconds;

namespace
{

/// Length of the random suffix of a member id, in characters.
constexpr std::size_t member_suffix_length = 8;

/// Bytes of a record that are reserved for the fields besides an item's text.
constexpr std::size_t record_overhead = 1024;

/// Maximum number of groups of waiting items that are announced to other
/// entries. Items of further groups are less urgent than the announced ones,
/// which already outnumber the slots.
constexpr std::size_t max_waiting_groups = 8;

/// Wait at other targets from which on a request that can't be repeated is sent
/// to a distrusted one: a late answer is better than a refusal.
constexpr auto distrust_cost = milliseconds(400);

routing::random_below make_random()
{
    const auto engine =
        std::make_shared<std::mt19937_64>(common::hash64(common::random_id()));
    return [engine](std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(*engine);
    };
}

bool shares_failures(const config::settings& values)
{
    return values.routing.failure_detection == "shared";
}

routing::placement_settings placement_settings(const config::settings& values)
{
    routing::placement_settings settings;
    settings.policy = routing::parse_placement_policy(values.routing.policy);
    if (shares_failures(values))
        settings.distrust = distrust_cost;
    return settings;
}

bool learns_capacity(const config::settings& values)
{
    return values.routing.capacity == "learned";
}

peers::exchange_settings exchange_settings(const config::settings& values)
{
    peers::exchange_settings settings;
    settings.shares_losses = shares_failures(values);
    return settings;
}

batch::batch_settings batch_settings(const config::settings& values)
{
    batch::batch_settings settings;
    settings.order = batch::parse_batch_order(values.batch.order);
    settings.reserve = values.batch.reserved_slots;
    settings.max_unrecorded = values.batch.max_unrecorded_results;
    settings.max_unrecorded_bytes = values.batch.max_unrecorded_bytes;
    settings.max_failures = values.batch.max_attempts;
    settings.answer_timeout = values.batch.attempt_timeout;
    settings.record_interval = values.batch.result_flush_interval;
    settings.progress.interval = values.batch.progress_interval;
    settings.max_text_bytes =
        values.store.max_record_bytes -
        std::min(values.store.max_record_bytes, record_overhead);
    return settings;
}

store::writer_settings writer_settings(const config::settings& values)
{
    store::writer_settings settings;
    settings.max_record_bytes = values.store.max_record_bytes;
    settings.max_append_bytes = values.store.max_append_bytes;
    return settings;
}

batch::job_log_settings job_settings(const config::settings& values,
                                     const std::string& member)
{
    batch::job_log_settings settings;
    settings.member = member;
    settings.reading.min_interval = values.store.jobs_interval;
    settings.writing = writer_settings(values);
    return settings;
}

batch::text_store_settings text_settings(const config::settings& values,
                                         const std::string& member)
{
    batch::text_store_settings settings;
    settings.member = member;
    settings.partitions = values.store.partitions;
    settings.writing = writer_settings(values);
    return settings;
}

batch::membership_settings member_settings(const config::settings& values)
{
    batch::membership_settings settings;
    settings.host = values.name;
    settings.address = {values.address, values.peer.port};
    settings.partitions = values.store.partitions;
    settings.session_timeout =
        std::max(settings.session_timeout, values.store.min_session);
    return settings;
}

batch::retention_settings retention_settings(const config::settings& values)
{
    batch::retention_settings settings;
    settings.jobs = values.batch.result_retention;
    settings.calls = values.batch.key_retention;
    return settings;
}

/// Share of the memory that may be held for callers: one of this many parts.
constexpr std::size_t memory_divisor = 4;

/// Descriptors that are kept for files, as the platform's documentation says.
constexpr std::size_t file_descriptors = 200;

/// Share of the other descriptors that is kept for connections to targets, the
/// store, other entries and operators: one of this many parts.
constexpr std::size_t own_connections_divisor = 4;

http::budget_settings make_budget(const config::process_settings& settings)
{
    constexpr std::size_t bytes_in_mb = 1024UL * 1024;
    http::budget_settings out;
    if (settings.max_buffered_bytes != 0)
        out.max_bytes = settings.max_buffered_bytes;
    else if (settings.memory_mb != 0)
        out.max_bytes = settings.memory_mb * bytes_in_mb / memory_divisor;
    if (settings.max_descriptors > file_descriptors)
    {
        const auto n = settings.max_descriptors - file_descriptors;
        out.max_connections = n - n / own_connections_divisor;
    }
    return out;
}

} // namespace

entry_core::entry_core(boost::asio::io_context& context,
                       const config::settings& settings,
                       common::metrics_registry& metrics, core_parts parts)
    : context_(context), settings_(settings), metrics_(metrics),
      parts_(std::move(parts)),
      caller_budget_(
          std::make_shared<http::byte_budget>(make_budget(settings.process))),
      budget_report_(metrics, *caller_budget_),
      capacities_(context, metrics, targets_, learns_capacity(settings)),
      targets_(context,
               {settings.data_centre, settings.region, settings.regions},
               make_target_hooks()),
      directory_(make_directory_hooks()), random_(make_random()),
      placement_(placement_settings(settings), random_),
      member_id_(settings.name + '-' +
                 common::random_id().substr(0, member_suffix_length)),
      guard_(context, metrics, parts_.store, parts_.quarantine_topic,
             member_id_, make_guard_hooks()),
      teams_(metrics, member_id_, settings.teams.quota_window, random_),
      online_{context,
              online_settings_,
              parts_.protocol,
              targets_,
              placement_,
              random_,
              [this](targets::target& target) { runner_.preempt_one(target); },
              [this](const routing::prompt& prompt)
              { return guard_.time_refused(prompt); },
              teams_.make_hooks()},
      batch_settings_(batch_settings(settings)),
      jobs_(context, parts_.store, job_settings(settings, member_id_)),
      texts_(context, parts_.store, text_settings(settings, member_id_)),
      recorder_(context, jobs_, texts_, batch_settings_.record_interval),
      submissions_(context, jobs_),
      batch_environment_(make_batch_environment()),
      runner_(batch_environment_, jobs_, texts_, recorder_, submissions_),
      results_(context, jobs_, texts_), calls_(context, jobs_),
      membership_(context, parts_.store, jobs_, member_settings(settings),
                  make_membership_hooks()),
      retention_(context, jobs_, retention_settings(settings)),
      checkpointer_(context, jobs_, settings.store.retention,
                    [this] { return membership_.is_leader(); }),
      record_mover_(context, jobs_, texts_, settings.store.retention,
                    [this](const std::string& member)
                    { return membership_.is_responsible_for(member); }),
      load_exchange_(context, targets_, member_id_, exchange_settings(settings),
                     make_exchange_hooks())
{
    jobs_.add_listener(make_member_listener());
}

fleet::target_directory::hooks entry_core::make_directory_hooks()
{
    fleet::target_directory::hooks hooks;
    hooks.on_available = [this](const std::string& id,
                                const fleet::target_announcement& announcement)
    {
        const bool known = targets_.find(id) != nullptr;
        targets_.add(id, announcement);
        if (!known)
            common::log_info("target_available",
                             {{"target", id},
                              {"service", announcement.services.front()},
                              {"address", to_string(announcement.address)},
                              {"data_centre", announcement.data_centre},
                              {"slots", announcement.slots},
                              {"sequence", announcement.sequence}});
        runner_.schedule_start();
    };
    hooks.on_departed =
        [this](const std::string& id, fleet::departure_reason reason)
    {
        if (const auto* target = targets_.find(id))
            capacities_.remove_target(*target);
        targets_.remove(id);
        common::log_info("target_departed",
                         {{"target", id}, {"why", to_string(reason)}});
    };
    return hooks;
}

targets::target_hooks entry_core::make_target_hooks()
{
    targets::target_hooks hooks;
    hooks.on_load_change = [this]
    {
        load_exchange_.handle_load_change();
        runner_.schedule_start();
    };
    hooks.on_attempt_end =
        [this](targets::target& target, const targets::ended_attempt& attempt)
    {
        const bool online = attempt.work == routing::work_class::online;
        metrics_
            .get_counter("tanagertrack_attempts_total",
                         "attempts at targets that have ended",
                         {{"work", online ? "online" : "batch"},
                          {"result", to_string(attempt.result)}})
            .add();
        guard_.handle_attempt_end(target, attempt);
        capacities_.handle_attempt_end(target, attempt);
    };
    hooks.on_timing = [this](const targets::target& target,
                             const routing::target_timing& timing)
    {
        capacities_.handle_timing(target, timing);
    };
    hooks.on_leaving = [this](targets::target& target)
    {
        // The id may belong to a later start of the target by now.
        if (targets_.find(target.id()) == &target)
            directory_.report_leaving(target.id());
    };
    hooks.on_answer_begun = [this](const routing::prompt& prompt)
    {
        guard_.handle_answer_begun(prompt);
    };
    return hooks;
}

quarantine::guard_hooks entry_core::make_guard_hooks()
{
    quarantine::guard_hooks hooks;
    hooks.on_observation = [this]
    {
        load_exchange_.handle_load_change();
    };
    hooks.is_leader = [this]
    {
        return membership_.is_leader();
    };
    return hooks;
}

peers::exchange_hooks entry_core::make_exchange_hooks()
{
    peers::exchange_hooks hooks;
    hooks.read_own_state = [this]
    {
        return own_state();
    };
    hooks.on_change = [this]
    {
        runner_.preempt_excess();
        runner_.schedule_start();
    };
    hooks.on_observations = [this](const quarantine::observations& received)
    {
        guard_.apply_observations(received);
    };
    hooks.read_team_uses = [this](std::size_t max)
    {
        return teams_.quota().take_uses(max, common::clock::now());
    };
    hooks.on_team_uses = [this](const std::string& member,
                                const std::vector<teams::team_use>& uses)
    {
        teams_.quota().handle_message(member, uses, common::clock::now());
    };
    hooks.take_capacity_news = [this](std::size_t n)
    {
        return capacities_.take_news(n);
    };
    hooks.on_capacity_news = [this](const routing::capacity_news& news)
    {
        capacities_.add_news(news);
    };
    return hooks;
}

batch::environment entry_core::make_batch_environment()
{
    return {
        context_,
        batch_settings_,
        parts_.protocol,
        targets_,
        placement_,
        [this] { return configuration_; },
        parts_.classify_failure,
        [this](const targets::target& target)
        {
            return load_exchange_.loads().items_preempted_first(target.key(),
                                                                member_id_);
        },
        [this](const std::string& service, const routing::urgency_key& urgency)
        {
            const auto& loads = load_exchange_.loads();
            return batch_settings_.order == batch::batch_order::by_entry
                       ? loads.entries_ahead(service, member_id_)
                       : loads.items_ahead(service, urgency, member_id_);
        },
        [this](const routing::prompt& prompt)
        {
            return guard_.time_refused(prompt);
        }};
}

batch::membership_hooks entry_core::make_membership_hooks()
{
    batch::membership_hooks hooks;
    hooks.store_contact = [this](const std::string& member)
    {
        return load_exchange_.loads().store_contact(member);
    };
    hooks.last_store_contact = [this]
    {
        return load_exchange_.loads().last_store_contact();
    };
    hooks.set_paused = [this](bool paused)
    {
        runner_.set_paused(paused);
    };
    return hooks;
}

batch::job_listener entry_core::make_member_listener()
{
    batch::job_listener listener;
    listener.changes.on_member = [this](const state::batch_member& member)
    {
        common::log_info(member.departed ? "member_gone" : "member_started",
                         {{"member", member.id}, {"address", member.address}});
        if (member.departed)
        {
            load_exchange_.remove_peer(member.id);
            teams_.quota().remove_entry(member.id);
            return;
        }
        load_exchange_.add_peer(member.id, {member.address, member.port});
        teams_.quota().add_entry(member.id, common::clock::now());
    };
    listener.on_loaded = [this]
    {
        jobs_.table().for_each_member(
            [this](const state::batch_member& member)
            {
                load_exchange_.add_peer(member.id,
                                        {member.address, member.port});
                teams_.quota().add_entry(member.id, common::clock::now());
            });
        teams_.quota().set_entries_known();
    };
    return listener;
}

peers::own_state entry_core::own_state()
{
    return {runner_.waiting(max_waiting_groups), parts_.store.last_contact(),
            guard_.recent_observations(common::clock::now())};
}

void entry_core::start()
{
    const common::endpoint address{settings_.address, settings_.peer.port};
    if (const auto ec = load_exchange_.start(address))
        common::log_warning(
            "peer_listen_failed",
            {{"address", to_string(address)}, {"what", ec.message()}});
    guard_.start();
    capacities_.start();
    jobs_.start();
    runner_.start();
    membership_.start();
    retention_.start();
    checkpointer_.start();
    record_mover_.start();
}

void entry_core::stop()
{
    runner_.hand_over([this] { membership_.stop(); });
}

void entry_core::run_checks(common::time_point now)
{
    directory_.expire(now);
    teams_.run_checks(now);
    caller_budget_->run_checks(now);
    update_gauges();
    budget_report_.write(now);
    capacities_.update_gauges();
}

bool entry_core::apply(const fleet::configuration_ptr& configuration)
{
    if (configuration_ && configuration->version() <= configuration_->version())
        return false;
    configuration_ = configuration;
    common::log_info("configuration_applied",
                     {{"version", configuration_->version()},
                      {"routes", configuration_->routes().size()},
                      {"services", configuration_->services().size()}});
    teams_.apply(configuration_);
    if (on_configured_)
        on_configured_(configuration_);
    runner_.schedule_start();
    return true;
}

void entry_core::update_gauges()
{
    const auto counts = runner_.counts();
    const auto set = [this](std::string_view name, std::string_view help,
                            std::uint64_t value)
    {
        metrics_.get_gauge(name, help).set(static_cast<std::int64_t>(value));
    };
    set("tanagertrack_batch_pending_items", "loaded items that wait",
        counts.pending);
    set("tanagertrack_batch_running_items", "items under way", counts.running);
    set("tanagertrack_batch_preempted", "items that gave way to online work",
        counts.preempted);
    set("tanagertrack_batch_done", "items done by this process", counts.done);
    set("tanagertrack_batch_dead", "items given up by this process",
        counts.dead);
    set("tanagertrack_jobs", "jobs that are kept", jobs_.table().size());
    set("tanagertrack_targets", "targets in use", targets_.size());
    set("tanagertrack_quarantined_prompts",
        "verdicts on parts of prompts that crash targets",
        guard_.verdict_count());
    set("tanagertrack_config_version", "configuration in effect",
        configuration_ ? configuration_->version() : 0);
    set("tanagertrack_log_lines_dropped", "log lines that a slow reader lost",
        common::dropped_log_lines());
}

} // namespace tanagertrack::entry
