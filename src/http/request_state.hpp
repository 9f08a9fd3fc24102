#ifndef TANAGERTRACK_HTTP_REQUEST_STATE_HPP
#define TANAGERTRACK_HTTP_REQUEST_STATE_HPP

#include "http/http_exchange.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <limits>

namespace tanagertrack::http
{

/// One step of an answer that waits to be written.
struct answer_step
{
    enum class kind
    {
        whole,
        start,
        piece,
        finish,
        abort
    };

    kind what = kind::whole;
    answer_head head;
    std::string data;
    http_exchange::written_handler handler;
};

/// State of one request, shared by its session and its exchange. All but
/// `head` is used on the server's thread only.
struct request_state
{
    request_head head;
    http_exchange::handler_runner runner;

    http_exchange::body_handler reader;
    std::uint64_t max_body_bytes = std::numeric_limits<std::uint64_t>::max();
    std::uint64_t body_bytes = 0;

    /// Time spent waiting for bytes of the body.
    std::chrono::steady_clock::duration reading_time{};
    bool body_complete = false;

    std::deque<answer_step> steps;
    std::function<void()> abandoned;

    /// An answer was given whole or to its end.
    bool answered = false;

    /// The session takes no more calls.
    bool closed = false;

    /// Calls a handler where the exchange's user wants it.
    void run(std::function<void()> handler) const
    {
        if (runner)
            runner(std::move(handler));
        else
            handler();
    }
};

} // namespace tanagertrack::http

#endif
