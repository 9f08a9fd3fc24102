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

/// One request and its answer, both streamed with backpressure. Each call may
/// be made from any thread. A request whose exchange is released without an
/// answer gets internal_error.
class http_exchange
    : public boost::intrusive_ref_counter<http_exchange,
                                          boost::thread_safe_counter>
{
public:
    /// Next piece of the body; `end` with the last one, which may be empty.
    using body_handler =
        std::function<void(std::error_code ec, std::string chunk, bool end)>;

    /// The piece was handed to the socket, or the caller is gone.
    using written_handler = std::function<void(std::error_code ec)>;

    /// Runs a handler on the thread of the exchange's user.
    using handler_runner = std::function<void(std::function<void()>)>;

    http_exchange(std::shared_ptr<http_session> session,
                  std::shared_ptr<request_state> state);
    ~http_exchange();

    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;

    const request_head& head() const;

    /// Sets where handlers run; otherwise they run on the server's thread.
    /// Call while no handler is outstanding.
    void run_handlers_with(handler_runner runner);

    /// Sets the number of bytes above which reading the body fails with
    /// body_too_large. Call before `read_body`.
    void limit_body(std::uint64_t max_bytes);

    /// Reads on; one call at a time.
    void read_body(body_handler handler);

    /// Sends a whole answer. Nothing else is called afterwards.
    void respond(answer_head head, std::string body);

    /// Sends a rejection as a whole answer.
    void refuse(const rejection& why);

    /// Starts a streamed answer.
    void start_answer(answer_head head);

    /// Sends a piece of a streamed answer; one call at a time.
    void write(std::string chunk, written_handler handler);

    /// Ends a streamed answer.
    void finish();

    /// Ends the connection without the end of the answer.
    void abort();

    /// Sets a hook that is called once if the caller goes away before the
    /// answer is complete.
    void on_abandoned(std::function<void()> hook);

private:
    template<typename Function>
    void on_session(Function function);

    std::shared_ptr<http_session> session_;
    std::shared_ptr<request_state> state_;
};

using http_exchange_ptr = boost::intrusive_ptr<http_exchange>;

/// Reads a whole body of at most `max_bytes` and calls `handler` with it, or
/// with an error.
void read_whole_body(
    const http_exchange_ptr& exchange, std::uint64_t max_bytes,
    std::function<void(std::error_code ec, std::string body)> handler);

} // namespace tanagertrack::http

#endif
