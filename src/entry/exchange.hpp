#ifndef TANAGERTRACK_ENTRY_EXCHANGE_HPP
#define TANAGERTRACK_ENTRY_EXCHANGE_HPP

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <system_error>

namespace tanagertrack::entry
{

/// Head of a caller's request after authentication.
struct exchange_head
{
    /// HTTP method and request target, as received.
    std::string method;
    std::string target;

    /// Name of the authenticated team.
    std::string team;

    /// Value of the Idempotency-Key header; empty if there was none.
    std::string idempotency_key;
    std::string content_type;
    std::string request_id;

    /// Length of the body in bytes; 0 when it is not known or empty.
    std::uint64_t content_length = 0;
};

/// Head of an answer.
struct exchange_answer
{
    unsigned status = 200;
    std::string content_type = "application/json";

    /// Value of the Retry-After header in seconds; 0: no header.
    unsigned retry_after_s = 0;
};

/// One caller's request whose body and answer are streamed with
/// backpressure. It comes from an HTTP connection or, forwarded, from another
/// entry. Each call may be made from any thread; each handler runs on the
/// thread that the exchange was given for its handlers.
class exchange
    : public boost::intrusive_ref_counter<exchange, boost::thread_safe_counter>
{
public:
    /// Gets the next piece of the body; `end` with the last one, which may be
    /// empty. An error when the caller is gone, too slow, or over a limit.
    using body_handler =
        std::function<void(std::error_code ec, std::string chunk, bool end)>;

    /// Called when the piece was handed to the socket, or with an error when
    /// the caller is gone or reads too slowly.
    using written_handler = std::function<void(std::error_code ec)>;

    virtual ~exchange() = default;

    virtual const exchange_head& head() const = 0;

    /// Reads on; one call at a time.
    virtual void read_body(body_handler handler) = 0;

    /// Sends a whole answer. Nothing else is called afterwards. The rest of
    /// the body is discarded.
    virtual void respond(exchange_answer answer, std::string body) = 0;

    /// Starts a streamed answer.
    virtual void start_answer(exchange_answer answer) = 0;

    /// Sends a piece of a streamed answer; one call at a time.
    virtual void write(std::string chunk, written_handler handler) = 0;

    /// Ends a streamed answer.
    virtual void finish() = 0;

    /// Ends a streamed answer that can't be completed: the caller sees a
    /// truncated answer, never a complete one.
    virtual void abort() = 0;

    /// Sets a hook that is called once if the caller goes away before the
    /// answer is complete.
    virtual void on_abandoned(std::function<void()> hook) = 0;
};

using exchange_ptr = boost::intrusive_ptr<exchange>;

} // namespace tanagertrack::entry

#endif
