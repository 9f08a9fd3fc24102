#ifndef TANAGERTRACK_BENCH_SLOW_TARGETS_HPP
#define TANAGERTRACK_BENCH_SLOW_TARGETS_HPP

#include <span>
#include <string>

namespace tanagertrack::bench
{

/// Compares routing policies in a model of one entry and ten engines, two of
/// which are slowed eight times; which two changes every 10 s. The policies
/// are those of the entry; engines, network and time are simulated.
///
/// Arguments: `--seconds N` of simulated time, `--rate R` requests a second,
/// `--seed N`, `--json FILE`. Returns the exit status.
int run_slow_targets(std::span<const std::string> arguments);

} // namespace tanagertrack::bench

#endif
