#include "peers/load_exchange.hpp"

#include "peers/capacity_messages.hpp"
#include "peers/observation_messages.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <utility>

namespace tanagertrack::peers
{

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace
{

constexpr double percent = 100.0;

/// Maximum age of the load reports that are sent. Older ones tell the peers
/// nothing new.
constexpr auto max_report_age = milliseconds(500);

/// Maximum number of teams in a message, of which each takes up to 24 bytes.
constexpr std::size_t max_team_uses = 64;

/// Adds a group of waiting items to a message.
void add_waiting(LoadMessage& message, const routing::waiting_items& items,
                 common::time_point now)
{
    auto& it = *message.add_waiting();
    it.set_service(service_key(items.service));
    it.set_slack_ms(static_cast<std::int32_t>(
        duration_cast<milliseconds>(items.urgency.due - now).count()));
    it.set_late(items.urgency.is_late);
    it.set_count(items.count);
}

/// Time for which messages repeat the number of losses, so that a lost message
/// does not matter. A loss that arrives later would say nothing of the target's
/// present state.
constexpr auto loss_repeats = milliseconds(200);

} // namespace

load_exchange::load_exchange(asio::io_context& context,
                             targets::target_set& set, std::string member,
                             exchange_settings settings, exchange_hooks hooks)
    : targets_(set), member_(std::move(member)), settings_(settings),
      hooks_(std::move(hooks)), socket_(context), timer_(context)
{
}

std::error_code load_exchange::start(const common::endpoint& local)
{
    error_code ec;
    const udp::endpoint address(asio::ip::make_address(local.address, ec),
                                local.port);
    if (!ec)
        socket_.open(address.protocol(), ec);
    if (!ec)
        socket_.bind(address, ec);
    if (!ec)
        socket_.non_blocking(true, ec);
    if (ec)
        return ec;
    receive();
    schedule_send(settings_.max_interval);
    return {};
}

void load_exchange::stop()
{
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
}

void load_exchange::add_peer(const std::string& member,
                             const common::endpoint& address)
{
    error_code ec;
    const auto ip = asio::ip::make_address(address.address, ec);
    if (!ec && member != member_)
        peers_[member] = udp::endpoint(ip, address.port);
}

void load_exchange::remove_peer(const std::string& member)
{
    peers_.erase(member);
    loads_.remove(member);
    update_target_loads();
}

void load_exchange::handle_load_change()
{
    if (std::exchange(change_pending_, true))
        return;
    const auto since_last_send =
        duration_cast<milliseconds>(common::clock::now() - last_send_);
    schedule_send(std::max(milliseconds(0), min_interval() - since_last_send));
}

milliseconds load_exchange::min_interval() const
{
    const auto for_peers = duration_cast<milliseconds>(
        settings_.interval_per_peer *
        static_cast<milliseconds::rep>(peers_.size()));
    return std::min(std::max(settings_.min_interval, for_peers),
                    settings_.max_interval);
}

void load_exchange::schedule_send(milliseconds delay)
{
    timer_.expires_after(delay);
    timer_.async_wait(
        [this](const error_code& ec)
        {
            if (!ec && socket_.is_open())
                send();
        });
}

void load_exchange::send()
{
    const auto now = common::clock::now();
    if (loads_.expire(now))
    {
        update_target_loads();
        hooks_.on_change();
    }
    change_pending_ = false;
    const auto bytes = make_message(now).SerializeAsString();
    last_send_ = now;
    for (const auto& [member, address] : peers_)
    {
        // A datagram that can't be sent now is treated as a lost one.
        error_code ignored;
        socket_.send_to(asio::buffer(bytes), address, 0, ignored);
    }
    schedule_send(settings_.max_interval);
}

LoadMessage load_exchange::make_message(common::time_point now)
{
    LoadMessage message;
    message.set_member(member_);
    message.set_sequence(++sequence_);
    const auto state = hooks_.read_own_state();
    add_observations(message, state.observed, now);
    for (const auto& it : state.waiting)
        add_waiting(message, it, now);
    for (const auto& it : hooks_.read_team_uses(max_team_uses))
    {
        auto& use = *message.add_team_uses();
        use.set_team(it.team);
        use.set_admitted(it.admitted);
        use.set_asked_per_s(it.asked_per_s);
    }
    message.set_store_age_ms(static_cast<std::uint32_t>(
        duration_cast<milliseconds>(now - state.store_contact).count()));
    add_losses(message, now);
    targets_.for_each(
        [&](targets::target& it)
        {
            const auto key = it.key();
            if (it.load.own_online + it.load.own_batch != 0)
            {
                auto& use = *message.add_uses();
                use.set_target(key);
                use.set_online(it.load.own_online);
                use.set_batch(it.load.own_batch);
            }

            // Each entry sends only new reports that it received from the
            // target itself, so that reports do not circulate.
            const auto& report = it.load.reported;
            if (!report.received_directly || report.received_at <= last_send_ ||
                now - report.received_at > max_report_age)
                return;
            auto& out = *message.add_reports();
            out.set_target(key);
            out.set_running(report.running);
            out.set_waiting(report.waiting);
            out.set_slowdown_percent(
                static_cast<std::uint32_t>(report.slowdown * percent));
            out.set_age_ms(static_cast<std::uint32_t>(
                duration_cast<milliseconds>(now - report.received_at).count()));
        });
    add_capacity_news(message, hooks_.take_capacity_news);
    return message;
}

void load_exchange::receive()
{
    socket_.async_receive_from(asio::buffer(receive_buffer_), sender_,
                               [this](const error_code& ec, std::size_t n)
                               {
                                   if (!socket_.is_open())
                                       return;
                                   if (!ec)
                                       handle_datagram(n);
                                   receive();
                               });
}

void load_exchange::handle_datagram(std::size_t n)
{
    LoadMessage message;
    const bool parsed =
        message.ParseFromArray(receive_buffer_.data(), static_cast<int>(n));
    const auto peer = parsed ? peers_.find(message.member()) : peers_.end();
    if (peer == peers_.end() || peer->second != sender_)
        return;
    const auto now = common::clock::now();
    if (!loads_.apply_message(message, now))
        return;
    pass_team_uses(message);
    apply_reports(message);
    apply_losses(message);
    read_capacity_news(message, hooks_.on_capacity_news);
    update_target_loads();
    hooks_.on_change();
    if (message.crashes_size() + message.sound_parts_size() != 0)
        hooks_.on_observations(read_observations(message, now));
}

void load_exchange::pass_team_uses(const LoadMessage& message) const
{
    std::vector<teams::team_use> uses;
    uses.reserve(static_cast<std::size_t>(message.team_uses_size()));
    for (const auto& it : message.team_uses())
        uses.push_back({it.team(), it.admitted(), it.asked_per_s()});
    hooks_.on_team_uses(message.member(), uses);
}

void load_exchange::apply_reports(const LoadMessage& message)
{
    const auto now = common::clock::now();
    std::map<std::uint32_t, const TargetReport*> reports;
    for (const auto& it : message.reports())
        reports[it.target()] = &it;
    if (reports.empty())
        return;
    targets_.for_each(
        [&](targets::target& it)
        {
            const auto found = reports.find(it.key());
            if (found == reports.end())
                return;
            const auto& report = *found->second;
            const auto received_at = now - milliseconds(report.age_ms());
            if (received_at <= it.load.reported.received_at)
                return;
            it.load.reported.running = report.running();
            it.load.reported.waiting = report.waiting();
            it.load.reported.slowdown = report.slowdown_percent() / percent;
            it.load.reported.received_at = received_at;
            it.load.reported.received_directly = false;
        });
}

void load_exchange::add_losses(LoadMessage& message, common::time_point now)
{
    if (!settings_.shares_losses)
        return;
    targets_.for_each(
        [&](targets::target& it)
        {
            if (it.load.losses == 0 || now - it.load.last_loss > loss_repeats)
                return;
            auto& out = *message.add_losses();
            out.set_target(it.key());
            out.set_count(it.load.losses);
        });
}

void load_exchange::apply_losses(const LoadMessage& message)
{
    if (!settings_.shares_losses || message.losses_size() == 0)
        return;
    const auto lost = loads_.find_new_losses(message);
    if (lost.empty())
        return;
    targets_.for_each(
        [&lost](targets::target& it)
        {
            if (std::ranges::find(lost, it.key()) != lost.end())
                it.record_peer_loss();
        });
}

void load_exchange::update_target_loads()
{
    targets_.for_each(
        [this](targets::target& it)
        {
            const auto use = loads_.use_of(it.key());
            it.load.peer_online = use.online;
            it.load.peer_batch = use.batch;
        });
}

} // namespace tanagertrack::peers
