#ifndef TANAGERTRACK_BENCH_TRANSPORT_COST_HPP
#define TANAGERTRACK_BENCH_TRANSPORT_COST_HPP

#include <span>
#include <string>

namespace tanagertrack::bench
{

/// Measures one internal connection over loopback: round trips one at a time,
/// then messages in one direction as fast as backpressure permits. Arguments:
/// `--messages N`, `--bytes N`. Returns the exit status.
int run_transport_cost(std::span<const std::string> arguments);

} // namespace tanagertrack::bench

#endif
