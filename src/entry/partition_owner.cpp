#include "entry/partition_owner.hpp"

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

/// Bytes appended between two checkpoints, for each byte of the state. Keeps
/// the share of checkpoints in the stream small when the state is large.
constexpr std::size_t checkpoint_state_ratio = 2;

} // namespace

std::string batch_stream(std::uint32_t partition)
{
    return "batch-" + std::to_string(partition);
}

partition_owner::partition_owner(boost::asio::io_context& context,
                                 services::log_service& log,
                                 owner_settings settings, hooks hooks)
    : context_(context), log_(log), settings_(std::move(settings)),
      hooks_(std::move(hooks)), backoff_(settings_.retry, settings_.seed),
      timer_(context), state_hooks_(make_state_hooks())
{
}

partition_owner::~partition_owner() = default;

std::uint64_t partition_owner::claim_offset() const
{
    const bool owned =
        phase_ == owner_phase::held || phase_ == owner_phase::releasing;
    return owned ? state_.claim().offset : 0;
}

state::partition_hooks partition_owner::make_state_hooks()
{
    state::partition_hooks it;
    it.on_claimed =
        [this](const state::claim_info& current, const state::claim_info&)
    {
        note_claim(current);
    };
    it.on_released = [this](const state::claim_info& current)
    {
        // An earlier release of this process may be read again before a claim.
        released_ = claim_offset() == current.offset;
    };
    it.on_job_accepted = [this](const state::job& job)
    {
        if (claim_offset() != 0)
            hooks_.on_job_accepted(job);
    };
    it.on_job_cancelled = [this](const state::job& job)
    {
        if (claim_offset() != 0)
            hooks_.on_job_cancelled(job);
    };
    it.on_forgotten = [this](const std::string& id)
    {
        if (claim_offset() != 0)
            hooks_.on_forgotten(id);
    };
    it.on_item_completed =
        [this](const state::job& job, const proto::ItemResult& result)
    {
        if (claim_offset() != 0)
            hooks_.on_item_completed(job, result);
    };
    it.on_checkpoint = [this](std::uint64_t)
    {
        records_since_checkpoint_ = 0;
        bytes_since_checkpoint_ = 0;
        checkpoint_open_ = false;
    };
    return it;
}

void partition_owner::note_claim(const state::claim_info& current)
{
    if (phase_ == owner_phase::claiming && current.writer == settings_.writer)
        own_claim_read_ = true;
    else if (phase_ != owner_phase::reading)
        claim_replaced_ = true;
}

void partition_owner::try_claim(std::uint64_t checkpoint_offset,
                                std::uint64_t tolerated_claim)
{
    BOOST_ASSERT(phase_ == owner_phase::idle);
    attempt_ = std::make_shared<bool>(true);
    tolerated_claim_ = tolerated_claim;
    phase_ = owner_phase::reading;
    start_reading(std::max<std::uint64_t>(checkpoint_offset, 1));
}

void partition_owner::start_reading(std::uint64_t from)
{
    started_at_ = from;
    records_since_checkpoint_ = 0;
    bytes_since_checkpoint_ = 0;
    state_.reset(from);
    follower_settings settings;
    settings.stream = batch_stream(settings_.partition);
    settings.wait = settings_.read_wait;
    settings.retry = settings_.retry;
    settings.seed = settings_.seed;
    follower_hooks hooks;
    hooks.on_records = [this](std::vector<services::log_record> records,
                              std::uint64_t next_offset)
    {
        take_records(std::move(records), next_offset);
    };
    hooks.on_gap = [this](std::uint64_t, std::uint64_t first)
    {
        take_gap(first);
    };
    follower_ = std::make_unique<stream_follower>(
        context_, log_, std::move(settings), std::move(hooks));
    follower_->start(from);
}

void partition_owner::take_gap(std::uint64_t first)
{
    first_kept_ = first;
    if (phase_ == owner_phase::reading)
    {
        state_.reset(first);
        return;
    }
    common::log_error("partition_gap",
                      {{"partition", settings_.partition}, {"first", first}});
    become_idle();
}

void partition_owner::take_records(std::vector<services::log_record> records,
                                   std::uint64_t next_offset)
{
    const std::weak_ptr attempt(attempt_);
    for (const auto& it : records)
    {
        take_record(it);
        if (attempt.expired())
            return;
    }
    const bool at_end = follower_->position() >= next_offset;
    if (phase_ == owner_phase::reading && at_end)
        finish_reading();
    if (attempt.expired() || claim_offset() == 0)
        return;
    write_checkpoint_if_due();
    if (!records.empty())
        hooks_.on_progress();
}

