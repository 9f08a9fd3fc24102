#ifndef TANAGERTRACK_ROUTING_PROMPT_HPP
#define TANAGERTRACK_ROUTING_PROMPT_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace tanagertrack::routing
{

/// Key of one part of a prompt: a hash of the part's id. The same part has the
/// same key in all processes.
using part_key = std::uint64_t;

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

/// Returns the key of the part with an id.
part_key make_part_key(const std::string& id);

/// Returns the key as 16 hexadecimal digits, as in logs.
std::string to_string(part_key part);

/// Returns the keys of the shared parts, separated by commas; "-" if there are
/// none.
std::string list_shared_parts(const prompt& value);

} // namespace tanagertrack::routing

#endif
