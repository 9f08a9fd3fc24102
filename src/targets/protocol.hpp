#ifndef TANAGERTRACK_TARGETS_PROTOCOL_HPP
#define TANAGERTRACK_TARGETS_PROTOCOL_HPP

#include "http/client_connection.hpp"
#include "http/header_list.hpp"
#include "routing/target_load.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace tanagertrack::targets
{

/// A request to a target, before it is encoded in the target's protocol. Holds
/// views of a request that must outlive it.
struct outgoing_request
{
    /// Request id, by which a response is matched to its request.
    std::string_view id;
    std::string_view method;

    /// HTTP request target: path and query.
    std::string_view target;
    std::string_view host;

    /// End-to-end header fields of the caller.
    const http::header_list& headers;
    std::string_view body;

    /// Id of the intended target. Another process that now has the target's
    /// address refuses the request.
    std::string_view target_id;

    /// Remaining time until the caller's deadline; std::nullopt for batch
    /// items.
    std::optional<std::chrono::milliseconds> time_left;

    /// Number of the event after which the stream continues; std::nullopt to
    /// start with the first event.
    std::optional<std::uint64_t> after_event;
};

/// Classification of a response by its head.
enum class answer_kind : std::uint8_t
{
    /// The response to the request, to be relayed.
    answer,

    /// The target certainly did not run the request.
    not_run,

    /// Another process now has the address of the intended target, and did not
    /// run the request.
    replaced,

    /// Response to another request, or to none.
    foreign,

    /// A failure without the signature that each target adds. It is relayed to
    /// a caller, but proves nothing about the request.
    unsigned_failure,

    /// Bytes that don't count as a response, for example a success without the
    /// signature that each target adds. The request may have run.
    invalid
};

/// Request and connection to which a response is matched.
struct answer_context
{
    std::string_view request_id;

    /// True if no other request was sent on the connection before, so that the
    /// response can't belong to an earlier one.
    bool first_on_connection = false;
};

/// Encodes requests and decodes responses in the protocol of the targets. These
/// are hooks, so that the users' protocol is known to the platform adapter
/// only.
struct target_protocol
{
    /// Returns the complete HTTP request, head and body.
    std::function<std::string(const outgoing_request&)> write;

    /// Classifies a response by its head.
    std::function<answer_kind(const http::response_head&,
                              const answer_context&)>
        classify;

    /// Returns the target's load as reported in a response; std::nullopt if the
    /// response has no valid report. The receive time is not set.
    std::function<std::optional<routing::load_report>(
        const http::response_head&)>
        read_load;

    /// Returns true if a response says that its target is leaving.
    std::function<bool(const http::response_head&)> is_leaving =
        [](const http::response_head&)
    {
        return false;
    };
};

} // namespace tanagertrack::targets

#endif
