#include "agent/target_runner.hpp"

#include "agent/completion_json.hpp"
#include "common/duty_thread.hpp"
#include "common/result_code.hpp"

#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace tanagertrack::agent
{

using common::result_code;

namespace
{

/// Events of one call on their way from the target thread to the peer
/// thread. One task on the peer thread delivers all that wait.
class run_impl : public target_run,
                 public std::enable_shared_from_this<run_impl>
{
public:
    run_impl(common::duty_thread& peer, common::duty_thread& target,
             std::size_t max_waiting_bytes, bool extract_text,
             target_run_hooks hooks)
        : peer_(peer), target_(target), max_waiting_bytes_(max_waiting_bytes),
          extract_text_(extract_text), hooks_(std::move(hooks))
    {
    }

    // ---- peer thread ----

    void cancel() override
    {
        ended_ = true;
        target_.post_completion([self = shared_from_this()]
                                { self->cancel_at_target(); });
    }

    // ---- target thread ----

    void call(const services::target_service& service,
              services::target_request request)
    {
        if (cancelled_)
            return;
        services::target_hooks hooks;
        const auto self = shared_from_this();
        hooks.on_sent = [self]
        {
            self->put([](auto& it) { it.sent = true; });
        };
        hooks.on_event = [self](std::string_view data)
        {
            self->put_event(data);
        };
        hooks.on_finished = [self](services::target_answer answer)
        {
            self->put([&](auto& it) { it.answer = std::move(answer); });
        };
        hooks.on_failed = [self](std::error_code ec)
        {
            self->put([&](auto& it) { it.failure = ec; });
        };
        cancel_ = service.call(std::move(request), std::move(hooks));
    }

private:
    /// What waits for the peer thread, in this order.
    struct waiting
    {
        bool sent = false;
        std::vector<target_event> events;
        std::size_t bytes = 0;
        std::optional<services::target_answer> answer;
        std::optional<std::error_code> failure;
    };

    void cancel_at_target()
    {
        cancelled_ = true;
        if (cancel_)
            cancel_();
    }

    void put_event(std::string_view data)
    {
        target_event event{std::string(data),
                           extract_text_ ? event_text(data) : std::string()};
        bool over = false;
        put(
            [&](auto& it)
            {
                it.bytes += event.data.size() + event.text.size();
                over = it.bytes > max_waiting_bytes_;
                if (over)
                    it.failure = result_code::overloaded;
                else
                    it.events.push_back(std::move(event));
            });
        if (over)
            cancel_at_target();
    }

    /// Changes what waits, and wakes the peer thread if it does not know.
    template<typename Function>
    void put(Function change)
    {
        {
            const std::lock_guard lock(mutex_);
            change(waiting_);
            if (std::exchange(notified_, true))
                return;
        }
        peer_.post_completion([self = shared_from_this()] { self->deliver(); });
    }

    void deliver()
    {
        waiting all;
        {
            const std::lock_guard lock(mutex_);
            all = std::exchange(waiting_, {});
            notified_ = false;
        }
        if (all.sent && !ended_)
            hooks_.on_sent();
        for (const auto& it : all.events)
            if (!ended_)
                hooks_.on_event(it);
        if (ended_ || (!all.answer && !all.failure))
            return;
        ended_ = true;
        if (all.failure)
            hooks_.on_failed(*all.failure);
        else
            hooks_.on_finished(std::move(*all.answer));
    }

    common::duty_thread& peer_;
    common::duty_thread& target_;
    const std::size_t max_waiting_bytes_;
    const bool extract_text_;

    // Peer thread.
    const target_run_hooks hooks_;
    bool ended_ = false;

    // Target thread.
    services::target_cancel cancel_;
    bool cancelled_ = false;

    // Both threads.
    std::mutex mutex_;
    waiting waiting_;
    bool notified_ = false;
};

} // namespace

target_runner::target_runner(common::duty_thread& peer,
                             common::duty_thread& target,
                             services::target_service service,
                             std::size_t max_waiting_bytes)
    : peer_(peer), target_(target), service_(std::move(service)),
      max_waiting_bytes_(max_waiting_bytes)
{
}

std::shared_ptr<target_run>
target_runner::start(services::target_request request, bool extract_text,
                     target_run_hooks hooks)
{
    const auto run = std::make_shared<run_impl>(
        peer_, target_, max_waiting_bytes_, extract_text, std::move(hooks));
    const bool posted =
        target_.post([this, run, request = std::move(request)]() mutable
                     { run->call(service_, std::move(request)); });
    return posted ? run : nullptr;
}

} // namespace tanagertrack::agent
