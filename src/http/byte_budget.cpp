#include "http/byte_budget.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace tanagertrack::http
{

namespace
{

/// Share of the budget that is kept for small requests: one of this many parts.
constexpr std::size_t reserve_divisor = 4;

/// Connections that are compared when one has to be closed for a new one.
/// Bounds the time of an accept.
constexpr int max_compared_connections = 64;

} // namespace

std::string_view to_string(held_kind kind)
{
    switch (kind)
    {
    case held_kind::head:
        return "head";
    case held_kind::body:
        return "body";
    case held_kind::upload:
        return "upload";
    case held_kind::answer:
        return "answer";
    }
    return "unknown";
}

std::string_view to_string(cut_reason reason)
{
    switch (reason)
    {
    case cut_reason::refused_body:
        return "refused_body";
    case cut_reason::no_progress:
        return "no_progress";
    case cut_reason::paused:
        return "paused";
    case cut_reason::unread_answer:
        return "unread_answer";
    case cut_reason::connections:
        return "connections";
    }
    return "unknown";
}

byte_budget::byte_budget(const budget_settings& settings)
    : settings_(settings),
      common_bytes_(settings.max_bytes - settings.max_bytes / reserve_divisor),
      low_bytes_(settings.max_bytes / 2)
{
}

void byte_budget::add(holder& it, const std::string& address)
{
    BOOST_ASSERT(it.group_ == nullptr);
    it.group_ = &*groups_.try_emplace(address).first;
    ++it.group_->second.connections;
    it.is_counted_ = true;
    ++connections_;
    holders_.push_back(it);
}

void byte_budget::remove(holder& it)
{
    if (it.group_ == nullptr)
        return;
    for (std::size_t n = 0; n < held_kinds; ++n)
        set_held(it, static_cast<held_kind>(n), 0);
    if (std::exchange(it.is_paused_, false))
        --paused_;
    if (std::exchange(it.is_counted_, false))
        --connections_;
    it.unlink();
    auto* group = std::exchange(it.group_, nullptr);
    if (--group->second.connections == 0)
        groups_.erase(groups_.find(group->first));
}

bool byte_budget::make_room_for_connection()
{
    if (settings_.max_connections == 0 ||
        connections_ < settings_.max_connections)
        return true;

    // Chooses the connection without progress for the longest time, of the
    // address with the most connections.
    holder* chosen = nullptr;
    int compared = 0;
    for (auto& it : holders_)
    {
        if (it.is_cut_ || !is_cuttable(it) || it.phase_ == holder_phase::answer)
            continue;
        if (chosen == nullptr ||
            it.group_->second.connections > chosen->group_->second.connections)
            chosen = &it;
        if (++compared == max_compared_connections)
            break;
    }
    if (chosen == nullptr)
        return false;

    // The socket is closed at once, the object a little later.
    chosen->is_counted_ = false;
    --connections_;
    cut(*chosen, cut_reason::connections);
    return true;
}

void byte_budget::set_phase(holder& it, holder_phase phase)
{
    if (std::exchange(it.phase_, phase) != phase)
        it.was_observed_ = false;
}

void byte_budget::set_held(holder& it, held_kind kind, std::size_t bytes)
{
    const auto n = static_cast<std::size_t>(kind);
    const auto before = std::exchange(it.by_kind_[n], bytes);
    if (before == bytes || it.group_ == nullptr)
        return;

    // Unsigned differences that wrap around add up correctly.
    const auto change = bytes - before;
    it.bytes_ += change;
    it.group_->second.bytes += change;
    by_kind_[n] += change;
    total_ += change;
    if (kind == held_kind::answer && bytes > before &&
        total_ > settings_.max_bytes)
        cut_unread_answers(it);
}

void byte_budget::record_progress(holder& it, std::size_t bytes)
{
    if (it.group_ == nullptr)
        return;
    it.progress_ += bytes;
    holders_.splice(holders_.end(), holders_, holders_.iterator_to(it));
}

bool byte_budget::admits_body(const holder& it, std::uint64_t length)
{
    const bool is_small = length != 0 &&
                          it.bytes_ + length <= settings_.small_bytes &&
                          total_ + length <= settings_.max_bytes;
    if (!is_short() || is_small)
        return true;
    ++cuts_[static_cast<std::size_t>(cut_reason::refused_body)];
    return false;
}

bool byte_budget::fits(const holder& it, std::size_t n) const
{
    const bool is_small = it.bytes_ + n <= settings_.small_bytes;
    return total_ + n <= (is_small ? settings_.max_bytes : common_bytes_);
}

bool byte_budget::may_read(holder& it, std::size_t n)
{
    const bool may = fits(it, n);
    if (it.is_paused_ == may)
    {
        it.is_paused_ = !may;
        paused_ += may ? -1 : 1;
    }
    it.wanted_ = n;
    return may;
}

bool byte_budget::is_cuttable(const holder& it)
{
    return it.phase_ != holder_phase::running;
}

bool byte_budget::holds_more(const holder* left, const holder* right)
{
    const auto left_group = left->group_->second.bytes;
    const auto right_group = right->group_->second.bytes;
    return left_group != right_group ? left_group > right_group
                                     : left->bytes_ > right->bytes_;
}

void byte_budget::cut(holder& it, cut_reason reason)
{
    it.is_cut_ = true;
    if (std::exchange(it.is_paused_, false))
        --paused_;
    ++cuts_[static_cast<std::size_t>(reason)];
    if (it.on_cut)
        it.on_cut(reason);
}

void byte_budget::run_checks(common::time_point now)
{
    if (!is_short() && paused_ == 0)
        return interval_end_.reset();
    resume_paused();
    if (!interval_end_)
        return begin_interval(now);
    if (now < *interval_end_)
        return;
    if (is_short() || paused_ > 0)
        cut_without_progress();
    begin_interval(now);
}

void byte_budget::begin_interval(common::time_point now)
{
    interval_end_ = now + settings_.progress_interval;
    for (auto& it : holders_)
    {
        it.progress_ = 0;
        it.was_observed_ = true;
    }
}

void byte_budget::resume_paused()
{
    if (paused_ == 0)
        return;
    std::vector<holder*> paused;
    for (auto& it : holders_)
    {
        if (it.is_paused_ && !it.is_cut_)
            paused.push_back(&it);
    }
    std::sort(paused.begin(), paused.end(),
              [](const auto* left, const auto* right)
              { return holds_more(right, left); });
    auto total = total_;
    for (auto* it : paused)
    {
        const bool is_small = it->bytes_ + it->wanted_ <= settings_.small_bytes;
        total += it->wanted_;
        if (total > (is_small ? settings_.max_bytes : common_bytes_))
            break;
        it->is_paused_ = false;
        --paused_;
        if (it->on_resume)
            it->on_resume();
    }
}

std::size_t byte_budget::cut_down(std::vector<holder*>& candidates,
                                  std::size_t left, std::size_t target,
                                  cut_reason reason)
{
    std::sort(candidates.begin(), candidates.end(), holds_more);
    for (auto* it : candidates)
    {
        if (left <= target)
            break;
        left -= it->bytes_;
        cut(*it, reason);
    }
    return left;
}

void byte_budget::cut_without_progress()
{
    std::vector<holder*> stalled;
    std::vector<holder*> paused;
    auto left = total_;
    for (auto& it : holders_)
    {
        if (it.is_cut_)
            left -= it.bytes_;
        else if (it.bytes_ > 0 && it.was_observed_ && is_cuttable(it) &&
                 it.progress_ < settings_.min_progress_bytes)
            (it.phase_ == holder_phase::held ? paused : stalled).push_back(&it);
    }
    left = cut_down(stalled, left, low_bytes_, cut_reason::no_progress);

    // Paused bodies resume once other holders have released enough. They are
    // cut only if no other holder is left that can be.
    if (left > low_bytes_)
        cut_down(paused, left, low_bytes_, cut_reason::paused);
}

void byte_budget::cut_unread_answers(const holder& newest)
{
    if (held_bytes(held_kind::answer) <= newest.bytes_)
        return;
    std::vector<holder*> candidates;
    auto left = total_;
    for (auto& it : holders_)
    {
        if (it.is_cut_)
            left -= it.bytes_;
        else if (&it != &newest && it.phase_ == holder_phase::answer &&
                 it.bytes_ > settings_.small_bytes)
            candidates.push_back(&it);
    }
    cut_down(candidates, left, common_bytes_, cut_reason::unread_answer);
}

} // namespace tanagertrack::http
