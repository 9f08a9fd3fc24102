#ifndef TANAGERTRACK_BENCH_AGENT_ADMISSION_HPP
#define TANAGERTRACK_BENCH_AGENT_ADMISSION_HPP

#include <span>
#include <string>

namespace tanagertrack::bench
{

/// Acts as an entry towards a running agent: batch items as far as credit
/// permits (`--batch 1`) and online requests with exponential gaps. Prints
/// times to first token as the entry sees them, batch throughput, and the
/// time until the engine gave an online request a slot.
///
/// Arguments: `--agent IP:PORT`, `--engine IP:PORT` (an engine stand-in),
/// `--key KEY`, `--seconds N`, `--online-rate R`, `--online-tokens N`,
/// `--batch-tokens N`, `--batch 0|1`, `--seed N`. Returns the exit status.
int run_agent_admission(std::span<const std::string> arguments);

/// Compares sequential one-token requests through the agent with the same
/// requests sent straight to its engine. Arguments as above, and
/// `--requests N`.
int run_agent_path(std::span<const std::string> arguments);

} // namespace tanagertrack::bench

#endif
