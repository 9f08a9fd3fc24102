#ifndef TANAGERTRACK_BENCH_MESSAGE_SIZES_HPP
#define TANAGERTRACK_BENCH_MESSAGE_SIZES_HPP

namespace tanagertrack::bench
{

/// Prints the encoded size in bytes of each log record and internal message,
/// filled with values of the design scale. Takes no options. Returns an exit
/// status.
int run_message_sizes(int argc, char** argv);

} // namespace tanagertrack::bench

#endif
