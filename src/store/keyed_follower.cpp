#include "store/keyed_follower.hpp"

#include "common/hash.hpp"
#include "common/logging.hpp"
#include "common/timer_wait.hpp"
#include "store/keyed_record.hpp"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace tanagertrack::store
{

keyed_follower::keyed_follower(boost::asio::io_context& context,
                               store_service service, partition_ref partition,
                               const follower_settings& settings,
                               keyed_hooks hooks)
    : context_(context), service_(std::move(service)),
      partition_(std::move(partition)), settings_(settings),
      hooks_(std::move(hooks)),
      backoff_(settings.retry, common::hash64(common::random_id())),
      timer_(context)
{
}

void keyed_follower::start()
{
    running_ = true;
    follower_hooks hooks;
    const std::weak_ptr<keyed_follower> weak = weak_from_this();
    hooks.on_records =
        [weak](std::uint64_t, std::span<const std::string> records)
    {
        if (const auto self = weak.lock())
            self->apply_records(records);
    };
    hooks.on_expired = [weak](std::uint64_t)
    {
        if (const auto self = weak.lock())
            self->load_keys();
    };
    hooks.on_reachable = [weak](bool reachable)
    {
        if (const auto self = weak.lock())
            self->set_reachable(reachable);
    };
    if (hooks_.on_current)
        hooks.on_current = [weak](common::boot_clock::time_point read_start)
        {
            if (const auto self = weak.lock())
                self->hooks_.on_current(read_start);
        };
    changes_ = std::make_shared<partition_follower>(
        context_, service_, partition_, settings_, std::move(hooks));
    load_keys();
}

void keyed_follower::stop()
{
    running_ = false;
    timer_.cancel();
    if (changes_)
        changes_->stop();
}

void keyed_follower::load_keys()
{
    service_.newest(partition_,
                    [self = shared_from_this()](const newest_result& result)
                    { self->handle_newest(result); });
}

void keyed_follower::handle_newest(const newest_result& result)
{
    if (!running_)
        return;
    set_reachable(!result.ec);
    if (result.ec)
    {
        common::wait_until(timer_, common::clock::now() + backoff_.next(),
                           [self = shared_from_this()](const auto& ec)
                           {
                               if (!ec && self->running_)
                                   self->load_keys();
                           });
        return;
    }
    backoff_.reset();
    std::vector<std::string> keys;
    for (const auto& it : result.records)
    {
        keys.push_back(it.key);
        hooks_.on_value(it.key, it.value);
    }
    hooks_.on_list(keys);
    changes_->start(result.end);
}

void keyed_follower::apply_records(std::span<const std::string> records)
{
    for (const auto& it : records)
    {
        const auto entry = parse_keyed_record(it);
        if (!entry)
        {
            common::log_warning(
                "keyed_record_skipped",
                {{"topic", partition_.topic}, {"bytes", it.size()}});
            continue;
        }
        const std::string key(entry->key);
        if (entry->value.empty())
            hooks_.on_value(key, std::nullopt);
        else
            hooks_.on_value(key, entry->value);
    }
}

void keyed_follower::set_reachable(bool reachable)
{
    if (std::exchange(reachable_, reachable) != reachable)
        hooks_.on_reachable(reachable);
}

} // namespace tanagertrack::store
