#include "config/settings.hpp"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

using namespace tanagertrack::config;

namespace
{

constexpr std::string_view valid_agent = R"(role: agent
name: agent-1
address: 127.0.0.1
data_centre: poa-a
region: rs-sul
cluster_key: secret
peer:
  port: 7001
agent:
  target: lm-1
  target_address: 127.0.0.1:9001
  admin_port: 7002
)";

std::vector<setting_error> read(std::string_view text)
{
    settings target;
    return read_settings("test.yaml", text, target);
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings_file)

BOOST_AUTO_TEST_CASE(valid_file_is_accepted)
{
    settings target;
    const auto errors = read_settings("test.yaml", valid_agent, target);
    BOOST_TEST(errors.empty());
    BOOST_TEST(target.peer.port == 7001);
    BOOST_TEST(target.agent.target_address.port == 9001);
}

// Guards against misspelt keys that are silently ignored.
BOOST_AUTO_TEST_CASE(unknown_key_is_refused_with_its_line)
{
    const auto errors = read(std::string(valid_agent) + "  slotz: 3\n");
    BOOST_REQUIRE(errors.size() == 1);
    BOOST_TEST(to_string(errors[0]) ==
               "test.yaml:13: agent.slotz: unknown key");
}

BOOST_AUTO_TEST_CASE(out_of_range_value_names_the_range)
{
    const auto errors = read(std::string(valid_agent) + "  slots: 0\n");
    BOOST_REQUIRE(errors.size() == 1);
    BOOST_TEST(to_string(errors[0]) ==
               "test.yaml:13: agent.slots: expected integer from 1 to 4096, "
               "found '0'");
}

BOOST_AUTO_TEST_CASE(wrong_type_is_refused)
{
    const auto errors = read(std::string(valid_agent) + "  slots: many\n");
    BOOST_REQUIRE(errors.size() == 1);
    BOOST_TEST(errors[0].line == 13);
}

BOOST_AUTO_TEST_CASE(role_needs_its_keys)
{
    const auto errors = read("role: entry\nname: e\naddress: 127.0.0.1\n"
                             "data_centre: d\nregion: r\ncluster_key: k\n"
                             "peer: {port: 1}\n");
    BOOST_TEST(errors.size() == 4);
}

BOOST_AUTO_TEST_CASE(broken_yaml_is_an_error)
{
    BOOST_TEST(!read("role: [").empty());
    BOOST_TEST(!read("just text").empty());
    BOOST_TEST(!read("").empty());
}

// Guards against a reference page that differs from the table.
BOOST_AUTO_TEST_CASE(reference_page_is_current)
{
    settings target;
    std::ifstream file(TANAGERTRACK_SOURCE_DIR "/docs/settings.md");
    std::ostringstream page;
    page << file.rdbuf();
    const auto table = make_setting_table(target).reference();
    BOOST_TEST(page.str().find(table) != std::string::npos,
               "run scripts/update-settings-page.sh");
}

BOOST_AUTO_TEST_SUITE_END()
