#include "bench/emulation_report.hpp"
#include "bench/growth.hpp"

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace
{

using namespace tanagertrack;
using bench::emulation_settings;

constexpr int exit_usage = 2;

/// Settings of an emulation with a name for the results.
struct variant
{
    std::string name;
    emulation_settings settings;
};

/// Returns the variants of `base` that are compared for a decision, including
/// the baselines. For "emulate", the only variant has the policies of the load.
std::vector<variant> make_variants(const std::string& decision,
                                   const emulation_settings& base)
{
    std::vector<variant> out;
    const auto add = [&](const std::string& name) -> bench::policy_settings&
    {
        return out.emplace_back(variant{name, base}).settings.policy;
    };
    if (decision == "placement")
    {
        for (const auto* it :
             {"expected_start", "two_choices", "round_robin", "random"})
            add(it).placement = it;
    }
    else if (decision == "order")
    {
        for (const auto* it : {"urgency", "due", "by_entry"})
            add(it).order = it;
    }
    else if (decision == "reserve")
    {
        for (const std::uint32_t n : {0, 1, 2})
            add("reserve " + std::to_string(n)).reserve = n;
    }
    else if (decision == "progress")
    {
        add("recorded");
        add("not recorded").progress_after = std::chrono::milliseconds(0);
    }
    else
        add("as given");
    return out;
}

std::string read_file(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
        throw std::runtime_error("can't open '" + path + "' for reading");
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::ofstream open_file(const std::string& path)
{
    std::ofstream out(path);
    if (!out)
        throw std::runtime_error("can't open '" + path + "' for writing");
    return out;
}

emulation_settings load_settings(const std::string& path)
{
    emulation_settings settings;
    if (path.empty())
        return settings;
    const auto errors = bench::read_emulation(settings, path, read_file(path));
    std::string text;
    for (const auto& it : errors)
        text += (text.empty() ? "" : "\n") + config::to_string(it);
    if (!text.empty())
        throw std::runtime_error(text);
    return settings;
}

/// Arguments of a comparison.
struct comparison
{
    std::string decision;

    /// Path of the load file; empty: the default load.
    std::string load;
    std::uint64_t seeds = 1;

    /// Paths of the output files; empty: not written.
    std::string json;
    std::string plot;
};

int run_comparison(const comparison& it)
{
    std::vector<bench::policy_results> all;
    for (auto& [name, settings] :
         make_variants(it.decision, load_settings(it.load)))
    {
        auto& row = all.emplace_back(bench::policy_results{name, {}});
        for (std::uint64_t n = 0; n < it.seeds; ++n)
        {
            row.results.push_back(emulate(settings));
            ++settings.seed;
        }
    }
    write_table(std::cout, all);
    if (!it.json.empty())
    {
        auto out = open_file(it.json);
        write_json(out, all);
    }
    if (!it.plot.empty())
    {
        const auto fleet = load_settings(it.load).fleet;
        auto out = open_file(it.plot);
        write_plot(out, all.front().results.front(),
                   fleet.targets * fleet.slots);
    }
    return 0;
}

int run(int argc, char** argv)
{
    TCLAP::CmdLine cmd("measurements of tanagertrack", ' ', "0.1.0");
    TCLAP::UnlabeledValueArg<std::string> command(
        "command",
        "growth: state by size; emulate: a load; placement, order, reserve, "
        "progress: a load under each variant of that decision",
        true, "", "COMMAND", cmd);
    TCLAP::ValueArg<std::string> load(
        "", "load", "YAML file with the fleet, its load and its troubles",
        false, "", "FILE", cmd);
    TCLAP::ValueArg<std::uint64_t> seeds(
        "", "seeds", "loads that are drawn; the table has their means", false,
        1, "NUMBER", cmd);
    TCLAP::ValueArg<std::string> json("", "json", "writes all results here",
                                      false, "", "FILE", cmd);
    TCLAP::ValueArg<std::string> plot(
        "", "plot", "writes a plot of the first result here (SVG)", false, "",
        "FILE", cmd);
    cmd.parse(argc, argv);
    if (command.getValue() == "growth")
        return bench::run_growth(std::cout);
    for (const auto* it :
         {"emulate", "placement", "order", "reserve", "progress"})
    {
        if (command.getValue() != it)
            continue;
        if (seeds.getValue() == 0)
        {
            std::cerr << "tanagertrack-bench: --seeds 0 is not accepted; "
                         "expected a number of at least 1\n";
            return exit_usage;
        }
        return run_comparison({it, load.getValue(), seeds.getValue(),
                               json.getValue(), plot.getValue()});
    }
    std::cerr << "tanagertrack-bench: unknown command '" << command.getValue()
              << "'; expected growth, emulate, placement, order, reserve or "
                 "progress\n";
    return exit_usage;
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
