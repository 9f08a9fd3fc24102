#include "config/settings.hpp"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

using namespace tanagertrack::config;

namespace
{

/// Valid settings of an entry. The last mapping is `front`: text that a test
/// appends with an indentation of two belongs to it and begins at line 16.
constexpr std::string_view valid_entry = R"(role: entry
name: entry-1
address: 127.0.0.1
data_centre: poa-a
region: rs-sul
cluster_key: secret
platform:
  store: 127.0.0.1:9001
operator:
  port: 7002
  key: secret
peer:
  port: 7003
front:
  port: 7001
)";

std::vector<setting_error> read(std::string_view text)
{
    settings values;
    return read_settings("test.yaml", text, values);
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings_file)

BOOST_AUTO_TEST_CASE(valid_file_is_accepted)
{
    settings values;
    const auto errors = read_settings("test.yaml", valid_entry, values);
    BOOST_TEST(errors.empty());
    BOOST_TEST(values.front.port == 7001);
    BOOST_TEST(values.platform.store.port == 9001);
}

// Guards against misspelt keys that are silently ignored.
BOOST_AUTO_TEST_CASE(unknown_key_is_reported_with_its_line)
{
    const auto errors = read(std::string(valid_entry) + "  max_requestz: 3\n");
    BOOST_REQUIRE(errors.size() == 1);
    BOOST_TEST(to_string(errors[0]) ==
               "test.yaml:16: front.max_requestz: unknown key");
}

BOOST_AUTO_TEST_CASE(out_of_range_value_is_reported_with_the_range)
{
    const auto errors = read(std::string(valid_entry) + "  max_requests: 0\n");
    BOOST_REQUIRE(errors.size() == 1);
    BOOST_TEST(to_string(errors[0]) ==
               "test.yaml:16: front.max_requests: expected integer from 1 to "
               "65000, found '0'");
}

BOOST_AUTO_TEST_CASE(value_of_wrong_type_is_reported_with_its_line)
{
    const auto errors =
        read(std::string(valid_entry) + "  max_requests: many\n");
    BOOST_REQUIRE(errors.size() == 1);
    BOOST_TEST(errors[0].line == 16);
}

// The missing keys are those that are required only for callers "own":
// front.port, operator.port, operator.key and cluster_key.
BOOST_AUTO_TEST_CASE(missing_required_keys_are_reported)
{
    const auto errors = read("role: entry\nname: e\naddress: 127.0.0.1\n"
                             "data_centre: d\nregion: r\n"
                             "platform: {store: '127.0.0.1:1'}\n"
                             "peer: {port: 1}\n");
    BOOST_TEST(errors.size() == 4);
}

// The users' platform gives durations in seconds with a fraction.
BOOST_AUTO_TEST_CASE(seconds_may_have_a_fraction)
{
    settings values;
    const auto text = std::string(valid_entry) + "stop: {grace_s: 7.5}\n";
    BOOST_TEST(read_settings("test.yaml", text, values).empty());
    BOOST_TEST(values.stop.grace.count() == 7500);
    BOOST_TEST(
        !read(std::string(valid_entry) + "stop: {grace_s: soon}\n").empty());
}

// Guards against a planned stop that accepts callers until its end: there would
// be no time left to finish their requests.
BOOST_AUTO_TEST_CASE(listen_time_not_below_grace_time_is_reported)
{
    const auto errors =
        read(std::string(valid_entry) + "stop: {grace_s: 2, listen_s: 2}\n");
    BOOST_REQUIRE(errors.size() == 1);
    BOOST_TEST(errors[0].key == "stop.listen_s");
}

BOOST_AUTO_TEST_CASE(malformed_or_empty_yaml_is_reported)
{
    BOOST_TEST(!read("role: [").empty());
    BOOST_TEST(!read("just text").empty());
    BOOST_TEST(!read("").empty());
}

// Guards against a reference page (docs/settings.md) that is out of date.
BOOST_AUTO_TEST_CASE(reference_page_matches_the_table)
{
    settings values;
    std::ifstream file(TANAGERTRACK_SOURCE_DIR "/docs/settings.md");
    std::ostringstream page;
    page << file.rdbuf();
    const auto table = make_setting_table(values).reference();
    BOOST_TEST(page.str().find(table) != std::string::npos,
               "run scripts/update-settings-page.sh");
}

BOOST_AUTO_TEST_SUITE_END()
