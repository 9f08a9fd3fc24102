#include "agent/admission.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace tanagertrack::agent
{

using common::result_code;
using common::time_point;

namespace
{

/// Weight of the newest duration in the usual duration.
constexpr double duration_weight = 0.1;

void smooth(double& value, double sample)
{
    value = value == 0 ? sample : value + duration_weight * (sample - value);
}

double seconds_between(time_point from, time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

std::uint32_t batch_maximum(const admission_settings& settings)
{
    return settings.slots > settings.online_reserve
               ? settings.slots - settings.online_reserve
               : 1;
}

} // namespace

admission::admission(admission_settings settings)
    : settings_(settings), limit_(batch_maximum(settings), settings.limit)
{
    BOOST_ASSERT(settings.slots >= 1);
}

void admission::offer(admission_request request, time_point)
{
    const bool fifo = settings_.policy == admission_policy::fifo;
    auto& to = fifo || request.kind == work_class::online ? online_ : batch_;
    to.push_back(std::move(request));
}

void admission::progress(std::uint64_t id, std::size_t bytes, time_point)
{
    const auto it = running_.find(id);
    if (it != running_.end())
        it->second.request.text_bytes += bytes;
}

void admission::ended(std::uint64_t id, time_point now)
{
    const auto it = running_.find(id);
    if (it == running_.end())
    {
        const auto same = [id](const auto& queued)
        {
            return queued.id == id;
        };
        std::erase_if(online_, same);
        std::erase_if(batch_, same);
        return;
    }
    const auto seconds = seconds_between(it->second.started, now);
    if (it->second.request.kind == work_class::online)
    {
        smooth(online_seconds_, seconds);
        --running_online_;
    }
    // Long items would hide themselves in the usual time.
    else if (!it->second.is_long)
        smooth(batch_seconds_, seconds);
    long_running_ -= it->second.is_long ? 1 : 0;
    running_.erase(it);
}

std::vector<admission_action> admission::decide(time_point now)
{
    actions out;
    refuse_late(online_, out, now);
    refuse_late(batch_, out, now);
    if (settings_.policy == admission_policy::fifo)
    {
        start_fifo(out, now);
        return out;
    }
    start_online(out, now);
    refuse_late(out, now);
    mark_long(now);
    preempt_long(out, now);
    start_batch(out, now);
    return out;
}

std::vector<admission_action> admission::drain(result_code code)
{
    actions out;
    for (auto* queue : {&online_, &batch_})
    {
        for (const auto& it : *queue)
            out.push_back({admission_action::kind::refuse, it.id, code});
        queue->clear();
    }
    while (preempt_cheapest(out))
    {
    }
    return out;
}

time_point admission::next_deadline() const
{
    auto next = time_point::max();
    for (const auto* queue : {&online_, &batch_})
        for (const auto& it : *queue)
            next = std::min(next, it.deadline);
    return next;
}

void admission::set_slots(std::uint32_t slots)
{
    BOOST_ASSERT(slots >= 1);
    settings_.slots = slots;
    limit_.set_maximum(batch_maximum(settings_));
}

std::uint32_t admission::batch_room(time_point now)
{
    // Slots that online work holds can't be promised to batch: the items would
    // be refused and offered again at once.
    const auto not_online =
        settings_.slots - std::min(settings_.slots, running_online());
    const auto used = running_batch() + queued_batch();
    const auto total =
        std::min(batch_slots(now), not_online) + settings_.batch_stock;
    return total > used ? total - used : 0;
}

std::uint32_t admission::queued_online() const
{
    const auto all = static_cast<std::uint32_t>(online_.size());
    return all - (queued_batch() - static_cast<std::uint32_t>(batch_.size()));
}

std::uint32_t admission::queued_batch() const
{
    // With policy fifo batch items are in the common queue.
    const auto common = std::ranges::count(online_, work_class::batch,
                                           &admission_request::kind);
    return static_cast<std::uint32_t>(batch_.size()) +
           static_cast<std::uint32_t>(common);
}

// ---- queues ----

void admission::refuse_late(queue& from, actions& out, time_point now)
{
    std::erase_if(from,
                  [&](const auto& it)
                  {
                      if (it.deadline > now)
                          return false;
                      out.push_back({admission_action::kind::refuse, it.id,
                                     result_code::deadline_before_start});
                      return true;
                  });
}

void admission::refuse_late(actions& out, time_point now)
{
    // Request n in the queue starts when n slots were freed; each slot is
    // freed once in the usual time of a request.
    const double per_slot = online_seconds_ / settings_.slots;
    std::size_t position = 0;
    std::erase_if(online_,
                  [&](const auto& it)
                  {
                      const double wait =
                          per_slot * static_cast<double>(position + 1);
                      const bool late =
                          wait > seconds_between(now, it.deadline);
                      if (late || position >= settings_.max_queued_online)
                      {
                          out.push_back({admission_action::kind::refuse, it.id,
                                         result_code::overloaded});
                          return true;
                      }
                      ++position;
                      return false;
                  });
}

void admission::start_online(actions& out, time_point now)
{
    while (!online_.empty() && (has_free_slot() || preempt_cheapest(out)))
    {
        auto next = std::move(online_.front());
        online_.pop_front();
        start(std::move(next), out, now);
    }
}

void admission::start_batch(actions& out, time_point now)
{
    while (!batch_.empty() && has_free_slot() &&
           running_batch() < batch_slots(now))
    {
        // Items known to be long wait while too many of them run.
        auto it = batch_.begin();
        if (long_running_ >= long_limit(now))
        {
            it = std::ranges::find_if(
                batch_,
                [this](const auto& queued)
                {
                    const auto* past = history(queued.item);
                    return past == nullptr || !past->is_long;
                });
            if (it == batch_.end())
                it = batch_.begin();
        }
        auto next = std::move(*it);
        batch_.erase(it);
        start(std::move(next), out, now);
    }
    // What the stock can't hold goes back at once.
    while (batch_.size() > settings_.batch_stock)
    {
        out.push_back({admission_action::kind::refuse, batch_.back().id,
                       result_code::overloaded});
        batch_.pop_back();
    }
}

void admission::start_fifo(actions& out, time_point now)
{
    while (!online_.empty() && has_free_slot())
    {
        auto next = std::move(online_.front());
        online_.pop_front();
        start(std::move(next), out, now);
    }
    const std::size_t room =
        std::size_t(settings_.max_queued_online) + settings_.batch_stock;
    while (online_.size() > room)
    {
        out.push_back({admission_action::kind::refuse, online_.back().id,
                       result_code::overloaded});
        online_.pop_back();
    }
}

void admission::start(admission_request request, actions& out, time_point now)
{
    out.push_back({admission_action::kind::start, request.id, {}});
    running_work work{std::move(request), now, false};
    if (work.request.kind == work_class::online)
        ++running_online_;
    else if (const auto* past = history(work.request.item))
        work.is_long = past->is_long;
    long_running_ += work.is_long ? 1 : 0;
    const auto id = work.request.id;
    running_.emplace(id, std::move(work));
}

// ---- preemption ----

bool admission::preempt_cheapest(actions& out)
{
    // What is lost is the time to read the prompt and the text again. Items
    // that were preempted often come last.
    const auto cost = [this](const running_work& it)
    {
        const auto* past = history(it.request.item);
        const bool tired =
            past != nullptr && past->preemptions >= settings_.max_preemptions;
        return std::make_tuple(tired, it.request.text_bytes, -it.request.id);
    };
    const running_work* chosen = nullptr;
    for (const auto& [id, it] : running_)
        if (it.request.preemptible && it.request.kind == work_class::batch &&
            (chosen == nullptr || cost(it) < cost(*chosen)))
            chosen = &it;
    if (chosen == nullptr)
        return false;
    preempt(chosen->request.id, out);
    return true;
}

void admission::preempt(std::uint64_t id, actions& out)
{
    const auto it = running_.find(id);
    auto& past = remember(it->second.request.item);
    ++past.preemptions;
    past.is_long = past.is_long || it->second.is_long;
    long_running_ -= it->second.is_long ? 1 : 0;
    running_.erase(it);
    out.push_back({admission_action::kind::preempt, id, {}});
}

void admission::mark_long(time_point now)
{
    if (batch_seconds_ == 0)
        return;
    const double bound =
        std::max(settings_.long_factor * batch_seconds_,
                 std::chrono::duration<double>(settings_.long_minimum).count());
    for (auto& [id, it] : running_)
    {
        const bool batch = it.request.kind == work_class::batch;
        if (batch && !it.is_long && seconds_between(it.started, now) > bound)
        {
            it.is_long = true;
            ++long_running_;
        }
    }
}

void admission::preempt_long(actions& out, time_point now)
{
    // Only for items that are not long themselves, and only as many as wait.
    const auto is_short = [this](const auto& queued)
    {
        const auto* past = history(queued.item);
        return past == nullptr || !past->is_long;
    };
    auto waiting = std::ranges::count_if(batch_, is_short);
    while (waiting-- > 0 && long_running_ > long_limit(now) &&
           running_batch() >= batch_slots(now))
    {
        const running_work* chosen = nullptr;
        for (const auto& [id, it] : running_)
        {
            const auto* past = history(it.request.item);
            const bool tired = past != nullptr &&
                               past->preemptions >= settings_.max_preemptions;
            if (it.is_long && it.request.preemptible && !tired &&
                (chosen == nullptr || it.started > chosen->started))
                chosen = &it;
        }
        if (chosen == nullptr)
            return;
        preempt(chosen->request.id, out);
    }
}

std::uint32_t admission::long_limit(time_point now)
{
    const auto part = settings_.long_share * batch_slots(now);
    return std::max(1U, static_cast<std::uint32_t>(part));
}

std::uint32_t admission::batch_slots(time_point now)
{
    return settings_.policy == admission_policy::fifo ? settings_.slots
                                                      : limit_.current(now);
}

bool admission::has_free_slot() const
{
    return running_.size() < settings_.slots;
}

const admission::item_history* admission::history(const std::string& item) const
{
    const auto it = history_.find(item);
    return it != history_.end() ? &it->second : nullptr;
}

admission::item_history& admission::remember(const std::string& item)
{
    const auto [it, added] = history_.try_emplace(item);
    if (added)
        history_order_.push_back(item);
    if (history_order_.size() > settings_.max_remembered)
    {
        // The oldest is never the one just added.
        history_.erase(history_order_.front());
        history_order_.pop_front();
    }
    return it->second;
}

} // namespace tanagertrack::agent
