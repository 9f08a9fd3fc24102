#ifndef TANAGERTRACK_STANDIN_TARGET_HEADERS_HPP
#define TANAGERTRACK_STANDIN_TARGET_HEADERS_HPP

#include "standin/http_exchange.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace tanagertrack::standin
{

/// Load that a target reports in a header field of each answer.
struct reported_load
{
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::int64_t slots = 1;

    /// Time that a request takes, in percent of the normal time.
    std::int64_t slowdown_percent = 100;
};

/// Adds the header fields that the platform's protocol requires in the answer
/// of target `target_id`.
inline void add_target_headers(http_exchange& exchange,
                               std::string_view target_id,
                               const reported_load& load)
{
    exchange.add_header("X-Tanagertrack-Request-Id",
                        exchange.header("X-Tanagertrack-Request-Id"));
    exchange.add_header("X-Tanagertrack-Server-Load",
                        std::to_string(load.running) + ',' +
                            std::to_string(load.waiting) + ',' +
                            std::to_string(load.slots) + ',' +
                            std::to_string(load.slowdown_percent));
    exchange.add_header("X-Tanagertrack-Server-Stamp",
                        "stamp." + std::string(target_id));
}

/// Returns true if the request names another target than `target_id` as the one
/// that is to execute it. Returns false if it names none or `target_id` is
/// empty.
inline bool expects_other_target(const http_exchange& exchange,
                                 std::string_view target_id)
{
    const auto expected = exchange.header("X-Tanagertrack-Expect-Instance");
    return !target_id.empty() && !expected.empty() && expected != target_id;
}

} // namespace tanagertrack::standin

#endif
