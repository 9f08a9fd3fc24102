#include "entry/control_follower.hpp"

#include "common/logging.hpp"
#include "common/result_code.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/assert.hpp>

#include <algorithm>
#include <utility>

namespace tanagertrack::entry
{

namespace
{

constexpr std::string_view control_stream = "control";

/// Reads of `control` in the interval of heartbeats, at most. Every entry reads
/// the heartbeats of all holders; one read for each would cost more than the
/// heartbeats themselves.
constexpr int reads_per_heartbeat_interval = 4;

/// Time between looks at the holder table.
constexpr std::chrono::milliseconds tick_interval{50};

/// Largest random delay before a takeover, which keeps entries apart.
constexpr std::chrono::milliseconds max_jitter{500};

/// Heartbeats read at the start. The ones before say nothing about who is
/// alive, and a partition's stream can be read without them.
constexpr std::uint64_t start_records = 1000;

/// Time beyond the wait of a read after which the table counts as outdated.
constexpr std::chrono::milliseconds read_slack{1000};

/// Heartbeats that are waited for.
constexpr std::size_t max_open_beats = 64;

} // namespace

control_follower::control_follower(boost::asio::io_context& context,
                                   services::log_service& log,
                                   control_settings settings,
                                   owner_list& owners,
                                   std::function<void(std::uint32_t)> release)
    : context_(context), log_(log), settings_(std::move(settings)),
      owners_(owners), release_(std::move(release)),
      table_(static_cast<std::uint32_t>(owners.size()), common::clock::now()),
      plans_(owners.size()), timer_(context), start_timer_(context),
      backoff_(settings_.retry, settings_.seed), random_(settings_.seed),
      beat_(common::unix_time_ms())
{
}

control_follower::~control_follower() = default;

void control_follower::start()
{
    find_start();
    schedule_tick();
}

void control_follower::find_start()
{
    services::log_read_request request;
    request.stream = control_stream;
    request.max_bytes = 1;
    log_.read(request,
              [this, alive = std::weak_ptr(alive_)](
                  std::error_code ec, services::log_read_result result)
              {
                  if (alive.expired())
                      return;
                  if (!ec || ec == common::result_code::log_offset_expired)
                  {
                      const auto skipped =
                          result.next_offset > start_records
                              ? result.next_offset - start_records
                              : 1;
                      start_follower(std::max(result.first_offset, skipped));
                      return;
                  }
                  start_timer_.expires_after(backoff_.next());
                  start_timer_.async_wait(
                      [this, alive](boost::system::error_code error)
                      {
                          if (!error && !alive.expired())
                              find_start();
                      });
              });
}

void control_follower::start_follower(std::uint64_t from)
{
    follower_settings settings;
    settings.stream = control_stream;
    settings.wait = settings_.read_wait;
    settings.min_interval =
        settings_.heartbeat_interval / reads_per_heartbeat_interval;
    settings.retry = settings_.retry;
    settings.seed = settings_.seed;
    follower_hooks hooks;
    hooks.on_records = [this](std::vector<services::log_record> records, auto)
    {
        take_records(records);
    };
    hooks.on_error = [this](std::error_code)
    {
        reading_since_.reset();
    };
    follower_ = std::make_unique<stream_follower>(
        context_, log_, std::move(settings), std::move(hooks));
    follower_->start(from);
}

void control_follower::take_records(
    const std::vector<services::log_record>& records)
{
    const auto now = common::clock::now();
    if (!is_fresh(now))
        reading_since_ = now;
    last_read_ = now;
    for (const auto& it : records)
    {
        proto::ControlRecord record;
        if (!record.ParseFromString(it.data))
            continue;
        table_.apply(record, now);
        if (record.heartbeat().entry() == settings_.entry)
            note_own_beat(record.heartbeat());
    }
}

void control_follower::note_own_beat(const proto::Heartbeat& beat)
{
    const auto it =
        std::ranges::find(open_beats_, beat.beat(),
                          &std::pair<std::uint64_t, common::time_point>::first);
    if (it == open_beats_.end())
        return;
    lease_end_ = std::max(lease_end_, it->second + settings_.lease_duration);
    open_beats_.erase(open_beats_.begin(), it + 1);
}

void control_follower::schedule_tick()
{
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this, alive = std::weak_ptr(alive_)](boost::system::error_code)
        {
            if (alive.expired())
                return;
            tick();
            schedule_tick();
        });
}

