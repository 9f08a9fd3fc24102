#include "entry/log_proxy.hpp"

#include "common/duty_thread.hpp"
#include "common/result_code.hpp"

#include <memory>
#include <utility>

namespace tanagertrack::entry
{

using common::result_code;

services::log_service make_log_proxy(services::log_service log,
                                     common::duty_thread& log_thread,
                                     common::duty_thread& caller_thread)
{
    const auto target = std::make_shared<services::log_service>(std::move(log));
    services::log_service proxy;
    proxy.append = [target, &log_thread,
                    &caller_thread](std::string stream, std::string data,
                                    services::log_append_handler handler)
    {
        auto answer =
            [&caller_thread, handler](std::error_code ec, std::uint64_t offset)
        {
            caller_thread.post_completion([handler, ec, offset]
                                          { handler(ec, offset); });
        };
        const bool posted = log_thread.post(
            [target, answer, stream = std::move(stream),
             data = std::move(data)]() mutable
            { target->append(std::move(stream), std::move(data), answer); });
        if (!posted)
            answer(result_code::log_unavailable, 0);
    };
    proxy.read = [target, &log_thread,
                  &caller_thread](services::log_read_request request,
                                  services::log_read_handler handler)
    {
        auto answer = [&caller_thread, handler](
                          std::error_code ec, services::log_read_result result)
        {
            caller_thread.post_completion(
                [handler, ec, result = std::move(result)]() mutable
                { handler(ec, std::move(result)); });
        };
        const bool posted = log_thread.post(
            [target, answer, request = std::move(request)]() mutable
            { target->read(std::move(request), answer); });
        if (!posted)
            answer(result_code::log_unavailable, {});
    };
    return proxy;
}

} // namespace tanagertrack::entry
