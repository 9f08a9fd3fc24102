#ifndef TANAGERTRACK_BENCH_EMULATION_REPORT_HPP
#define TANAGERTRACK_BENCH_EMULATION_REPORT_HPP

#include "bench/fleet_emulator.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace tanagertrack::bench
{

/// Results of one policy, one for each seed.
struct policy_results
{
    std::string name;
    std::vector<emulation_result> results;
};

/// A Markdown table with a row for each policy: means over the seeds.
void write_table(std::ostream& out, const std::vector<policy_results>& all);

/// The results as JSON: a list of objects, one for each policy and seed.
void write_json(std::ostream& out, const std::vector<policy_results>& all);

/// A plot over time as SVG: places in use by online requests and batch items,
/// and items that wait. `places` are those of the fleet.
void write_plot(std::ostream& out, const emulation_result& it,
                std::size_t places);

} // namespace tanagertrack::bench

#endif
