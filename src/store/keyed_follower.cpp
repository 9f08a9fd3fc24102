#include "store/keyed_follower.hpp"

#include "common/hash.hpp"
#include "common/logging.hpp"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace tanagertrack::store
{

keyed_follower::keyed_follower(boost::asio::io_context& context,
                               store_service service, partition_ref what,
                               const follower_settings& settings,
                               keyed_hooks hooks)
    : context_(context), service_(std::move(service)), what_(std::move(what)),
      settings_(settings), hooks_(std::move(hooks)),
      backoff_(settings.retry, common::hash64(common::random_id())),
      timer_(context)
{
}

void keyed_follower::start()
{
    running_ = true;
    follower_hooks hooks;
    const std::weak_ptr<keyed_follower> weak = weak_from_this();
    hooks.on_records = [weak](std::uint64_t, std::span<const std::string> its)
    {
        if (const auto self = weak.lock())
            self->take_records(its);
    };
    hooks.on_expired = [weak](std::uint64_t)
    {
        if (const auto self = weak.lock())
            self->load();
    };
    hooks.on_reachable = [weak](bool reachable)
    {
        if (const auto self = weak.lock())
            self->tell_reachable(reachable);
    };
    changes_ = std::make_shared<partition_follower>(
        context_, service_, what_, settings_, std::move(hooks));
    load();
}

void keyed_follower::stop()
{
    running_ = false;
    timer_.cancel();
    if (changes_)
        changes_->stop();
}

void keyed_follower::load()
{
    service_.newest(what_,
                    [self = shared_from_this()](const newest_result& result)
                    { self->take_list(result); });
}

void keyed_follower::take_list(const newest_result& result)
{
    if (!running_)
        return;
    tell_reachable(!result.ec);
    if (result.ec)
    {
        timer_.expires_after(backoff_.next());
        timer_.async_wait(
            [self = shared_from_this()](const auto& ec)
            {
                if (!ec && self->running_)
                    self->load();
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

void keyed_follower::take_records(std::span<const std::string> records)
{
    for (const auto& it : records)
    {
        // One byte of length, the key, and the value if there is one.
        const std::string_view bytes = it;
        const std::size_t n =
            bytes.empty() ? 0 : static_cast<unsigned char>(bytes.front());
        if (bytes.size() < 1 + n)
        {
            common::log_warning(
                "keyed_record_skipped",
                {{"topic", what_.topic}, {"bytes", bytes.size()}});
            continue;
        }
        const std::string key(bytes.substr(1, n));
        const auto value = bytes.substr(1 + n);
        if (value.empty())
            hooks_.on_value(key, std::nullopt);
        else
            hooks_.on_value(key, value);
    }
}

void keyed_follower::tell_reachable(bool reachable)
{
    if (std::exchange(reachable_, reachable) != reachable)
        hooks_.on_reachable(reachable);
}

} // namespace tanagertrack::store
