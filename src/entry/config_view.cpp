#include "entry/config_view.hpp"

#include <boost/assert.hpp>

namespace tanagertrack::entry
{

config_view::snapshot config_view::current() const
{
    const std::lock_guard lock(mutex_);
    return current_;
}

bool config_view::publish(snapshot config)
{
    BOOST_ASSERT(config);
    {
        const std::lock_guard lock(mutex_);
        if (current_ && config->version() <= current_->version())
            return false;
        current_ = config;
    }
    for (const auto& hook : hooks_)
        hook(config);
    return true;
}

void config_view::on_change(std::function<void(const snapshot&)> hook)
{
    hooks_.push_back(std::move(hook));
}

} // namespace tanagertrack::entry
