#include "quota_fleet.hpp"

#include <algorithm>

namespace tanagertrack::test
{

using std::chrono::milliseconds;

namespace
{

constexpr std::uint64_t team = 77;

/// Steps for which messages can be on their way.
constexpr std::size_t max_flight_steps = 256;

/// Messages that wait for a frozen process.
constexpr std::size_t max_waiting = 250;

/// Requests that wait for a frozen process.
constexpr unsigned max_queued_requests = 400;

constexpr int max_interval_ms = 400;
constexpr std::size_t max_uses = 64;

} // namespace

quota_fleet::quota_fleet(std::size_t entries, teams::quota_settings settings,
                         std::uint64_t seed)
    : weights(entries, 1.0), parts(entries, 0), settings_(settings),
      random_(seed), nodes_(entries), in_flight_(max_flight_steps)
{
    for (std::size_t i = 0; i < entries; ++i)
        nodes_[i].name = "e" + std::to_string(i) + "-0";
    for (std::size_t i = 0; i < entries; ++i)
    {
        auto& it = nodes_[i];
        it.quota =
            std::make_unique<teams::fleet_quota>(it.name, settings_, time());
        for (const auto& other : nodes_)
            it.quota->add_entry(other.name, time());
        it.quota->set_entries_known();
    }
}

common::time_point quota_fleet::time() const
{
    return common::time_point(milliseconds(1'000'000 + now_ms_));
}

void quota_fleet::freeze(std::size_t entry)
{
    nodes_[entry].frozen = true;
}

void quota_fleet::resume(std::size_t entry)
{
    auto& it = nodes_[entry];
    it.frozen = false;
    const bool requests_first = random_() % 2 == 0;
    const auto handle_requests = [&]
    {
        for (; it.queued_requests > 0; --it.queued_requests)
            handle_request(entry);
    };
    if (requests_first)
        handle_requests();
    while (!it.waiting.empty())
    {
        deliver(it.waiting.front());
        it.waiting.pop_front();
    }
    handle_requests();
}

void quota_fleet::restart(std::size_t entry, int known_after_ms)
{
    auto& it = nodes_[entry];
    const auto replaced = it.name;
    ++it.starts;
    it.name = "e" + std::to_string(entry) + "-" + std::to_string(it.starts);
    it.frozen = false;
    it.limit = {};
    it.waiting.clear();
    it.quota = std::make_unique<teams::fleet_quota>(it.name, settings_, time());
    introductions_.push_back(
        {now_ms_ + known_after_ms, entry, it.name, replaced});
}

void quota_fleet::introduce(const introduction& it)
{
    for (auto& other : nodes_)
    {
        other.quota->add_entry(it.name, time());
        other.quota->remove_entry(it.replaced);
        nodes_[it.entry].quota->add_entry(other.name, time());
    }
    nodes_[it.entry].quota->set_entries_known();
}

void quota_fleet::send(std::size_t from)
{
    auto& it = nodes_[from];
    it.changed = false;
    it.sent_ms = now_ms_;
    const auto uses = std::make_shared<std::vector<teams::team_use>>(
        it.quota->take_uses(max_uses, time()));
    for (std::size_t to = 0; to < nodes_.size(); ++to)
    {
        if (to == from)
            continue;
        ++messages_sent;
        uses_sent += uses->size();
        if (parts[to] != parts[from] ||
            (links.loss > 0 &&
             std::uniform_real_distribution<>()(random_) < links.loss))
            continue;
        const int delay = std::uniform_int_distribution<int>(
            links.min_delay_ms, links.max_delay_ms)(random_);
        const auto steps = static_cast<std::size_t>(
            (now_ms_ + std::max(delay, step_ms)) / step_ms);
        in_flight_[steps % max_flight_steps].push_back(
            {now_ms_ + delay, to, it.name, uses});
    }
}

void quota_fleet::deliver(const message& it)
{
    nodes_[it.to].quota->handle_message(it.from, *it.uses, time());
}

void quota_fleet::handle_request(std::size_t entry)
{
    auto& it = nodes_[entry];
    if (it.frozen)
    {
        if (it.queued_requests < max_queued_requests)
            ++it.queued_requests;
        return;
    }
    const bool is_configured = it.limit.requests_per_second > 0;
    if (!is_configured || it.quota->try_admit(team, time()))
    {
        ++refused.back();
        return;
    }
    it.changed = true;
    if (returned > 0 && std::uniform_real_distribution<>()(random_) < returned)
        it.quota->give_back(team);
    else
        ++ran.back();
}

void quota_fleet::step()
{
    now_ms_ += step_ms;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        auto& it = nodes_[i];
        const auto current = limit(i, now_ms_);
        if (it.frozen ||
            (it.limit.requests_per_second == current.requests_per_second &&
             it.limit.burst == current.burst))
            continue;
        it.limit = current;
        it.quota->set_limits({{team, current}}, time());
    }
    ran.push_back(0);
    refused.push_back(0);
    for (const auto& it : introductions_)
    {
        if (it.at_ms <= now_ms_ && nodes_[it.entry].name == it.name)
            introduce(it);
    }
    std::erase_if(introductions_, [this](const introduction& it)
                  { return it.at_ms <= now_ms_; });

    auto& arriving = in_flight_[static_cast<std::size_t>(now_ms_ / step_ms) %
                                max_flight_steps];
    for (const auto& it : arriving)
    {
        auto& to = nodes_[it.to];
        if (!to.frozen)
            deliver(it);
        else if (to.waiting.size() < max_waiting)
            to.waiting.push_back(it);
    }
    arriving.clear();

    const double expected = rate(now_ms_) * step_ms / 1000;
    if (expected > 0)
    {
        const auto n = std::poisson_distribution<int>(expected)(random_);
        std::discrete_distribution<std::size_t> entry(weights.begin(),
                                                      weights.end());
        for (int i = 0; i < n; ++i)
            handle_request(entry(random_));
    }

    const int min_interval = std::min(
        max_interval_ms, std::max(15, static_cast<int>(nodes_.size() / 2)));
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        const auto& it = nodes_[i];
        const int since = now_ms_ - it.sent_ms;
        if (!it.frozen &&
            (since >= max_interval_ms || (it.changed && since >= min_interval)))
            send(i);
    }
}

} // namespace tanagertrack::test
