#ifndef TANAGERTRACK_BENCH_GROWTH_HPP
#define TANAGERTRACK_BENCH_GROWTH_HPP

#include <iosfwd>

namespace tanagertrack::bench
{

/// Measures memory, processing time and checkpoint size of the job table for
/// several numbers of jobs and items, and prints them as a Markdown table.
/// Returns the exit status.
int run_growth(std::ostream& out);

} // namespace tanagertrack::bench

#endif
