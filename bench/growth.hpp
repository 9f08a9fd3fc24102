#ifndef TANAGERTRACK_BENCH_GROWTH_HPP
#define TANAGERTRACK_BENCH_GROWTH_HPP

#include <iosfwd>

namespace tanagertrack::bench
{

/// Prints memory, time and checkpoint size of the state of jobs for several
/// numbers of jobs and items, as a table. Returns an exit status.
int run_growth(std::ostream& out);

} // namespace tanagertrack::bench

#endif
