#ifndef TANAGERTRACK_STANDIN_SERVICE_STAND_IN_HPP
#define TANAGERTRACK_STANDIN_SERVICE_STAND_IN_HPP

#include "standin/stand_in.hpp"

#include <cstdint>
#include <deque>
#include <string>

namespace tanagertrack::standin
{

/// Service that executes every call, answers with an echo of its body, and
/// records it for GET /control/seen. Faults: `answer_delay_ms` (time between
/// execution and answer), `fail_next` (the next N calls get 500 and are not
/// executed), `drop_answers` (the next N calls are executed and their
/// connections closed without an answer).
class service_stand_in : public stand_in
{
public:
    /// `name` is given in the answers. Requests that expect another target than
    /// `id` are rejected with 421; an empty `id` accepts all.
    service_stand_in(std::string name, std::string id);

    boost::asio::awaitable<void> handle(http_exchange& exchange) override;
    boost::json::object seen() const override;

private:
    /// Executions listed by GET /control/seen; older ones are dropped.
    static constexpr std::size_t max_seen = 20000;

    /// Entry of GET /control/seen for a call that was executed.
    struct execution
    {
        std::uint64_t number = 0;
        std::string method;
        std::string path;
        std::string body_hash;
        std::string work_id;

        /// Unix time of the execution in ms.
        std::uint64_t at_ms = 0;
    };

    void record_execution(const http_exchange& exchange);

    std::string name_;
    std::string id_;
    std::deque<execution> seen_;
    std::uint64_t executions_ = 0;
    std::int64_t answer_delay_ms_ = 0;
    std::int64_t fail_next_ = 0;
    std::int64_t drop_answers_ = 0;
};

} // namespace tanagertrack::standin

#endif
