#ifndef TANAGERTRACK_HTTP_REQUEST_STATE_HPP
#define TANAGERTRACK_HTTP_REQUEST_STATE_HPP

#include "http/http_exchange.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <limits>

namespace tanagertrack::http
{

/// A part of a response that waits to be written.
struct answer_step
{
    enum class kind
    {
        whole,  // complete response: head and data
        start,  // head of a streamed response
        piece,  // data of a streamed response
        finish, // end of a streamed response
        abort   // closes the connection without the end of the response
    };

    kind type = kind::whole;
    answer_head head;
    std::string data;
    http_exchange::written_handler handler;
};

/// State of one request, shared by its session and its exchange. Except for
/// `head`, it is used on the server's thread only.
struct request_state
{
    request_head head;

    /// Size of the request target and the header fields.
    std::size_t head_bytes = 0;

    /// Runs handlers; if empty, they are called directly.
    http_exchange::handler_executor executor;

    /// Handler of the pending read of the body, if any.
    http_exchange::body_handler read_handler;
    std::uint64_t max_body_bytes = std::numeric_limits<std::uint64_t>::max();
    std::uint64_t body_bytes = 0;

    /// Total time spent waiting for bytes of the body.
    std::chrono::steady_clock::duration reading_time{};
    bool body_complete = false;

    /// True if the recipient keeps the body until the end of the request.
    bool keeps_body = false;

    /// Steps of the response that are not yet written.
    std::deque<answer_step> steps;

    /// Called if the caller disconnects before the response is complete.
    std::function<void()> abandoned_hook;

    /// True once the last step of the response is queued.
    bool answered = false;

    /// True once the session has finished the request; later calls fail.
    bool closed = false;

    /// Calls `handler` through `executor`, if it is set.
    void run(std::function<void()> handler) const
    {
        if (executor)
            executor(std::move(handler));
        else
            handler();
    }
};

} // namespace tanagertrack::http

#endif
