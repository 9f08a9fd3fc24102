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

/// A request as a target gets it, before it is written in the target's
/// protocol. Views into a request that outlives it.
struct outgoing_request
{
    std::string_view id;
    std::string_view method;
    std::string_view target;
    std::string_view host;

    /// End-to-end header fields of the caller.
    const http::header_list& headers;
    std::string_view body;

    /// Target that is meant: one that has its address now refuses.
    std::string_view target_id;

    /// Time that the caller still waits; nothing for batch items.
    std::optional<std::chrono::milliseconds> time_left;

    /// Event after which the stream goes on; nothing: from the start.
    std::optional<std::uint64_t> after_event;
};

/// What the head of an answer says about the request.
enum class answer_kind : std::uint8_t
{
    /// It belongs to the request and is its answer.
    answer,

    /// The target certainly did not run the request.
    not_run,

    /// The target that was meant is not at the address any more; the one that
    /// is there did not run the request.
    replaced,

    /// It belongs to another request, or to none.
    foreign
};

/// What is known of the connection on which an answer came.
struct answer_context
{
    std::string_view request_id;

    /// No other request was sent on the connection before.
    bool first_on_connection = false;
};

/// How targets are spoken to: hooks, so that the users' protocol stays in the
/// adapter.
struct target_protocol
{
    /// The whole request, head and body.
    std::function<std::string(const outgoing_request&)> write;
    std::function<answer_kind(const http::response_head&,
                              const answer_context&)>
        classify;

    /// Load that an answer reports; nothing if it does not.
    std::function<std::optional<routing::load_report>(
        const http::response_head&)>
        read_load;
};

} // namespace tanagertrack::targets

#endif
