#ifndef TANAGERTRACK_STANDIN_STAND_IN_HPP
#define TANAGERTRACK_STANDIN_STAND_IN_HPP

#include "standin/fault_table.hpp"
#include "standin/http_exchange.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace tanagertrack::standin
{

/// Base class of the stand-ins, which replace engines, services, the store and
/// network connections in tests. Faults are injected through POST
/// /control/fault; every kind has `refuse` (requests get no answer and their
/// connection is closed) and `delay_ms` (delay before each request is handled).
/// Not thread-safe: all calls are made on the thread of the io_context.
class stand_in
{
public:
    stand_in()
    {
        faults_.add("refuse", refuse_);
        faults_.add("delay_ms", delay_ms_);
    }

    virtual ~stand_in() = default;

    stand_in(const stand_in&) = delete;
    stand_in& operator=(const stand_in&) = delete;

    /// Responds to a request that http_server doesn't handle itself. The
    /// server closes the connection if it throws boost::system::system_error.
    virtual boost::asio::awaitable<void> handle(http_exchange& exchange) = 0;

    /// Returns the body of GET /control/seen: counters, and for some kinds a
    /// list of executions, which tests compare with what clients got.
    virtual boost::json::object seen() const = 0;

    /// Applies the body of POST /control/fault. Returns an empty string, or an
    /// error message if the body is invalid.
    virtual std::string apply_fault(std::string_view text)
    {
        return faults_.apply(text);
    }

    fault_table& faults()
    {
        return faults_;
    }

    /// Returns true if requests get no answer and their connection is closed.
    bool refuses() const
    {
        return refuse_;
    }

    /// Delay before each request is handled, in ms.
    std::int64_t delay_ms() const
    {
        return delay_ms_;
    }

private:
    fault_table faults_;
    bool refuse_ = false;
    std::int64_t delay_ms_ = 0;
};

} // namespace tanagertrack::standin

#endif