void control_follower::tick()
{
    const auto now = common::clock::now();
    beat_if_due(now);
    if (leaving_ || !is_fresh(now))
        return;
    // After an outage the others get a lease's time to show that they live.
    if (now - *reading_since_ < settings_.lease_duration)
        return;
    plan_claims(now);
    release_surplus(now);
}

bool control_follower::is_fresh(common::time_point now) const
{
    return reading_since_ &&
           now - last_read_ <= settings_.read_wait + read_slack;
}

std::size_t control_follower::live_entries(common::time_point now) const
{
    const auto lease = settings_.lease_duration;
    const auto it = table_.entries().find(settings_.entry);
    const bool counted = it != table_.entries().end() && !it->second.leaving &&
                         now - it->second.last_seen < lease;
    return table_.live_entries(now, lease) + (counted ? 0 : 1);
}

std::size_t control_follower::fair_share(common::time_point now) const
{
    const auto live = live_entries(now);
    return (owners_.size() + live - 1) / live;
}

std::size_t control_follower::count_owners(bool with_tries) const
{
    const auto counts = [&](const auto& it)
    {
        if (!with_tries)
            return it->is_held();
        return it->phase() != owner_phase::idle &&
               !plans_[it->partition()].releasing;
    };
    return static_cast<std::size_t>(std::ranges::count_if(owners_, counts));
}

void control_follower::plan_claims(common::time_point now)
{
    const auto due = table_.due_for_takeover(now, settings_.lease_duration);
    auto next_due = due.begin();
    const auto share = fair_share(now);
    auto owned = count_owners(true);
    std::uniform_int_distribution<std::int64_t> jitter(0, max_jitter.count());
    for (std::uint32_t i = 0; i < owners_.size(); ++i)
    {
        auto& plan = plans_[i];
        const bool is_due = next_due != due.end() && *next_due == i;
        next_due += is_due ? 1 : 0;
        if (!is_due || owners_[i]->phase() != owner_phase::idle)
        {
            plan.try_at.reset();
            continue;
        }
        if (!plan.try_at)
            plan.try_at = now + std::chrono::milliseconds(jitter(random_));
        if (now < *plan.try_at || now < plan.not_before || owned >= share)
            continue;
        const auto& holder = table_.holder(i);
        plan.try_at.reset();
        ++owned;
        owners_[i]->try_claim(
            holder.checkpoint_offset,
            std::max(holder.claim_offset, plan.tolerated_claim));
    }
}

void control_follower::release_surplus(common::time_point now)
{
    // One at a time, so that holdings settle between releases.
    if (now - last_release_ < 2 * settings_.heartbeat_interval)
        return;
    const auto share = fair_share(now);
    if (count_owners(true) <= share)
        return;
    const auto has_fewer = [&](const auto& it)
    {
        return it.first != settings_.entry && !it.second.leaving &&
               now - it.second.last_seen < settings_.lease_duration &&
               it.second.held < share;
    };
    if (std::ranges::none_of(table_.entries(), has_fewer))
        return;
    last_release_ = now;
    for (std::uint32_t i = 0; i < owners_.size(); ++i)
        if (owners_[i]->is_held() && !plans_[i].releasing)
            return release_partition(i);
}

void control_follower::release_partition(std::uint32_t partition)
{
    if (!owners_[partition]->is_held())
    {
        owners_[partition]->release();
        return;
    }
    plans_[partition].releasing = true;
    release_(partition);
}

void control_follower::leave()
{
    leaving_ = true;
    for (std::uint32_t i = 0; i < owners_.size(); ++i)
        if (!plans_[i].releasing)
            release_partition(i);
    beat_wanted_ = true;
}

void control_follower::note_held()
{
    const auto now = common::clock::now();
    // The claim itself shows that this entry was alive when it was read.
    if (count_owners(false) <= 1)
        lease_end_ = std::max(lease_end_, now + settings_.lease_duration);
    beat_wanted_ = true;
    beat_if_due(now);
}

