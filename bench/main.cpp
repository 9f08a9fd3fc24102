#include "connection_cost.hpp"
#include "growth.hpp"
#include "message_sizes.hpp"

#include <array>
#include <cstdio>
#include <string_view>

namespace
{

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
