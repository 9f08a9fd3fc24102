#ifndef TANAGERTRACK_HTTP_HTTP_EXCHANGE_HPP
#define TANAGERTRACK_HTTP_HTTP_EXCHANGE_HPP

#include "http/error_answer.hpp"
#include "http/http_message.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace tanagertrack::http
{

class http_session;
struct request_state;

/// One request and its response, both streamed with backpressure. Thread-safe:
/// calls are posted to the server's thread. If the last reference is released
/// before the response is complete, the caller gets internal_error, or a closed
/// connection if the response was started.
class http_exchange
    : public boost::intrusive_ref_counter<http_exchange,
                                          boost::thread_safe_counter>
{
public:
    /// Receives the next piece of the body. `end` is true for the last one,
    /// which may be empty.
    using body_handler =
        std::function<void(std::error_code ec, std::string chunk, bool end)>;

    /// Called when the piece was written to the socket; with connection_lost if
    /// the caller disconnected.
    using written_handler = std::function<void(std::error_code ec)>;

    /// Runs a handler, for example by posting it to another thread.
    using handler_executor = std::function<void(std::function<void()>)>;

    http_exchange(std::shared_ptr<http_session> session,
                  std::shared_ptr<request_state> state);
    ~http_exchange();

    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;

    const request_head& head() const;

    /// Sets how handlers are run; the default is directly on the server's
    /// thread. Call while no handler is pending.
    void set_handler_executor(handler_executor executor);

    /// Sets the maximum size of the body in bytes. Reading a larger body fails
    /// with body_too_large. Call before `read_body`.
    void limit_body(std::uint64_t max_bytes);

    /// Declares that the pieces of the body are kept until the request ends, so
    /// that they count as held. Call before `read_body`.
    void keep_body();

    /// Sets the number of bytes that the recipient of the body holds in other
    /// ways, in place of the number set before.
    void set_held_bytes(std::size_t bytes);

    /// Reads the next piece of the body; fails with overloaded if the process
    /// holds too much for its callers. At most one call may be pending.
    void read_body(body_handler handler);

    /// Sends a complete response. Must be the last call that sends anything.
    void respond(answer_head head, std::string body);

    /// Sends a rejection as a complete response.
    void refuse(const rejection& reason);

    /// Starts a streamed response.
    void start_answer(answer_head head);

    /// Sends a piece of a streamed response. At most one call may be pending.
    void write(std::string chunk, written_handler handler);

    /// Completes a streamed response.
    void finish();

    /// Closes the connection without completing the response.
    void abort();

    /// Sets a hook that is called once if the caller disconnects before the
    /// response is complete.
    void on_abandoned(std::function<void()> hook);

private:
    template<typename Function>
    void post_to_session(Function function);

    std::shared_ptr<http_session> session_;
    std::shared_ptr<request_state> state_;
};

using http_exchange_ptr = boost::intrusive_ptr<http_exchange>;

/// Reads the whole body, at most `max_bytes`, and calls `handler` with it or
/// with an error.
void read_whole_body(
    const http_exchange_ptr& exchange, std::uint64_t max_bytes,
    std::function<void(std::error_code ec, std::string body)> handler);

} // namespace tanagertrack::http

#endif
