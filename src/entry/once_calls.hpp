#ifndef TANAGERTRACK_ENTRY_ONCE_CALLS_HPP
#define TANAGERTRACK_ENTRY_ONCE_CALLS_HPP

#include "entry/batch_core.hpp"
#include "entry/exchange.hpp"
#include "entry/job_id.hpp"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tanagertrack::entry
{

/// Online calls that may not be repeated: each runs at most once, whatever is
/// lost and however often it is sent. On the batch thread.
class once_calls : public std::enable_shared_from_this<once_calls>
{
public:
    explicit once_calls(std::shared_ptr<batch_core> core);

    /// Serves one call to `service`; `id` is in a partition that is held.
    boost::asio::awaitable<void> run(exchange_ptr request, std::string service,
                                     placed_id id);

private:
    /// Answer to a call, for its caller and those who sent it again.
    struct call_answer
    {
        exchange_answer head;
        std::string body;
    };

    using answer_handler = std::function<void(call_answer)>;

    /// A call between the append of its intent and its outcome.
    struct running_call
    {
        std::string content_hash;
        std::vector<answer_handler> waiting;
    };

    /// A call on its way.
    struct call_context
    {
        std::string service;
        placed_id id;
        std::uint64_t claim = 0;
        std::string content_hash;
        std::string body;
        common::time_point deadline;
    };

    boost::asio::awaitable<call_answer> answer(exchange_ptr request,
                                               call_context it);
    boost::asio::awaitable<call_answer> execute(exchange_ptr request,
                                                call_context it);
    boost::asio::awaitable<call_answer> replay(exchange_ptr request,
                                               call_context it);
    boost::asio::awaitable<call_answer> wait_for(exchange_ptr request,
                                                 call_context it);
    boost::asio::awaitable<call_answer>
    finish(exchange_ptr request, call_context it, attempt_end end);
    boost::asio::awaitable<bool> record_outcome(const call_context& it,
                                                proto::Outcome outcome);
    boost::asio::awaitable<void> forget(const call_context& it);

    std::shared_ptr<batch_core> core_;
    std::map<std::string, running_call> running_;
};

} // namespace tanagertrack::entry

#endif
