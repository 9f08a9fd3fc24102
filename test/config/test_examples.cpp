#include "config/settings.hpp"
#include "config/ticket.hpp"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace tanagertrack::config;

BOOST_AUTO_TEST_SUITE(examples)

// Guards against example tickets that the parser no longer accepts.
BOOST_AUTO_TEST_CASE(example_tickets_are_valid)
{
    for (const std::string name : {"retorno", "fondazione"})
    {
        std::ostringstream text;
        text << std::ifstream(TANAGERTRACK_SOURCE_DIR "/config/" + name +
                              "/ticket-1.yaml")
                    .rdbuf();
        ticket out;
        for (const auto& error : parse_ticket(name, text.str(), out))
            BOOST_TEST_ERROR(to_string(error));
        BOOST_TEST(out.targets.size() == (name == "retorno" ? 24 : 14));
        BOOST_TEST(out.services.size() == 1);
        BOOST_TEST(out.teams.size() == 2);
    }
}

// Guards against example settings that the daemon no longer accepts.
BOOST_AUTO_TEST_CASE(example_settings_are_accepted)
{
    namespace fs = std::filesystem;
    std::size_t files = 0;
    const fs::path root(TANAGERTRACK_SOURCE_DIR "/config");
    for (const auto& it : fs::recursive_directory_iterator(root))
    {
        const auto name = it.path().filename().string();
        if (it.path().extension() != ".yaml" || name.starts_with("ticket"))
            continue;
        ++files;
        std::ostringstream text;
        text << std::ifstream(it.path()).rdbuf();
        settings values;
        for (const auto& error : read_settings(name, text.str(), values))
            BOOST_TEST_ERROR(to_string(error));
    }
    BOOST_TEST(files == 9);
}

BOOST_AUTO_TEST_SUITE_END()
