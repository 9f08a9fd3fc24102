#include "agent_admission.hpp"
#include "connection_cost.hpp"
#include "growth.hpp"
#include "message_sizes.hpp"
#include "slow_targets.hpp"
#include "transport_cost.hpp"

#include <array>
#include <cstdio>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace
{

using span_run = int (*)(std::span<const std::string>);

/// Passes the options to a scenario that takes them as a span.
template<span_run Run>
int with_span(int argc, char** argv)
{
    const std::vector<std::string> options(argv + 1, argv + argc);
    return Run(options);
}

/// A measurement that can be run by name.
struct scenario
{
    std::string_view name;
    std::string_view help;
    int (*run)(int argc, char** argv);
};

constexpr std::array scenarios{
    scenario{"growth", "memory and time of the states against their size",
             tanagertrack::bench::run_growth},
    scenario{"message_sizes", "encoded sizes of records and messages",
             tanagertrack::bench::run_message_sizes},
    scenario{"connection_cost", "memory and time of idle and busy connections",
             tanagertrack::bench::run_connection_cost},
    scenario{"transport_cost", "round trips and messages on one connection",
             with_span<tanagertrack::bench::run_transport_cost>},
    scenario{"agent_path", "latency that an agent adds to its engine",
             with_span<tanagertrack::bench::run_agent_path>},
    scenario{"agent_admission", "online latency beside batch at one agent",
             with_span<tanagertrack::bench::run_agent_admission>},
    scenario{"slow_targets", "routing policies beside slowed targets, a model",
             with_span<tanagertrack::bench::run_slow_targets>},
};

int usage()
{
    std::fprintf(stderr, "usage: tanagertrack-bench SCENARIO [OPTIONS]\n");
    for (const auto& it : scenarios)
        std::fprintf(stderr, "  %-16.*s %.*s\n",
                     static_cast<int>(it.name.size()), it.name.data(),
                     static_cast<int>(it.help.size()), it.help.data());
    return 2;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 2)
        return usage();
    for (const auto& it : scenarios)
    {
        // The scenario's name takes the place of the program's.
        if (it.name == argv[1])
            return it.run(argc - 1, argv + 1);
    }
    return usage();
}
