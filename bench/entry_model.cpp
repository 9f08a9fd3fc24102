#include "bench/entry_model.hpp"

#include "batch/late_items.hpp"

#include <algorithm>
#include <utility>

namespace tanagertrack::bench
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace
{

/// All emulated targets run one service.
constexpr std::string_view service = "s";

/// Maximum number of groups of waiting items in a message; the same as in the
/// entries.
constexpr int max_waiting_groups = 8;

} // namespace

entry_model::entry_model(const emulation_settings& settings, std::string name,
                         routing::placement& placement)
    : settings_(settings),
      order_(batch::parse_batch_order(settings.policy.order)),
      name_(std::move(name)), placement_(placement),
      loads_(settings.fleet.targets)
{
    for (std::size_t i = 0; i < loads_.size(); ++i)
    {
        loads_[i].key = static_cast<std::uint32_t>(i);
        loads_[i].slots = settings.fleet.slots;
    }
}

peers::LoadMessage entry_model::make_message(common::time_point now)
{
    peers::LoadMessage out;
    out.set_member(name_);
    out.set_sequence(++sequence_);
    for (const auto& it : loads_)
    {
        if (it.own_online + it.own_batch == 0)
            continue;
        auto& use = *out.add_uses();
        use.set_target(it.key);
        use.set_online(it.own_online);
        use.set_batch(it.own_batch);
    }

    // Successive items with the same slack and lateness form one group.
    for (const auto& [rank, item] : pending_)
    {
        const auto slack_ms = static_cast<std::int32_t>(
            duration_cast<milliseconds>(rank.urgency.due - now).count());
        const auto n = out.waiting_size();
        const bool is_new_group =
            n == 0 || out.waiting(n - 1).slack_ms() != slack_ms ||
            out.waiting(n - 1).late() != rank.urgency.is_late;
        if (is_new_group && n == max_waiting_groups)
            break;
        auto& it =
            is_new_group ? *out.add_waiting() : *out.mutable_waiting(n - 1);
        it.set_service(peers::service_key(service));
        it.set_slack_ms(slack_ms);
        it.set_late(rank.urgency.is_late);
        it.set_count(it.count() + 1);
    }
    return out;
}

void entry_model::apply_message(const peers::LoadMessage& message,
                                common::time_point now)
{
    peers_.apply_message(message, now);
    for (std::size_t i = 0; i < loads_.size(); ++i)
        refresh_peer_use(i);
}

void entry_model::expire_peers(common::time_point now)
{
    if (!peers_.expire(now))
        return;
    for (std::size_t i = 0; i < loads_.size(); ++i)
        refresh_peer_use(i);
}

void entry_model::refresh_peer_use(std::size_t target)
{
    const auto peer_use = peers_.use_of(loads_[target].key);
    loads_[target].peer_online = peer_use.online;
    loads_[target].peer_batch = peer_use.batch;
}

void entry_model::add_use(std::size_t target, bool is_batch)
{
    auto& it = loads_[target];
    ++(is_batch ? it.own_batch : it.own_online);
}

void entry_model::remove_use(std::size_t target, bool is_batch)
{
    auto& it = loads_[target];
    --(is_batch ? it.own_batch : it.own_online);
}

void entry_model::record_unreachable(std::size_t target, common::time_point now)
{
    loads_[target].health.record_failure(routing::target_failure::unreachable,
                                         now);
}

std::vector<const routing::target_load*> entry_model::all_loads() const
{
    std::vector<const routing::target_load*> out;
    out.reserve(loads_.size());
    for (const auto& it : loads_)
        out.push_back(&it);
    return out;
}

std::optional<std::size_t> entry_model::choose_online(common::time_point now)
{
    // Never std::nullopt, because there is at least one target.
    const auto choice = placement_.choose_online(all_loads(), now);
    if (choice->wait > settings_.online.objective)
        return std::nullopt;
    return choice->index;
}

