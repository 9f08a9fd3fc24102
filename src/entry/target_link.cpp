#include "entry/target_link.hpp"

#include "common/logging.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace tanagertrack::entry
{

namespace
{

/// Delays between tries to connect: an agent that restarts is used again
/// within a second, one that is gone costs one try in two seconds.
constexpr common::backoff_settings reconnect_delays{
    std::chrono::milliseconds(50), std::chrono::milliseconds(2000)};

/// Part of a slot that batch work costs an online request: its item gives
/// way, but a free slot is better.
constexpr double batch_load_weight = 0.25;

std::string make_pool(const proto::TargetSpec& spec)
{
    std::vector<std::string> models(spec.models().begin(), spec.models().end());
    std::ranges::sort(models);
    std::string pool = spec.kind();
    for (const auto& it : models)
        pool += ',' + it;
    return pool;
}

} // namespace

target_link::target_link(boost::asio::io_context& context,
                         transport::transport_settings options,
                         std::string entry, std::uint64_t seed,
                         link_hooks hooks)
    : context_(context), options_(std::move(options)), entry_(std::move(entry)),
      hooks_(std::move(hooks)), backoff_(reconnect_delays, seed),
      retry_timer_(context)
{
}

void target_link::start(proto::TargetSpec spec, std::uint64_t config_version)
{
    spec_ = std::move(spec);
    pool_ = make_pool(spec_);
    config_version_ = config_version;
    status_.set_target(spec_.name());
    status_.set_target_down(true);
    connect();
}

void target_link::connect()
{
    connection_ =
        std::make_unique<transport::client_connection>(context_, options_);
    transport::connection_hooks hooks;
    hooks.on_up = [this]
    {
        connected();
    };
    hooks.on_down = [this](std::error_code ec)
    {
        disconnected(ec);
    };
    hooks.on_going_away = [this]
    {
        going_away_ = true;
        hooks_.on_change();
    };
    const auto port = static_cast<std::uint16_t>(spec_.agent_port());
    connection_->start({spec_.address(), port}, std::move(hooks));
}

void target_link::connected()
{
    common::log_info("target_connected", {{"target", spec_.name()}});
    up_ = true;
    going_away_ = false;

    // Until the first status the target counts as able to work: the agent
    // refuses what it can't run.
    status_.set_target_down(false);
    backoff_.reset();
    open_status();
    hooks_.on_change();
}

void target_link::disconnected(std::error_code ec)
{
    if (std::exchange(up_, false))
        common::log_warning("target_connection_lost",
                            {{"target", spec_.name()}, {"what", ec.message()}});
    going_away_ = false;
    status_stream_.reset();
    status_.Clear();
    status_.set_target(spec_.name());
    status_.set_target_down(true);
    online_since_status_ = 0;
    batch_since_status_ = 0;

    // The old connection is destroyed by the timer, not within its own hook.
    retry_timer_.expires_after(backoff_.next());
    retry_timer_.async_wait(
        [this](const auto& error)
        {
            if (!error)
                connect();
        });
    hooks_.on_change();
}

void target_link::open_status()
{
    transport::stream_hooks hooks;
    hooks.on_message = [this](std::string_view message)
    {
        status_message(message);
    };
    hooks.on_closed = [this](std::error_code)
    {
        // Without it the load is known from answers only, until the next
        // connection.
        status_stream_.reset();
    };
    status_stream_ = connection_->open("/status", std::move(hooks));
    if (!status_stream_)
        return;
    send_target();
    if (!fences_.empty())
        send_fences();
}

void target_link::send_target()
{
    if (!status_stream_)
        return;
    proto::StatusDown message;
    message.set_entry(entry_);
    *message.mutable_target() = spec_;
    message.set_config_version(config_version_);
    status_stream_->send(message);
}

void target_link::send_fences()
{
    if (!status_stream_)
        return;
    proto::StatusDown message;
    message.set_entry(entry_);
    message.set_config_version(config_version_);
    message.mutable_fences()->Add(fences_.begin(), fences_.end());
    status_stream_->send(message);
}

void target_link::set_spec(proto::TargetSpec spec, std::uint64_t config_version)
{
    spec_ = std::move(spec);
    pool_ = make_pool(spec_);
    config_version_ = config_version;
    send_target();
}

void target_link::set_version(std::uint64_t config_version)
{
    config_version_ = config_version;
    send_target();
}

void target_link::set_fences(const std::vector<proto::Fence>& fences)
{
    fences_ = fences;
    send_fences();
}

void target_link::set_host_leaving(bool leaving)
{
    host_leaving_ = leaving;
}

void target_link::status_message(std::string_view message)
{
    proto::AgentStatus status;
    const bool valid =
        status.ParseFromArray(message.data(), static_cast<int>(message.size()));
    if (valid)
        take_status(status);
    else
        common::log_warning("status_not_valid", {{"target", spec_.name()}});
}

void target_link::take_status(const proto::AgentStatus& status)
{
    status_ = status;
    online_since_status_ = 0;
    batch_since_status_ = 0;
    hooks_.on_status(status_);
}

transport::message_stream_ptr
target_link::open_work(transport::stream_hooks hooks)
{
    if (!accepts_work())
        return nullptr;
    return connection_->open("/work", std::move(hooks));
}

void target_link::note_sent(proto::WorkClass work_class)
{
    ++(work_class == proto::WORK_BATCH ? batch_since_status_
                                       : online_since_status_);
}

void target_link::note_ended(proto::WorkClass work_class)
{
    // Only online work is given back at once. The agent alone decides when a
    // place for batch work is free again.
    if (work_class == proto::WORK_ONLINE)
        --online_since_status_;
}

bool target_link::is_leaving() const
{
    return spec_.state() == "leaving" || host_leaving_ || status_.leaving();
}

bool target_link::accepts_work() const
{
    return up_ && !going_away_ && !is_leaving() && !status_.target_down();
}

double target_link::slots() const
{
    if (status_.slots() != 0)
        return status_.slots();
    return std::max(1U, spec_.slots());
}

double target_link::load(proto::WorkClass work_class) const
{
    const double online =
        std::max(0.0, static_cast<double>(status_.running_online()) +
                          static_cast<double>(status_.queued_online()) +
                          static_cast<double>(online_since_status_));
    const double batch = static_cast<double>(status_.running_batch()) +
                         static_cast<double>(batch_since_status_);
    const double weight =
        work_class == proto::WORK_BATCH ? 1.0 : batch_load_weight;
    return (online + weight * batch) / slots();
}

std::size_t target_link::batch_credit() const
{
    const auto left =
        static_cast<std::int64_t>(status_.batch_credit()) - batch_since_status_;
    return left > 0 ? static_cast<std::size_t>(left) : 0;
}

} // namespace tanagertrack::entry