void partition_owner::take_record(const services::log_record& it)
{
    // A record that can't be parsed is applied as an empty one, which is void.
    proto::PartitionRecord record;
    if (!record.ParseFromString(it.data))
        record.Clear();
    const auto verdict = state_.apply(it.offset, record, state_hooks_);
    ++records_since_checkpoint_;
    bytes_since_checkpoint_ += it.data.size();

    if (std::exchange(claim_replaced_, false))
    {
        become_idle();
        return;
    }
    if (std::exchange(own_claim_read_, false))
        become_held();
    else if (verdict == state::record_verdict::valid && appender_ &&
             record.claim_offset() == claim_offset())
        appender_->read_back(record.sequence(), it.offset);
    // The records show that the state was read from a void checkpoint.
    if (std::exchange(released_, false) ||
        (claim_offset() == 0 && phase_ == owner_phase::held))
        become_idle();
}

void partition_owner::finish_reading()
{
    // Without a checkpoint at the place where reading started, everything
    // that is kept has to be read.
    if (!state_.live() && started_at_ > 1)
    {
        start_reading(1);
        return;
    }
    const auto& claim = state_.claim();
    if (claim.offset > tolerated_claim_ && !claim.released)
    {
        become_idle();
        return;
    }
    phase_ = owner_phase::claiming;
    send_claim();
}

void partition_owner::send_claim()
{
    proto::PartitionRecord record;
    record.set_writer(settings_.writer);
    auto& claim = *record.add_entries()->mutable_claim();
    claim.set_replaces(state_.claim().offset);
    claim.set_holder(settings_.entry);
    if (!state_.live())
        claim.set_first_kept(first_kept_);
    log_.append(batch_stream(settings_.partition), record.SerializeAsString(),
                [this, attempt = std::weak_ptr(attempt_)](std::error_code ec,
                                                          std::uint64_t)
                {
                    if (!attempt.expired())
                        finish_claim(ec);
                });
}

void partition_owner::finish_claim(std::error_code ec)
{
    if (!ec || phase_ != owner_phase::claiming)
        return;
    timer_.expires_after(backoff_.next());
    timer_.async_wait(
        [this, attempt = std::weak_ptr(attempt_)](boost::system::error_code e)
        {
            if (!e && !attempt.expired() && phase_ == owner_phase::claiming)
                send_claim();
        });
}

void partition_owner::become_held()
{
    backoff_.reset();
    phase_ = owner_phase::held;
    checkpoint_open_ = false;
    appender_settings settings;
    settings.stream = batch_stream(settings_.partition);
    settings.writer = settings_.writer;
    settings.claim_offset = state_.claim().offset;
    settings.max_record_bytes = settings_.max_record_bytes;
    settings.retry = settings_.retry;
    settings.seed = settings_.seed;
    appender_ =
        std::make_unique<stream_appender>(context_, log_, std::move(settings));
    common::log_info("partition_held", {{"partition", settings_.partition},
                                        {"claim", claim_offset()},
                                        {"jobs", state_.job_count()}});
    hooks_.on_held();
}

void partition_owner::become_idle()
{
    if (claim_offset() != 0)
        common::log_info("partition_dropped",
                         {{"partition", settings_.partition},
                          {"claim", state_.claim().offset}});
    phase_ = owner_phase::idle;
    attempt_.reset();
    timer_.cancel();
    follower_.reset();
    const auto appender = std::exchange(appender_, nullptr);
    const auto seen = state_.claim();
    hooks_.on_idle(seen);
    if (appender)
        appender->drop_all();
    if (phase_ == owner_phase::idle)
        state_.reset(1);
}

void partition_owner::release()
{
    if (phase_ == owner_phase::reading || phase_ == owner_phase::claiming)
    {
        become_idle();
        return;
    }
    if (phase_ != owner_phase::held)
        return;
    phase_ = owner_phase::releasing;
    proto::PartitionEntry entry;
    entry.mutable_release();
    // A release always fits into a record.
    (void)appender_->push_bounded(std::move(entry), {});
}

bool partition_owner::checkpoint_is_due() const
{
    if (records_since_checkpoint_ >= settings_.checkpoint_records)
        return true;
    if (bytes_since_checkpoint_ < settings_.checkpoint_bytes)
        return false;
    return bytes_since_checkpoint_ >=
           checkpoint_state_ratio * state_.memory_bytes();
}

void partition_owner::write_checkpoint_if_due()
{
    if (checkpoint_is_due())
        write_checkpoint();
}

void partition_owner::write_checkpoint()
{
    if (checkpoint_open_ || phase_ != owner_phase::held)
        return;
    checkpoint_open_ = true;
    appender_->insert_when_idle(
        [this]
        {
            std::vector<proto::PartitionEntry> entries;
            for (auto& part :
                 state_.make_checkpoint(appender_->max_entry_bytes() / 2))
                *entries.emplace_back().mutable_checkpoint() = std::move(part);
            return entries;
        });
}

} // namespace tanagertrack::entry