model_item_ptr entry_model::choose_item_to_preempt(std::size_t target) const
{
    const auto rank_of = [](const model_item& it)
    {
        return batch::preemption_rank{
            it.rank.urgency,
            static_cast<std::uint32_t>(it.total_events_made())};
    };
    model_item_ptr chosen;
    for (const auto& it : running_)
    {
        if (it->work->target == target &&
            (!chosen ||
             batch::is_preempted_before(rank_of(*it), rank_of(*chosen))))
            chosen = it;
    }
    return chosen;
}

std::uint32_t entry_model::count_items_to_preempt(std::size_t target) const
{
    const auto& it = loads_[target];
    if (!batch::is_oversubscribed(it))
        return 0;
    return batch::count_items_to_preempt(
        it, peers_.items_preempted_first(it.key, name_));
}

void entry_model::add_item(const model_item_ptr& item)
{
    pending_[item->rank] = item;
}

std::optional<entry_model::item_start>
entry_model::next_start(common::time_point now)
{
    if (pending_.empty())
        return std::nullopt;
    const auto item = pending_.begin()->second;
    const auto loads = all_loads();
    const auto reserve = settings_.policy.reserve;
    const auto ahead =
        order_ == batch::batch_order::by_entry
            ? peers_.entries_ahead(service, name_)
            : peers_.items_ahead(service, item->rank.urgency, name_);
    const auto reserved = reservation_.reserved_for_peers(
        routing::placement::count_batch_slots(loads, reserve, now), ahead, now);
    const auto choice = placement_.choose_batch(loads, reserve, reserved, now);
    if (!choice)
        return std::nullopt;
    return item_start{item, choice->index};
}

void entry_model::handle_start(const model_item_ptr& item, engine_work_ptr work,
                               common::time_point now)
{
    pending_.erase(item->rank);
    running_.insert(item);
    item->work = std::move(work);
    item->started_at = now;
    if (!item->first_started)
        item->first_started = now;
    add_use(item->work->target, true);
}

void entry_model::handle_stop(const model_item_ptr& item,
                              common::time_point now)
{
    running_.erase(item);
    remove_use(item->work->target, true);
    item->run_time = item->run_time_at(now);
    item->events_made = item->total_events_made();
    item->work = nullptr;
    pending_[item->rank] = item;
}

void entry_model::record_completion(const model_item_ptr& item,
                                    common::time_point now)
{
    running_.erase(item);
    remove_use(item->work->target, true);
    if (!item->rank.urgency.is_late)
        run_times_.record_completion(item->run_time_at(now),
                                     now - *item->first_started);
    item->work = nullptr;
}

bool entry_model::is_late(const model_item& it, common::time_point now) const
{
    const auto needed_time = it.first_started
                                 ? run_times_.time_left(it.run_time_at(now))
                                 : run_times_.turnaround();
    return it.rank.urgency.due - now < needed_time;
}

void entry_model::mark_late_items(common::time_point now)
{
    if (order_ != batch::batch_order::urgency)
        return;
    const auto is_late_now = [this, now](const auto& item)
    {
        return is_late(item, now);
    };
    batch::mark_late_items(pending_, is_late_now);
    batch::mark_late_running_items(running_, is_late_now);
}

void entry_model::record_progress(common::time_point now)
{
    const auto after = settings_.policy.progress_after;
    if (after == milliseconds(0))
        return;
    for (const auto& it : running_)
    {
        if (it->run_time_at(now) - it->recorded_run_time < after)
            continue;
        it->recorded_run_time = it->run_time_at(now);
        it->recorded_events = it->total_events_made();
    }
}

double entry_model::handle_crash()
{
    for (const auto& it : std::exchange(running_, {}))
    {
        it->events_made = it->total_events_made();
        it->work = nullptr;
        pending_[it->rank] = it;
    }
    double lost = 0;
    for (const auto& [rank, it] : pending_)
    {
        lost += it->events_made - it->recorded_events;
        it->events_made = it->recorded_events;
        it->run_time = it->recorded_run_time;
    }
    peers_ = {};
    run_times_ = {};
    reservation_ = {};
    for (std::size_t i = 0; i < loads_.size(); ++i)
    {
        loads_[i].own_online = 0;
        loads_[i].own_batch = 0;
        loads_[i].health = {};
        refresh_peer_use(i);
    }
    return lost;
}

} // namespace tanagertrack::bench
