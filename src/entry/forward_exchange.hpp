#ifndef TANAGERTRACK_ENTRY_FORWARD_EXCHANGE_HPP
#define TANAGERTRACK_ENTRY_FORWARD_EXCHANGE_HPP

#include "entry/exchange.hpp"
#include "transport/message_stream.hpp"

#include <functional>

namespace tanagertrack::common
{
class duty_thread;
} // namespace tanagertrack::common

namespace tanagertrack::entry
{

/// Makes an exchange of a `/forward` stream once its head has come, and gives
/// it to `serve` on `handler_thread`, on which its handlers run as well. On
/// the peer thread, which carries the stream. A request without an answer
/// resets its stream.
void accept_forward(transport::message_stream_ptr stream,
                    common::duty_thread& peer_thread,
                    common::duty_thread& handler_thread,
                    std::function<void(const exchange_ptr&)> serve);

} // namespace tanagertrack::entry

#endif
