#include "entry/work_gate.hpp"

#include "common/duty_thread.hpp"
#include "entry/target_pool.hpp"

#include <atomic>
#include <unordered_map>
#include <utility>

namespace tanagertrack::entry
{

namespace
{

/// Runs attempts on the peer thread and hands their ends to the caller's.
class pool_gate : public std::enable_shared_from_this<pool_gate>
{
public:
    pool_gate(target_pool& pool, common::duty_thread& peer_thread,
              common::duty_thread& caller_thread)
        : pool_(pool), peer_thread_(peer_thread), caller_thread_(caller_thread)
    {
    }

    // On the caller's thread. Work in the other direction is bounded by the
    // attempts in flight, hence completions.

    work_gate::ticket start(attempt_start start,
                            std::function<void(attempt_end)> ended)
    {
        const auto ticket = ++last_ticket_;
        ended_[ticket] = std::move(ended);
        peer_thread_.post_completion(
            [self = shared_from_this(), ticket, start = std::move(start)]
            { self->start_on_peer(ticket, start); });
        return ticket;
    }

    void cancel(work_gate::ticket ticket, std::function<void()> cancelled)
    {
        ended_.erase(ticket);
        peer_thread_.post_completion(
            [self = shared_from_this(), ticket,
             cancelled = std::move(cancelled)]
            {
                self->cancel_on_peer(ticket);
                self->caller_thread_.post_completion(cancelled);
            });
    }

    void ask_credit(std::string model, std::function<void(std::size_t)> handler)
    {
        peer_thread_.post_completion(
            [self = shared_from_this(), model = std::move(model),
             handler = std::move(handler)]
            {
                self->caller_thread_.post_completion(
                    [handler, credit = self->pool_.batch_credit(model)]
                    { handler(credit); });
            });
    }

    void set_credit_hook(std::function<void()> hook)
    {
        peer_thread_.post_completion(
            [self = shared_from_this(), hook = std::move(hook)]
            {
                self->pool_.on_batch_credit(
                    [weak = self->weak_from_this(), hook]
                    {
                        if (const auto gate = weak.lock())
                            gate->tell_credit(hook);
                    });
            });
    }

private:
    // On the peer thread.

    void tell_credit(const std::function<void()>& hook)
    {
        // One task is enough for all changes that arrive before it runs.
        if (credit_told_.exchange(true))
            return;
        caller_thread_.post_completion(
            [self = shared_from_this(), hook]
            {
                self->credit_told_.store(false);
                hook();
            });
    }

    void start_on_peer(work_gate::ticket ticket, const attempt_start& start)
    {
        const auto model = start.model;
        attempt_hooks hooks;
        hooks.on_finished = [self = shared_from_this(), ticket,
                             model](const proto::WorkFinished& it)
        {
            self->end(ticket, model, it);
        };
        hooks.on_failed = [self = shared_from_this(), ticket,
                           model](const proto::WorkFailed& it)
        {
            self->end(ticket, model, it);
        };
        hooks.on_preempted = [self = shared_from_this(), ticket,
                              model](const proto::WorkPreempted& it)
        {
            self->end(ticket, model, it);
        };
        hooks.on_refused = [self = shared_from_this(), ticket,
                            model](const proto::WorkRefused& it)
        {
            self->end(ticket, model, it);
        };
        auto started =
            pool_.start(start.request, {start.model, start.excluded}, hooks);
        if (started.id == 0 && !start.excluded.empty())
            started = pool_.start(start.request, {start.model, {}}, hooks);
        if (started.id == 0)
        {
            end(ticket, model, no_target_now{});
            return;
        }
        running_[ticket] = {started.id, std::move(started.target)};
    }

    void cancel_on_peer(work_gate::ticket ticket)
    {
        const auto it = running_.find(ticket);
        if (it == running_.end())
            return;
        pool_.cancel(it->second.id);
        running_.erase(it);
    }

    void end(work_gate::ticket ticket, const std::string& model,
             attempt_outcome outcome)
    {
        attempt_end result;
        result.outcome = std::move(outcome);
        result.credit = pool_.batch_credit(model);
        const auto it = running_.find(ticket);
        if (it != running_.end())
        {
            result.target = std::move(it->second.target);
            running_.erase(it);
        }
        caller_thread_.post_completion(
            [self = shared_from_this(), ticket,
             result = std::move(result)]() mutable
            { self->tell_end(ticket, std::move(result)); });
    }

    // On the caller's thread.

    void tell_end(work_gate::ticket ticket, attempt_end result)
    {
        auto node = ended_.extract(ticket);
        if (!node.empty())
            node.mapped()(std::move(result));
    }

    target_pool& pool_;
    common::duty_thread& peer_thread_;
    common::duty_thread& caller_thread_;
    std::atomic<bool> credit_told_{false};

    /// Of the caller's thread.
    work_gate::ticket last_ticket_ = 0;
    std::unordered_map<work_gate::ticket, std::function<void(attempt_end)>>
        ended_;

    /// Of the peer thread.
    std::unordered_map<work_gate::ticket, started_attempt> running_;
};

} // namespace

work_gate make_pool_gate(target_pool& pool, common::duty_thread& peer_thread,
                         common::duty_thread& caller_thread)
{
    const auto gate =
        std::make_shared<pool_gate>(pool, peer_thread, caller_thread);
    work_gate result;
    result.start =
        [gate](attempt_start start, std::function<void(attempt_end)> ended)
    {
        return gate->start(std::move(start), std::move(ended));
    };
    result.cancel =
        [gate](work_gate::ticket ticket, std::function<void()> cancelled)
    {
        gate->cancel(ticket, std::move(cancelled));
    };
    result.credit =
        [gate](std::string model, std::function<void(std::size_t)> handler)
    {
        gate->ask_credit(std::move(model), std::move(handler));
    };
    result.on_credit = [gate](std::function<void()> hook)
    {
        gate->set_credit_hook(std::move(hook));
    };
    return result;
}

} // namespace tanagertrack::entry
