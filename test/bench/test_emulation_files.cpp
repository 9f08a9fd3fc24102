#include "bench/emulation_report.hpp"
#include "bench/emulation_settings.hpp"

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace tanagertrack;
using namespace std::chrono_literals;
using bench::fault;

namespace
{

std::vector<std::string> errors_of(const std::string& text)
{
    bench::emulation_settings settings;
    std::vector<std::string> out;
    for (const auto& it : bench::read_emulation(settings, "f.yaml", text))
        out.push_back(config::to_string(it));
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(emulation_files)

BOOST_AUTO_TEST_CASE(load_file_with_troubles_is_read)
{
    bench::emulation_settings it;
    const auto errors = bench::read_emulation(it, "f.yaml", R"(
fleet:
  targets: 12
online:
  low_time_ms: 700
policy:
  order: by_entry
troubles:
  dark: targets_down 20 4.5 2
  killed: entries_down 34 0.5 8
seed: 7
)");
    BOOST_TEST(errors.empty());
    BOOST_TEST(it.fleet.targets == 12U);
    BOOST_TEST((it.online.low_time == 700ms));
    BOOST_TEST(it.policy.order == "by_entry");
    BOOST_TEST(it.seed == 7U);
    BOOST_REQUIRE(it.faults.size() == 2U);
    BOOST_TEST((it.faults[0].failure == fault::kind::targets_down));
    BOOST_TEST((it.faults[0].at == 20s));
    BOOST_TEST((it.faults[0].length == 4500ms));
    BOOST_TEST((it.faults[1].failure == fault::kind::entries_down));
    BOOST_TEST(it.faults[1].count == 8U);
}

// Guards against measuring another load than the intended one because a key or
// a value of the file was ignored.
BOOST_AUTO_TEST_CASE(invalid_load_files_are_rejected_with_the_key)
{
    for (const auto* it :
         {"fleet:\n  targets: 0\n", "fleet:\n  targts: 3\n", "online: 3\n",
          "policy:\n  order: lifo\n", "troubles:\n  a: fire 1 2 3\n",
          "troubles:\n  a: targets_down 1 2\n",
          "troubles:\n  a: targets_down 1 0 1\n", ": :"})
        BOOST_TEST(!errors_of(it).empty(), it);
    BOOST_TEST(errors_of("fleet:\n  targets: x\n")
                   .front()
                   .find("f.yaml:2: fleet.targets") == 0U);
}

BOOST_AUTO_TEST_CASE(committed_loads_are_valid)
{
    const std::filesystem::path folder(TANAGERTRACK_SOURCE_DIR "/bench/loads");
    unsigned files = 0;
    for (const auto& it : std::filesystem::directory_iterator(folder))
    {
        std::ifstream in(it.path());
        std::ostringstream text;
        text << in.rdbuf();
        BOOST_TEST(errors_of(text.str()).empty(), it.path());
        ++files;
    }
    BOOST_TEST(files > 0U);
}

BOOST_AUTO_TEST_CASE(results_are_written_as_table_json_and_plot)
{
    bench::emulation_settings settings;
    settings.length = 500ms;
    const std::vector<bench::policy_results> all = {
        {"one", {emulate(settings), emulate(settings)}},
        {"other", {emulate(settings)}}};

    std::ostringstream table;
    write_table(table, all);
    BOOST_TEST(table.str().find("| one |") != std::string::npos);
    BOOST_TEST(table.str().find("| other |") != std::string::npos);

    std::ostringstream text;
    write_json(text, all);
    const auto json = boost::json::parse(text.str());
    BOOST_TEST(json.as_array().size() == 3U);
    BOOST_TEST(json.at(0).at("policy").as_string() == "one");
    BOOST_TEST(
        json.at(0).at("online").at("requests").to_number<std::uint64_t>() ==
        all[0].results[0].online.requests);

    std::ostringstream plot;
    write_plot(plot, all[0].results[0], 144);
    BOOST_TEST(plot.str().find("<svg") == 0U);
    BOOST_TEST(plot.str().find("</svg>") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
