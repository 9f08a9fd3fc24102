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

/// A small program in place of a platform service, with faults on request.
/// One thread.
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

    /// Answers a request other than those under /control and /healthz.
    virtual boost::asio::awaitable<void> handle(http_exchange& exchange) = 0;

    /// What was done so far, for checkers.
    virtual boost::json::object seen() const = 0;

    /// Applies the body of POST /control/fault. Returns an empty text, or
    /// what is wrong with it.
    virtual std::string apply_fault(std::string_view text)
    {
        return faults_.apply(text);
    }

    fault_table& faults()
    {
        return faults_;
    }

    /// Whether requests find a closed connection.
    bool refuses() const
    {
        return refuse_;
    }

    /// Time that each request waits before it is handled, in ms.
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
