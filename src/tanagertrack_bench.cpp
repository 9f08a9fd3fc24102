#include "bench/fleet_emulator.hpp"
#include "bench/growth.hpp"

#include <tclap/CmdLine.h>

#include <iomanip>
#include <iostream>
#include <string>

namespace
{

using namespace tanagertrack;

constexpr int exit_usage = 2;

void print(const std::string& policy, const std::string& reserve,
           const bench::emulator_result& it)
{
    std::cout << "| " << policy << " | " << reserve << " | " << it.online
              << " | " << std::fixed << std::setprecision(1) << it.wait_p50_ms
              << " | " << it.wait_p99_ms << " | " << it.queued << " | "
              << it.items << " | " << it.preempted << " | "
              << std::setprecision(3) << it.use << " |\n";
}

/// Plays one load with each policy and several reserves.
int run_placement(bench::emulator_settings settings)
{
    std::cout << "| policy | reserve | online | wait p50, ms | p99, ms | "
                 "queued | items | preempted | use |\n"
                 "| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | "
                 "---: |\n";
    for (const auto* policy :
         {"expected_start", "two_choices", "round_robin", "random"})
    {
        settings.policy = routing::parse_placement_policy(policy);
        settings.has_batch = false;
        print(policy, "no batch", emulate(settings));
        settings.has_batch = true;
        for (const std::uint32_t reserve : {0, 1, 2})
        {
            settings.reserve = reserve;
            print(policy, std::to_string(reserve), emulate(settings));
        }
    }
    return 0;
}

int run(int argc, char** argv)
{
    bench::emulator_settings settings;
    TCLAP::CmdLine cmd("measurements of tanagertrack", ' ', "0.1.0");
    TCLAP::UnlabeledValueArg<std::string> what(
        "command", "placement: a load with each policy; growth: state by size",
        true, "", "placement|growth", cmd);
    TCLAP::ValueArg<double> rate("", "rate", "online requests in a second",
                                 false, settings.online_per_second, "NUMBER",
                                 cmd);
    TCLAP::ValueArg<std::size_t> entries("", "entries", "entries", false,
                                         settings.entries, "NUMBER", cmd);
    TCLAP::ValueArg<std::size_t> targets("", "targets", "targets", false,
                                         settings.targets, "NUMBER", cmd);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed", false,
                                        settings.seed, "NUMBER", cmd);
    cmd.parse(argc, argv);
    if (what.getValue() == "growth")
        return bench::run_growth(std::cout);
    if (what.getValue() != "placement" || rate.getValue() <= 0 ||
        entries.getValue() == 0 || targets.getValue() == 0)
    {
        std::cerr << "tanagertrack-bench: wrong arguments; --help lists them\n";
        return exit_usage;
    }
    settings.online_per_second = rate.getValue();
    settings.entries = entries.getValue();
    settings.targets = targets.getValue();
    settings.seed = seed.getValue();
    return run_placement(settings);
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (const std::exception& e)
    {
        std::cerr << "tanagertrack-bench: " << e.what() << '\n';
        return exit_usage;
    }
}
