#include "agent_admission.hpp"
#include "transport_cost.hpp"

#include "common/logging.hpp"

#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <vector>

int main(int argc, char** argv)
{
    using namespace tanagertrack;
    using scenario = std::function<int(std::span<const std::string>)>;

    const std::map<std::string, scenario> scenarios = {
        {"transport_cost", bench::run_transport_cost},
        {"agent_admission", bench::run_agent_admission},
        {"agent_path", bench::run_agent_path},
    };
    common::init_logging(argv[0]);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto it =
        arguments.empty() ? scenarios.end() : scenarios.find(arguments.front());
    if (it == scenarios.end())
    {
        std::fputs("usage: tanagertrack-bench SCENARIO [OPTION VALUE]...\n",
                   stderr);
        for (const auto& [name, run] : scenarios)
            std::fprintf(stderr, "  %s\n", name.c_str());
        return 2;
    }
    return it->second(std::span(arguments).subspan(1));
}
