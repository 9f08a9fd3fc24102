#ifndef TANAGERTRACK_BENCH_GROWTH_HPP
#define TANAGERTRACK_BENCH_GROWTH_HPP

namespace tanagertrack::bench
{

/// Scenario `growth`: memory and time of the pure states against the number
/// of items, jobs, targets, teams and partitions. Returns the exit code.
int run_growth(int argc, char** argv);

} // namespace tanagertrack::bench

#endif