void control_follower::note_idle(std::uint32_t partition,
                                 const state::claim_info& seen)
{
    BOOST_ASSERT(partition < plans_.size());
    auto& plan = plans_[partition];
    plan.releasing = false;
    plan.tolerated_claim = std::max(plan.tolerated_claim, seen.offset);
    if (!seen.released)
        plan.not_before = common::clock::now() + settings_.lease_duration;
    beat_wanted_ = true;
}

bool control_follower::has_lease() const
{
    return common::clock::now() < lease_end_;
}

bool control_follower::may_start_work() const
{
    return !leaving_ && (has_lease() || !reading_since_);
}

bool control_follower::log_is_up() const
{
    return reading_since_ && !beat_failed_;
}

std::optional<common::endpoint>
control_follower::holder(std::uint32_t partition) const
{
    const auto& holder = table_.holder(partition);
    const auto now = common::clock::now();
    // While the log can't be read, and until heartbeats had the time to come
    // again, the last known holder goes on serving.
    const bool outdated =
        !reading_since_ || now - *reading_since_ < settings_.lease_duration;
    const bool known =
        outdated ? !holder.entry.empty() && !holder.released
                 : table_.is_held(partition, now, settings_.lease_duration);
    if (!known || holder.entry == settings_.entry)
        return std::nullopt;
    return holder.address;
}

bool control_follower::wants_partitions(common::time_point now) const
{
    if (leaving_ || live_entries(now) > owners_.size() || !is_fresh(now))
        return false;
    const auto share = fair_share(now);
    const auto lease = settings_.lease_duration;
    const auto has_more = [&](const auto& it)
    {
        return it.second.held > share && now - it.second.last_seen < lease;
    };
    for (std::uint32_t i = 0; i < owners_.size(); ++i)
        if (!table_.is_held(i, now, lease))
            return true;
    return std::ranges::any_of(table_.entries(), has_more);
}

void control_follower::beat_if_due(common::time_point now)
{
    const bool due =
        beat_wanted_ || now - beat_sent_ >= settings_.heartbeat_interval;
    if (beat_in_flight_ || !due)
        return;
    if (count_owners(false) > 0 || beat_wanted_ || wants_partitions(now))
        send_beat(now);
}

void control_follower::send_beat(common::time_point now)
{
    proto::ControlRecord record;
    auto& beat = *record.mutable_heartbeat();
    beat.set_entry(settings_.entry);
    beat.set_address(settings_.address.address);
    beat.set_port(settings_.address.port);
    beat.set_beat(++beat_);
    beat.set_leaving(leaving_);
    for (const auto& it : owners_)
    {
        if (!it->is_held())
            continue;
        auto& held = *beat.add_partitions();
        held.set_partition(it->partition());
        held.set_claim_offset(it->claim_offset());
        held.set_checkpoint_offset(it->state().checkpoint_offset());
    }

    beat_sent_ = now;
    beat_wanted_ = false;
    beat_in_flight_ = true;
    if (open_beats_.size() >= max_open_beats)
        open_beats_.erase(open_beats_.begin());
    open_beats_.emplace_back(beat_, now);
    log_.append(
        std::string(control_stream), record.SerializeAsString(),
        [this, alive = std::weak_ptr(alive_)](std::error_code ec, std::uint64_t)
        {
            if (!alive.expired())
                finish_beat(ec);
        });
}

void control_follower::finish_beat(std::error_code ec)
{
    beat_in_flight_ = false;
    beat_failed_ = static_cast<bool>(ec);
    if (!final_heartbeat_written_)
        return;
    // The heartbeat that was under way may still have named partitions.
    if (std::exchange(beat_wanted_, false))
        send_beat(common::clock::now());
    else
        std::exchange(final_heartbeat_written_, nullptr)();
}

void control_follower::write_final_heartbeat(std::function<void()> written)
{
    final_heartbeat_written_ = std::move(written);
    beat_wanted_ = beat_in_flight_;
    if (!beat_in_flight_)
        send_beat(common::clock::now());
}

} // namespace tanagertrack::entry
