#include "entry/entry_core.hpp"

#include "common/hash.hpp"
#include "common/logging.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <utility>

namespace tanagertrack::entry
{

using std::chrono::milliseconds;

namespace
{

/// Digits of the random part of a process's name.
constexpr std::size_t member_digits = 8;

/// Room in a record for what stands beside the text of an item.
constexpr std::size_t record_frame = 1024;

/// Groups of waiting items that other entries are told of. Those behind them
/// are less urgent than more items than there are places.
constexpr std::size_t max_waiting_groups = 8;

routing::random_below make_random()
{
    const auto engine =
        std::make_shared<std::mt19937_64>(common::hash64(common::random_id()));
    return [engine](std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(*engine);
    };
}

routing::placement_settings placement_settings(const config::settings& it)
{
    routing::placement_settings settings;
    settings.policy = routing::parse_placement_policy(it.routing.policy);
    return settings;
}

batch::batch_settings batch_settings(const config::settings& it)
{
    batch::batch_settings settings;
    settings.order = batch::parse_batch_order(it.batch.order);
    settings.reserve = it.batch.reserved_slots;
    settings.max_unrecorded = it.batch.max_unrecorded_results;
    settings.max_unrecorded_bytes = it.batch.max_unrecorded_bytes;
    settings.max_failures = it.batch.max_attempts;
    settings.answer_timeout = it.batch.attempt_timeout;
    settings.record_interval = it.batch.result_flush_interval;
    settings.progress.interval = it.batch.progress_interval;
    settings.max_text_bytes = it.store.max_record_bytes -
                              std::min(it.store.max_record_bytes, record_frame);
    return settings;
}

store::writer_settings writer_settings(const config::settings& it)
{
    store::writer_settings settings;
    settings.max_record_bytes = it.store.max_record_bytes;
    settings.max_append_bytes = it.store.max_append_bytes;
    return settings;
}

batch::job_log_settings job_settings(const config::settings& it,
                                     const std::string& member)
{
    batch::job_log_settings settings;
    settings.member = member;
    settings.reading.min_interval = it.store.jobs_interval;
    settings.writing = writer_settings(it);
    return settings;
}

batch::text_store_settings text_settings(const config::settings& it,
                                         const std::string& member)
{
    batch::text_store_settings settings;
    settings.member = member;
    settings.partitions = it.store.partitions;
    settings.writing = writer_settings(it);
    return settings;
}

batch::membership_settings member_settings(const config::settings& it)
{
    batch::membership_settings settings;
    settings.host = it.name;
    settings.address = {it.address, it.peer.port};
    settings.partitions = it.store.partitions;
    settings.session_timeout =
        std::max(settings.session_timeout, it.store.min_session);
    return settings;
}

batch::retention_settings retention_settings(const config::settings& it)
{
    batch::retention_settings settings;
    settings.jobs = it.batch.result_retention;
    settings.calls = it.batch.key_retention;
    return settings;
}

} // namespace

entry_core::entry_core(boost::asio::io_context& context,
                       const config::settings& settings,
                       common::metrics_registry& metrics, core_parts parts)
    : context_(context), settings_(settings), metrics_(metrics),
      parts_(std::move(parts)),
      targets_(context,
               {settings.data_centre, settings.region, settings.regions},
               [this]
               {
                   exchange_.handle_load_change();
                   items_.schedule_start();
               }),
      directory_(make_directory_hooks()), random_(make_random()),
      place_(placement_settings(settings), random_),
      online_{context,
              online_settings_,
              parts_.protocol,
              targets_,
              place_,
              random_,
              [this](targets::target& it)
              {
                  items_.preempt_one(it);
              }},
      member_(settings.name + '-' +
              common::random_id().substr(0, member_digits)),
      batch_settings_(batch_settings(settings)),
      jobs_(context, parts_.store, job_settings(settings, member_)),
      texts_(context, parts_.store, text_settings(settings, member_)),
      recorder_(context, jobs_, texts_, batch_settings_.record_interval),
      submissions_(context, jobs_), batch_(make_batch_environment()),
      items_(batch_, jobs_, texts_, recorder_, submissions_),
      results_(context, jobs_, texts_), calls_(context, jobs_),
      members_(context, parts_.store, jobs_, member_settings(settings),
               make_membership_hooks()),
      retention_(context, jobs_, retention_settings(settings)),
      checkpoints_(context, jobs_, settings.store.retention,
                   [this] { return members_.is_leader(); }),
      mover_(context, jobs_, texts_, settings.store.retention,
             [this](const std::string& it)
             { return members_.is_responsible_for(it); }),
      exchange_(
          context, targets_, member_, peers::exchange_settings(),
          [this] { return own_state(); },
          [this]
          {
              items_.preempt_excess();
              items_.schedule_start();
          })
{
    jobs_.add_listener(make_member_listener());
}

fleet::target_directory::hooks entry_core::make_directory_hooks()
{
    fleet::target_directory::hooks hooks;
    hooks.on_available =
        [this](const std::string& id, const fleet::target_announcement& it)
    {
        const bool known = targets_.find(id) != nullptr;
        targets_.add(id, it);
        if (!known)
            common::log_info("target_available",
                             {{"target", id},
                              {"service", it.services.front()},
                              {"address", to_string(it.address)},
                              {"data_centre", it.data_centre},
                              {"slots", it.slots},
                              {"sequence", it.sequence}});
        items_.schedule_start();
    };
    hooks.on_departed = [this](const std::string& id, fleet::departure why)
    {
        targets_.remove(id);
        common::log_info("target_departed",
                         {{"target", id}, {"why", to_string(why)}});
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
        place_,
        [this] { return configuration_; },
        parts_.classify_failure,
        [this](const targets::target& it)
        { return exchange_.loads().items_preempted_first(it.key(), member_); },
        [this](const std::string& service, const routing::urgency_key& urgency)
        {
            const auto& loads = exchange_.loads();
            return batch_settings_.order == batch::batch_order::by_entry
                       ? loads.entries_ahead(service, member_)
                       : loads.items_ahead(service, urgency, member_);
        }};
}

batch::membership_hooks entry_core::make_membership_hooks()
{
    batch::membership_hooks hooks;
    hooks.store_contact = [this](const std::string& it)
    {
        return exchange_.loads().store_contact(it);
    };
    hooks.last_store_contact = [this]
    {
        return exchange_.loads().last_store_contact();
    };
    hooks.set_paused = [this](bool paused)
    {
        items_.set_paused(paused);
    };
    return hooks;
}

batch::job_listener entry_core::make_member_listener()
{
    batch::job_listener listener;
    listener.changes.on_member = [this](const state::batch_member& it)
    {
        common::log_info(it.departed ? "member_gone" : "member_started",
                         {{"member", it.id}, {"address", it.address}});
        if (it.departed)
            exchange_.remove_peer(it.id);
        else
            exchange_.add_peer(it.id, {it.address, it.port});
    };
    listener.on_loaded = [this]
    {
        jobs_.table().for_each_member(
            [this](const state::batch_member& it) {
                exchange_.add_peer(it.id, {it.address, it.port});
            });
    };
    return listener;
}

peers::own_state entry_core::own_state() const
{
    return {items_.waiting(max_waiting_groups), parts_.store.last_contact()};
}

void entry_core::start()
{
    const common::endpoint address{settings_.address, settings_.peer.port};
    if (const auto ec = exchange_.start(address))
        common::log_warning(
            "peer_listen_failed",
            {{"address", to_string(address)}, {"what", ec.message()}});
    jobs_.start();
    items_.start();
    members_.start();
    retention_.start();
    checkpoints_.start();
    mover_.start();
}

void entry_core::stop()
{
    items_.hand_over([this] { members_.stop(); });
}

void entry_core::tick(common::time_point now)
{
    directory_.expire(now);
    update_gauges();
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
    if (configured_)
        configured_(configuration_);
    items_.schedule_start();
    return true;
}

void entry_core::update_gauges()
{
    const auto counts = items_.counts();
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
    set("tanagertrack_config_version", "configuration in effect",
        configuration_ ? configuration_->version() : 0);
    set("tanagertrack_log_lines_dropped", "log lines that a slow reader lost",
        common::dropped_log_lines());
}

} // namespace tanagertrack::entry
