#ifndef TANAGERTRACK_BENCH_EMULATION_REPORT_HPP
#define TANAGERTRACK_BENCH_EMULATION_REPORT_HPP

#include "bench/fleet_emulator.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace tanagertrack::bench
{

/// Results of one policy: one element for each seed.
struct policy_results
{
    std::string name;
    std::vector<emulation_result> results;
};

/// Writes a Markdown table with a row for each policy. Its values are means
/// over the seeds.
void write_table(std::ostream& out, const std::vector<policy_results>& all);

/// Writes a JSON array with an object for each policy and seed.
void write_json(std::ostream& out, const std::vector<policy_results>& all);

/// Writes an SVG plot over time of the online requests in progress, the running
/// batch items and the waiting batch items. `slots` is the number of slots of
/// the fleet, which is the upper end of the vertical axis; larger values are
/// cut off.
void write_plot(std::ostream& out, const emulation_result& result,
                std::size_t slots);

} // namespace tanagertrack::bench

#endif
