#include "standin/weight_store_stand_in.hpp"

#include <string>

namespace tanagertrack::standin
{

weight_store_stand_in::weight_store_stand_in(weight_store_settings settings)
    : settings_(settings)
{
    faults().add("reads_per_second", settings_.reads_per_second);
}

boost::asio::awaitable<void>
weight_store_stand_in::handle(http_exchange& exchange)
{
    constexpr std::string_view prefix = "/weights/";
    if (!exchange.path().starts_with(prefix))
    {
        co_await exchange.respond(404, "{}");
        co_return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (now - second_ >= std::chrono::seconds(1))
    {
        second_ = now;
        reads_in_second_ = 0;
    }
    if (reads_in_second_ >= settings_.reads_per_second)
    {
        ++refused_;
        exchange.add_header("Retry-After", "1");
        co_await exchange.respond(429, "{}");
        co_return;
    }
    ++reads_in_second_;
    ++reads_;
    const auto size = static_cast<std::size_t>(settings_.weight_bytes);
    co_await exchange.respond(200, std::string(size, 'w'),
                              "application/octet-stream");
}

boost::json::object weight_store_stand_in::seen() const
{
    boost::json::object out;
    out["reads"] = reads_;
    out["refused"] = refused_;
    return out;
}

} // namespace tanagertrack::standin
