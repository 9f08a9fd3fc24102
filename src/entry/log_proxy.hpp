#ifndef TANAGERTRACK_ENTRY_LOG_PROXY_HPP
#define TANAGERTRACK_ENTRY_LOG_PROXY_HPP

#include "services/log_service.hpp"

namespace tanagertrack::common
{
class duty_thread;
} // namespace tanagertrack::common

namespace tanagertrack::entry
{

/// Makes a log service that is called on `caller_thread` and gives its
/// answers there, while the calls of `log` run on `log_thread`. A call that
/// finds the ring of the log thread full fails as `log_unavailable`. The
/// threads outlive the returned object and the calls in progress.
services::log_service make_log_proxy(services::log_service log,
                                     common::duty_thread& log_thread,
                                     common::duty_thread& caller_thread);

} // namespace tanagertrack::entry

#endif
