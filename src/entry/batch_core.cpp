#include "entry/batch_core.hpp"

#include "common/hash.hpp"
#include "common/result_code.hpp"
#include "entry/async_call.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/assert.hpp>

#include <utility>

namespace tanagertrack::entry
{

using common::result_code;

namespace
{

/// Records kept for bodies and results.
constexpr std::size_t cache_bytes = 16 * 1024 * 1024;

dispatch_settings make_dispatch_settings(const config::batch_settings& it)
{
    dispatch_settings out;
    out.max_in_flight = it.max_in_flight;
    out.max_unrecorded_results = it.max_unrecorded_results;
    out.max_unrecorded_bytes = it.max_unrecorded_bytes;
    out.max_attempts = it.max_attempts;
    out.attempt_timeout = it.attempt_timeout;
    out.flush_interval = it.result_flush_interval;
    out.order =
        it.order == "fifo" ? queue_order::fifo : queue_order::fair_deadline;
    return out;
}

control_settings make_control_settings(const config::settings& it,
                                       std::uint64_t seed)
{
    control_settings out;
    out.entry = it.name;
    out.address = {it.address, it.peer.port};
    out.heartbeat_interval = it.batch.heartbeat_interval;
    out.lease_duration = it.batch.lease_duration;
    out.read_wait = it.platform.log_read_wait;
    out.seed = seed;
    return out;
}

} // namespace

batch_core::batch_core(parts its)
    : parts_(std::move(its)),
      writer_(parts_.settings.name + "/" + common::random_id()),
      cache_(parts_.log, cache_bytes)
{
    for (std::uint32_t i = 0; i < parts_.settings.batch.partitions; ++i)
        make_owner(i);
    control_ = std::make_unique<control_follower>(
        parts_.context, parts_.log,
        make_control_settings(parts_.settings, common::hash64(writer_)),
        owners_, [this](std::uint32_t partition) { release(partition); });
    dispatcher_ = std::make_unique<dispatcher>(
        parts_.context, parts_.gate, cache_,
        make_dispatch_settings(parts_.settings.batch),
        [this] { return control_->may_start_work(); });
}

batch_core::~batch_core() = default;

void batch_core::make_owner(std::uint32_t partition)
{
    owner_settings settings;
    settings.partition = partition;
    settings.entry = parts_.settings.name;
    settings.writer = writer_;
    settings.max_record_bytes = parts_.settings.platform.max_record_bytes;
    settings.read_wait = parts_.settings.platform.log_read_wait;
    settings.seed = common::hash64(writer_, partition);
    partition_owner::hooks hooks;
    hooks.on_held = [this, partition]
    {
        note_held(partition);
    };
    hooks.on_idle = [this, partition](const state::claim_info& seen)
    {
        note_idle(partition, seen);
    };
    hooks.on_job_accepted = [this, partition](const state::job& job)
    {
        dispatcher_->add_job(partition, job);
    };
    hooks.on_job_cancelled = [this](const state::job& job)
    {
        dispatcher_->cancel_job(job);
    };
    hooks.on_forgotten = [this](const std::string& id)
    {
        dispatcher_->forget_job(id);
    };
    hooks.on_item_completed = [](const state::job&, const proto::ItemResult&) {
    };
    hooks.on_progress = [] {
    };
    owners_.push_back(std::make_unique<partition_owner>(
        parts_.context, parts_.log, std::move(settings), std::move(hooks)));
}

void batch_core::start()
{
    dispatcher_->start();
    control_->start();
}

void batch_core::stop(std::function<void()> stopped)
{
    stopped_ = std::move(stopped);
    control_->leave();
    check_stopped();
}

void batch_core::check_stopped()
{
    if (!stopped_ || stop_told_)
        return;
    for (const auto& it : owners_)
        if (it->phase() != owner_phase::idle)
            return;
    stop_told_ = true;
    // Not within a hook of an owner.
    boost::asio::post(parts_.context,
                      [self = shared_from_this()] {
                          self->control_->write_final_heartbeat(self->stopped_);
                      });
}

void batch_core::note_held(std::uint32_t partition)
{
    send_fences();
    control_->note_held();
    dispatcher_->add_partition(*owners_[partition]);
}

void batch_core::note_idle(std::uint32_t partition,
                           const state::claim_info& seen)
{
    dispatcher_->drop_partition(partition);
    control_->note_idle(partition, seen);
    send_fences();
    check_stopped();
}

void batch_core::release(std::uint32_t partition)
{
    dispatcher_->drain_partition(partition, [this, partition]
                                 { owners_[partition]->release(); });
}

void batch_core::send_fences()
{
    std::vector<proto::Fence> fences;
    for (const auto& it : owners_)
    {
        if (it->claim_offset() == 0)
            continue;
        auto& fence = fences.emplace_back();
        fence.set_partition(it->partition());
        fence.set_claim_offset(it->claim_offset());
    }
    parts_.set_fences(std::move(fences));
}

std::shared_ptr<const fleet_index> batch_core::fleet()
{
    auto config = parts_.config.current();
    if (!config)
        return nullptr;
    if (!fleet_ || &fleet_->config() != config.get())
        fleet_ = std::make_shared<const fleet_index>(std::move(config));
    return fleet_;
}

std::size_t batch_core::job_count() const
{
    std::size_t count = 0;
    for (const auto& it : owners_)
        count += it->state().job_count();
    return count;
}

std::size_t batch_core::item_count() const
{
    std::size_t count = 0;
    for (const auto& it : owners_)
        if (it->claim_offset() != 0)
            it->state().for_each_job([&](const state::job& job)
                                     { count += job.item_count(); });
    return count;
}

boost::asio::awaitable<recorded_entry>
batch_core::record(std::uint32_t partition, std::uint64_t claim,
                   proto::PartitionEntry entry, common::time_point deadline,
                   bool wait)
{
    const auto self = shared_from_this();
    auto& owner = *owners_[partition];
    timed_result<recorded_entry> recorded(parts_.context.get_executor());
    recorded_handler handler;
    if (wait)
        handler = [set = recorded.setter()](std::error_code ec,
                                            record_position position)
        {
            set({ec, position});
        };

    // Wait for room in the queue.
    for (;;)
    {
        if (!owner.is_held() || owner.claim_offset() != claim)
            co_return recorded_entry{result_code::stale_claim, {}};
        auto* appender = owner.appender();
        if (entry.ByteSizeLong() > appender->max_entry_bytes())
            co_return recorded_entry{result_code::body_too_large, {}};
        if (appender->has_room())
            break;
        timed_result<bool> room(parts_.context.get_executor());
        appender->wait_for_room([set = room.setter()] { set(true); });
        const auto* has_room = co_await room.wait(deadline);
        if (has_room == nullptr)
            co_return recorded_entry{result_code::log_unavailable, {}};
    }

    // Nothing else ran since the last check.
    const bool pushed =
        owner.appender()->push(std::move(entry), std::move(handler));
    BOOST_ASSERT(pushed);
    if (!wait || !pushed)
        co_return recorded_entry{};
    const auto* result = co_await recorded.wait(deadline);
    if (result == nullptr)
        co_return recorded_entry{result_code::log_append_unknown, {}};
    co_return *result;
}

} // namespace tanagertrack::entry
