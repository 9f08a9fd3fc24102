#include "config/settings.hpp"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace tanagertrack::config;

BOOST_AUTO_TEST_SUITE(examples)

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
        settings target;
        for (const auto& error : read_settings(name, text.str(), target))
            BOOST_TEST_ERROR(to_string(error));
    }
    BOOST_TEST(files == 24);
}

BOOST_AUTO_TEST_SUITE_END()
