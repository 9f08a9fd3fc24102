#ifndef TANAGERTRACK_BENCH_CONNECTION_COST_HPP
#define TANAGERTRACK_BENCH_CONNECTION_COST_HPP

namespace tanagertrack::bench
{

/// Measures what a connection between own processes costs at rest and with
/// status messages: bytes of memory a connection end, processor time a
/// message. Prints a row for each number of connections. Takes no
/// options. Returns an exit status.
int run_connection_cost(int argc, char** argv);

} // namespace tanagertrack::bench

#endif
