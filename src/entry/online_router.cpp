#include "entry/online_router.hpp"

#include "common/duty_thread.hpp"
#include "common/logging.hpp"
#include "common/metrics.hpp"
#include "entry/caller_exchange.hpp"
#include "entry/online_request.hpp"

#include <boost/asio/io_context.hpp>

#include <unordered_map>
#include <utility>

namespace tanagertrack::entry
{

struct online_router::impl
{
    impl(const config::settings& settings, common::metrics_registry& metrics,
         target_pool& pool, common::duty_thread& owner)
        : thread(owner),
          shared{
              settings,
              metrics,
              pool,
              owner.context(),
              routing::retry_budget({.ratio = settings.routing.retry_budget}),
              metrics.get_counter("tanagertrack_retries_total",
                                  "attempts after the first one, before "
                                  "any part of the answer was sent"),
              metrics.get_counter("tanagertrack_resumes_total",
                                  "streamed answers that went on at another "
                                  "target")}
    {
    }

    void start(online_call call);

    /// Runs `call` with the request if it is still there.
    template<typename Call>
    void with(std::uint64_t id, Call call)
    {
        const auto it = requests.find(id);
        if (it == requests.end())
            return;
        const auto request = it->second;
        call(*request);
    }

    common::duty_thread& thread;
    online_environment shared;
    std::uint64_t last_id = 0;
    std::unordered_map<std::uint64_t, online_request_ptr> requests;
};

void online_router::impl::start(online_call call)
{
    // Hooks that the connection keeps name the request by its number: they
    // may be destroyed on another thread.
    const auto id = ++last_id;
    const auto caller = call.request;
    const online_request_ptr request(new online_request(
        shared, std::move(call), [this, id] { requests.erase(id); }));
    requests.emplace(id, request);
    request->written_hook = [this, id](std::error_code ec)
    {
        with(id, [ec](online_request& it) { it.written(ec); });
    };
    caller->on_abandoned([this, id]
                         { with(id, [](auto& it) { it.abandon(); }); });
    request->start();
}

online_router::online_router(const config::settings& settings,
                             common::metrics_registry& metrics,
                             target_pool& pool,
                             common::duty_thread& peer_thread)
    : impl_(std::make_unique<impl>(settings, metrics, pool, peer_thread))
{
}

online_router::~online_router() = default;

void online_router::handle(online_call call)
{
    // Both the ring and the refusal need the request.
    auto shared_call = std::make_shared<online_call>(std::move(call));
    const auto request = shared_call->request;
    if (impl_->thread.post([it = impl_.get(), shared_call]
                           { it->start(std::move(*shared_call)); }))
        return;
    const http::rejection why(common::result_code::ring_full);
    count_rejection(impl_->shared.metrics, why.code);
    refuse(*request, why);
}

void online_router::close()
{
    const auto requests = std::move(impl_->requests);
    impl_->requests.clear();
    for (const auto& [id, it] : requests)
        it->abandon();
}

} // namespace tanagertrack::entry
