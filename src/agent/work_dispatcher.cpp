#include "agent/work_dispatcher.hpp"

#include "common/logging.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace tanagertrack::agent
{

using common::result_code;

namespace
{

admission_settings make_admission_settings(const config::agent_settings& from)
{
    admission_settings to;
    to.policy = from.admission == "fifo" ? admission_policy::fifo
                                         : admission_policy::online_first;
    to.slots = from.slots;
    to.online_reserve = from.online_reserve;
    to.batch_stock = from.batch_stock;
    to.max_queued_online = from.max_queued_online;
    return to;
}

std::uint32_t to_microseconds(double seconds)
{
    return static_cast<std::uint32_t>(std::min(seconds * 1e6, 4e9));
}

} // namespace

/// Timer for queued deadlines, and the pending decision.
struct work_dispatcher::timers
{
    explicit timers(boost::asio::io_context& it) : context(it), deadline(it)
    {
    }

    boost::asio::io_context& context;
    boost::asio::steady_timer deadline;
    common::time_point armed = common::time_point::max();
    bool decide_scheduled = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

work_dispatcher::work_dispatcher(boost::asio::io_context& context,
                                 const config::settings& settings,
                                 agent_metrics& metrics, target_runner& runner)
    : settings_(settings), metrics_(metrics), runner_(runner),
      admission_(make_admission_settings(settings.agent)),
      fences_(settings.batch.partitions),
      timers_(std::make_unique<timers>(context))
{
}

work_dispatcher::~work_dispatcher() = default;

void work_dispatcher::set_hooks(std::function<void()> on_change,
                                std::function<void(std::uint64_t)> on_batch,
                                credit_source credit)
{
    on_change_ = std::move(on_change);
    on_batch_ = std::move(on_batch);
    credit_ = std::move(credit);
}

void work_dispatcher::on_target_down(std::function<void()> hook)
{
    on_target_down_ = std::move(hook);
}

// ---- arrival ----

void work_dispatcher::accept(transport::message_stream_ptr stream)
{
    const auto id = ++last_id_;
    transport::stream_hooks hooks;
    hooks.on_message = [this, id](std::string_view message)
    {
        take_message(id, message);
    };
    hooks.on_closed = [this, id](std::error_code)
    {
        take_end(id);
    };
    sessions_.emplace(id, std::make_unique<work_session>(*this, id, stream));
    stream->set_hooks(std::move(hooks));
}

void work_dispatcher::take_message(std::uint64_t id, std::string_view message)
{
    auto* session = find(id);
    // A stream carries one request; anything after it is ignored.
    if (session == nullptr || session->deadline() != common::time_point())
        return;
    auto code = session->parse(message, common::clock::now());
    if (code == result_code::ok)
        code = check(*session);
    if (code == result_code::ok)
        offer(*session);
    else
        session->refuse(code);
}

result_code work_dispatcher::check(const work_session& session)
{
    const auto& request = session.request();
    if (leaving())
        return result_code::shutting_down;
    if (fences_.is_stale(request.partition(), request.claim_offset()))
    {
        metrics_.stale_claims.add();
        return result_code::stale_claim;
    }
    raise_fence(request.partition(), request.claim_offset());
    return target_down_ ? result_code::no_target : result_code::ok;
}

void work_dispatcher::offer(work_session& session)
{
    admission_request request;
    request.id = session.id();
    request.kind = session.kind();
    request.preemptible = session.preemptible();
    request.deadline = session.deadline();
    request.item = session.request().work_id();
    request.text_bytes = session.request().resume_text().size();
    if (session.kind() == work_class::batch && on_batch_)
        on_batch_(session.connection_id());
    admission_.offer(std::move(request), common::clock::now());
    decide();
}

void work_dispatcher::take_end(std::uint64_t id)
{
    // The entry gave the work up, or is gone. Destroying the session cancels
    // the call at the target.
    const auto session = forget(id);
    if (!session)
        return;
    metrics_.of(session->kind()).cancelled.add();
    changed();
}

// ---- decisions ----

work_session* work_dispatcher::find(std::uint64_t id)
{
    const auto it = sessions_.find(id);
    return it != sessions_.end() ? it->second.get() : nullptr;
}

std::unique_ptr<work_session> work_dispatcher::forget(std::uint64_t id)
{
    auto node = sessions_.extract(id);
    if (node.empty())
        return nullptr;
    admission_.ended(id, common::clock::now());
    schedule_decide();
    return std::move(node.mapped());
}

void work_dispatcher::progress(std::uint64_t id, std::size_t bytes)
{
    admission_.progress(id, bytes, common::clock::now());
}

void work_dispatcher::schedule_decide()
{
    // Posted: sessions end within the loop over the actions of a decision.
    if (std::exchange(timers_->decide_scheduled, true))
        return;
    boost::asio::post(timers_->context,
                      [this, alive = std::weak_ptr(timers_->alive)]
                      {
                          if (alive.expired())
                              return;
                          timers_->decide_scheduled = false;
                          decide();
                          changed();
                      });
}

void work_dispatcher::decide()
{
    apply(admission_.decide(common::clock::now()));
    wait_for_deadline();
    changed();
}

void work_dispatcher::apply(const std::vector<admission_action>& actions)
{
    for (const auto& action : actions)
    {
        auto* session = find(action.id);
        if (session == nullptr)
            continue;
        switch (action.what)
        {
        case admission_action::kind::start:
            if (!session->run(common::clock::now()))
                session->refuse(result_code::ring_full);
            break;
        case admission_action::kind::preempt:
            session->preempt();
            break;
        case admission_action::kind::refuse:
            session->refuse(action.code);
            break;
        }
    }
}

void work_dispatcher::wait_for_deadline()
{
    const auto next = admission_.next_deadline();
    if (next == timers_->armed)
        return;
    timers_->armed = next;
    if (next == common::time_point::max())
    {
        timers_->deadline.cancel();
        return;
    }
    timers_->deadline.expires_at(next);
    timers_->deadline.async_wait(
        [this, alive = std::weak_ptr(timers_->alive)](const auto& ec)
        {
            if (ec || alive.expired())
                return;
            timers_->armed = common::time_point::max();
            decide();
        });
}

// ---- configuration and fencing ----

void work_dispatcher::set_target(const proto::TargetSpec& spec,
                                 std::uint64_t version)
{
    if (version < config_version_ || spec.name() != settings_.agent.target)
        return;
    config_version_ = version;
    spec_ = spec;
    admission_.set_slots(spec.slots() != 0 ? spec.slots()
                                           : settings_.agent.slots);
    decide();
}

void work_dispatcher::raise_fence(std::uint32_t partition, std::uint64_t claim)
{
    if (!fences_.raise(partition, claim))
        return;
    // The replaced holder's results would be void.
    std::vector<std::uint64_t> stale;
    for (const auto& [id, it] : sessions_)
    {
        const auto& request = it->request();
        if (request.partition() == partition && it->preemptible() &&
            request.claim_offset() != 0 && request.claim_offset() < claim)
            stale.push_back(id);
    }
    for (const auto id : stale)
    {
        auto* session = find(id);
        metrics_.stale_claims.add();
        if (session->is_running())
            session->stop(result_code::stale_claim);
        else
            session->refuse(result_code::stale_claim);
    }
}

// ---- status ----

void work_dispatcher::fill_status(proto::AgentStatus& out,
                                  std::uint64_t connection) const
{
    out.set_target(settings_.agent.target);
    out.set_slots(admission_.slots());
    out.set_running_online(admission_.running_online());
    out.set_running_batch(admission_.running_batch());
    out.set_queued_online(admission_.queued_online());
    out.set_batch_credit(credit_ ? credit_(connection) : 0);
    out.set_leaving(leaving());
    out.set_config_version(config_version_);
    const auto& limit = admission_.limit();
    out.set_step_us(to_microseconds(limit.step_time()));
    out.set_first_token_us(to_microseconds(limit.first_token()));
    out.set_target_down(target_down_);
}

std::uint32_t work_dispatcher::batch_room()
{
    if (leaving() || target_down_)
        return 0;
    return admission_.batch_room(common::clock::now());
}

void work_dispatcher::changed()
{
    update_gauges();
    if (on_change_)
        on_change_();
}

void work_dispatcher::update_gauges()
{
    auto& online = metrics_.of(work_class::online);
    online.running.set(admission_.running_online());
    online.queued.set(admission_.queued_online());
    auto& batch = metrics_.of(work_class::batch);
    batch.running.set(admission_.running_batch());
    batch.queued.set(admission_.queued_batch());
}

void work_dispatcher::target_reached()
{
    if (std::exchange(target_down_, false))
        changed();
}

void work_dispatcher::target_refused()
{
    if (std::exchange(target_down_, true))
        return;
    common::log_warning("target_down", {{"target", settings_.agent.target}});
    if (on_target_down_)
        on_target_down_();
}

// ---- planned stop ----

void work_dispatcher::begin_stop()
{
    stopping_ = true;
    apply(admission_.drain(result_code::shutting_down));
    changed();
}

void work_dispatcher::end_stop()
{
    std::vector<std::uint64_t> left;
    for (const auto& [id, it] : sessions_)
        left.push_back(id);
    for (const auto id : left)
        find(id)->stop(result_code::shutting_down);
}

} // namespace tanagertrack::agent
