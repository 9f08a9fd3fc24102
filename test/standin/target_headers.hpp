#ifndef TANAGERTRACK_STANDIN_TARGET_HEADERS_HPP
#define TANAGERTRACK_STANDIN_TARGET_HEADERS_HPP

#include "standin/http_exchange.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace tanagertrack::standin
{

/// Load that a target states with each answer.
struct stated_load
{
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::int64_t slots = 1;

    /// Time that work takes, in percent of the usual.
    std::int64_t percent = 100;
};

/// Adds the header fields of the users' protocol to a target's answer.
inline void add_target_headers(http_exchange& exchange, std::string_view name,
                               const stated_load& load)
{
    exchange.add_header("X-Tanagertrack-Request-Id",
                        exchange.header("X-Tanagertrack-Request-Id"));
    exchange.add_header("X-Tanagertrack-Server-Load",
                        std::to_string(load.running) + ',' +
                            std::to_string(load.waiting) + ',' +
                            std::to_string(load.slots) + ',' +
                            std::to_string(load.percent));
    exchange.add_header("X-Tanagertrack-Server-Stamp",
                        "stamp." + std::string(name));
}

/// Whether the request expects another target than `name`.
inline bool expects_another(const http_exchange& exchange,
                            std::string_view name)
{
    const auto expected = exchange.header("X-Tanagertrack-Expect-Instance");
    return !name.empty() && !expected.empty() && expected != name;
}

} // namespace tanagertrack::standin

#endif
