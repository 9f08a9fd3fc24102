#ifndef TANAGERTRACK_ENTRY_ASYNC_CALL_HPP
#define TANAGERTRACK_ENTRY_ASYNC_CALL_HPP

#include "common/clock.hpp"
#include "entry/exchange.hpp"
#include "entry/record_cache.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <utility>

namespace tanagertrack::entry
{

/// Waits for a call that gives its result to a handler. `start` makes the
/// call; the handler is called at most once, on the thread of the coroutine's
/// executor, and may be called within `start`.
template<typename Result>
boost::asio::awaitable<Result>
await_call(std::function<void(std::function<void(Result)>)> start)
{
    namespace asio = boost::asio;
    auto executor = co_await asio::this_coro::executor;
    auto initiate = [&start, &executor](auto handler)
    {
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        start(
            [shared, executor](Result result)
            {
                asio::post(executor,
                           [shared, result = std::move(result)]() mutable
                           { (*shared)(std::move(result)); });
            });
    };
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<>,
                                            void(Result)>(initiate,
                                                          asio::use_awaitable);
}

/// A result that is waited for with a time limit.
template<typename Result>
class timed_result
{
public:
    explicit timed_result(const boost::asio::any_io_executor& executor)
        : state_(std::make_shared<state>(executor))
    {
    }

    /// Handler that sets the result; may be called when nobody waits any more.
    std::function<void(Result)> setter() const
    {
        return [it = state_](Result result)
        {
            it->result = std::move(result);
            it->timer.cancel();
        };
    }

    /// Waits until the result is set or `deadline` passes; null then.
    boost::asio::awaitable<const Result*> wait(common::time_point deadline)
    {
        const auto it = state_;
        if (!it->result)
        {
            it->timer.expires_at(deadline);
            co_await it->timer.async_wait(
                boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        co_return it->result ? &*it->result : nullptr;
    }

private:
    struct state
    {
        explicit state(const boost::asio::any_io_executor& executor)
            : timer(executor)
        {
        }

        boost::asio::steady_timer timer;
        std::optional<Result> result;
    };

    std::shared_ptr<state> state_;
};

/// A piece of a body.
struct body_piece
{
    std::error_code ec;
    std::string data;
    bool end = false;
};

/// Reads the next piece of a request's body.
inline boost::asio::awaitable<body_piece> read_piece(exchange_ptr request)
{
    return await_call<body_piece>(
        [request](std::function<void(body_piece)> done)
        {
            request->read_body(
                [done](std::error_code ec, std::string data, bool end) {
                    done({ec, std::move(data), end});
                });
        });
}

/// Sends a piece of a streamed answer.
inline boost::asio::awaitable<std::error_code> write_piece(exchange_ptr request,
                                                           std::string data)
{
    return await_call<std::error_code>(
        [request, data = std::move(data)](
            std::function<void(std::error_code)> done) mutable
        { request->write(std::move(data), std::move(done)); });
}

/// A record of the log, or why there is none.
struct loaded_record
{
    std::error_code ec;
    record_cache::record_ptr record;
};

/// Gets a record from the cache or the log. The cache outlives the call.
inline boost::asio::awaitable<loaded_record>
load_record(record_cache& cache, std::uint32_t partition, std::uint64_t offset)
{
    return await_call<loaded_record>(
        [&cache, partition, offset](std::function<void(loaded_record)> done)
        {
            cache.load(
                partition, offset,
                [done](std::error_code ec, record_cache::record_ptr record) {
                    done({ec, std::move(record)});
                });
        });
}

} // namespace tanagertrack::entry

#endif
