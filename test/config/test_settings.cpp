#include "config/settings.hpp"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

using namespace tanagertrack::config;

namespace
{

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
    settings target;
    return read_settings("test.yaml", text, target);
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings_file)

BOOST_AUTO_TEST_CASE(valid_file_is_accepted)
{
    settings target;
    const auto errors = read_settings("test.yaml", valid_entry, target);
    BOOST_TEST(errors.empty());
    BOOST_TEST(target.front.port == 7001);
    BOOST_TEST(target.platform.store.port == 9001);
}

// Guards against misspelt keys that are silently ignored.
BOOST_AUTO_TEST_CASE(unknown_key_is_refused_with_its_line)
{
    const auto errors = read(std::string(valid_entry) + "  max_requestz: 3\n");
    BOOST_REQUIRE(errors.size() == 1);
    BOOST_TEST(to_string(errors[0]) ==
               "test.yaml:16: front.max_requestz: unknown key");
}

BOOST_AUTO_TEST_CASE(out_of_range_value_names_the_range)
{
    const auto errors = read(std::string(valid_entry) + "  max_requests: 0\n");
    BOOST_REQUIRE(errors.size() == 1);
    BOOST_TEST(to_string(errors[0]) ==
               "test.yaml:16: front.max_requests: expected integer from 1 to "
               "65000, found '0'");
}

BOOST_AUTO_TEST_CASE(wrong_type_is_refused)
{
    const auto errors =
        read(std::string(valid_entry) + "  max_requests: many\n");
    BOOST_REQUIRE(errors.size() == 1);
    BOOST_TEST(errors[0].line == 16);
}

BOOST_AUTO_TEST_CASE(role_needs_its_keys)
{
    const auto errors = read("role: entry\nname: e\naddress: 127.0.0.1\n"
                             "data_centre: d\nregion: r\n"
                             "platform: {store: '127.0.0.1:1'}\n"
                             "peer: {port: 1}\n");
    BOOST_TEST(errors.size() == 4);
}

// Durations of the users' platform come in seconds, with a fraction.
BOOST_AUTO_TEST_CASE(seconds_may_have_a_fraction)
{
    settings target;
    const auto text = std::string(valid_entry) + "stop: {grace_s: 7.5}\n";
    BOOST_TEST(read_settings("test.yaml", text, target).empty());
    BOOST_TEST(target.stop.grace.count() == 7500);
    BOOST_TEST(
        !read(std::string(valid_entry) + "stop: {grace_s: soon}\n").empty());
}

// A stop that takes callers until its end could not finish their requests.
BOOST_AUTO_TEST_CASE(stop_needs_time_after_the_last_caller)
{
    const auto errors =
        read(std::string(valid_entry) + "stop: {grace_s: 2, listen_s: 2}\n");
    BOOST_REQUIRE(errors.size() == 1);
    BOOST_TEST(errors[0].key == "stop.listen_s");
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

// Guards against a change that is taken for one in effect while the process
// goes on with the old value.
BOOST_AUTO_TEST_CASE(changes_are_taken_or_told_to_need_a_restart)
{
    config::settings current;
    auto next = current;
    BOOST_TEST(config::changed_keys(current, next).empty());
    next.stop.grace = std::chrono::seconds(7);
    next.peer.entries = {{"10.0.0.1", 81}};
    next.regions = {{"d2", "r2"}};
    next.batch.reserved_slots = 3;
    next.name = "other";
    next.store.partitions = 9;
    BOOST_TEST(config::changed_keys(current, next).size() == 6U);

    const auto rest = config::take_changes(current, next);
    const std::vector<std::string> expected = {"name", "store.partitions"};
    BOOST_TEST(rest == expected, boost::test_tools::per_element());
    BOOST_TEST((current.stop.grace == std::chrono::seconds(7)));
    BOOST_TEST(current.peer.entries.size() == 1U);
    BOOST_TEST(current.batch.reserved_slots == 3U);
    BOOST_TEST(current.name.empty());
    BOOST_TEST((config::changed_keys(current, next) == expected));
}

BOOST_AUTO_TEST_SUITE_END()
