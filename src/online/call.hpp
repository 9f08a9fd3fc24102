#ifndef TANAGERTRACK_ONLINE_CALL_HPP
#define TANAGERTRACK_ONLINE_CALL_HPP

#include "common/clock.hpp"
#include "fleet/configuration.hpp"
#include "http/header_list.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace tanagertrack::online
{

/// Size of the work that a caller asks for.
struct work_size
{
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
};

/// One online request, decoded from the protocol of its caller.
struct call
{
    /// Chosen by the caller; each of its attempts has another one.
    std::string id;

    // The request as it goes to a target.
    std::string method;
    std::string target;
    std::string host;
    http::header_list headers;
    std::string body;

    /// Configuration under which the request was taken; keeps `route` alive.
    fleet::configuration_ptr configuration;
    const fleet::route* route = nullptr;
    fleet::repetition repeats = fleet::repetition::once;

    /// Until when the caller waits.
    common::time_point received;
    common::time_point deadline;
    work_size size;

    /// Event after which the caller wants the stream to go on.
    std::optional<std::uint64_t> after_event;
};

} // namespace tanagertrack::online

#endif
