#ifndef TANAGERTRACK_ONLINE_CALL_HPP
#define TANAGERTRACK_ONLINE_CALL_HPP

#include "common/clock.hpp"
#include "fleet/configuration.hpp"
#include "http/header_list.hpp"
#include "routing/prompt.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace tanagertrack::online
{

/// Size of a request, as stated by the caller.
struct work_size
{
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
};

/// One online request, decoded from the caller's protocol.
struct call
{
    /// Request id. Chosen by the caller, which uses a new one for each of its
    /// own retries.
    std::string id;

    // The HTTP request that is forwarded to a target.
    std::string method;
    std::string target;
    std::string host;
    http::header_list headers;
    std::string body;

    /// Configuration under which the request was accepted; owns `*route`.
    fleet::configuration_ptr configuration;
    const fleet::route* route = nullptr;
    fleet::repetition repeats = fleet::repetition::once;

    /// Name of the caller's team, and the hash of the key by which it was
    /// found; empty if the request needs no key and has none.
    std::string team;
    std::string key_hash;

    /// Priority of the team, or of the route; 0 is the highest.
    std::uint32_t priority = 0;

    /// Time at which the request was received.
    common::time_point received;

    /// Time until which the caller waits for the response.
    common::time_point deadline;
    work_size size;

    /// Parts of the prompt; none if they are not known.
    routing::prompt prompt;

    /// Number of the last event that the caller has; the stream continues after
    /// it. Without a value, the stream starts with its first event.
    std::optional<std::uint64_t> after_event;
};

} // namespace tanagertrack::online

#endif
