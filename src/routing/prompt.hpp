#ifndef TANAGERTRACK_ROUTING_PROMPT_HPP
#define TANAGERTRACK_ROUTING_PROMPT_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::routing
{

/// Key of one part of a prompt: a hash of the part's id. The same part has the
/// same key in all processes.
using part_key = std::uint64_t;

/// Maximum number of parts of a prompt that are kept.
constexpr std::size_t max_prompt_parts = 64;

/// Parts of which the prompt of a request consists. A request whose parts are
/// not known has none.
struct prompt
{
    /// The parts that other requests may have in common, in their order: all
    /// but the last one.
    std::vector<part_key> shared;

    /// The last part, which belongs to the request or to its session; 0 if the
    /// parts are not known. Repeats of a request have the same one.
    part_key own = 0;
};

/// Returns the time for which no request with a prompt is sent to a target;
/// std::nullopt if one may be sent now.
using prompt_refusal =
    std::function<std::optional<std::chrono::milliseconds>(const prompt&)>;

/// Refuses no prompt.
inline std::optional<std::chrono::milliseconds> refuse_none(const prompt&)
{
    return std::nullopt;
}

/// Returns the key of the part with an id.
part_key make_part_key(std::string_view id);

/// Returns the prompt of these parts, in their order. Of a prompt with more
/// than `max_prompt_parts` parts, those in front of the last one are left out.
prompt make_prompt(std::span<const part_key> parts);

/// Returns all parts in their order, the own one last.
std::vector<part_key> all_parts(const prompt& value);

/// Returns the key as 16 hexadecimal digits, as in logs.
std::string to_string(part_key part);

/// Returns the keys, separated by commas, as in logs; "-" if there are none.
std::string list_parts(std::span<const part_key> parts);

} // namespace tanagertrack::routing

#endif
