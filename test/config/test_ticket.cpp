#include "config/ticket.hpp"

#include <boost/test/unit_test.hpp>

using namespace tanagertrack::config;

namespace
{

constexpr std::string_view full_ticket = R"(ticket: 17
targets:
  - {name: lm-2, address: 127.0.0.1, port: 7102, data_centre: poa-a,
     region: rs-sul, kind: engine, models: [lm-retorno], checks_fencing: true,
     state: active, slots: 16}
  - {name: lm-1, address: 127.0.0.1, port: 7101, data_centre: poa-a,
     region: rs-sul, kind: engine, models: [lm-retorno], slots: 16}
models:
  - {name: lm-retorno}
services:
  - {name: app-rotulos, not_repeatable: ["POST /manifests"]}
teams:
  - {name: lab, key: "secret", requests_per_second: 50, burst: 100,
     max_jobs: 100}
remove: [targets/lm-3]
)";

/// Returns the first error of a document, or an empty text if it is valid.
std::string first_error(std::string_view text)
{
    ticket out;
    const auto errors = parse_ticket("t.yaml", text, out);
    return errors.empty() ? "" : to_string(errors[0]);
}

std::string hash_of(std::string_view text)
{
    ticket out;
    BOOST_TEST(parse_ticket("t.yaml", text, out).empty());
    return content_hash(out);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ticket_document)

BOOST_AUTO_TEST_CASE(ticket_with_all_fields_is_parsed)
{
    ticket out;
    const auto errors = parse_ticket("t.yaml", full_ticket, out);
    BOOST_REQUIRE(errors.empty());
    BOOST_TEST(out.number == 17);
    BOOST_REQUIRE(out.targets.size() == 2);
    BOOST_TEST(out.targets[0].name() == "lm-1");
    BOOST_TEST(out.targets[0].state() == "active");
    BOOST_TEST(!out.targets[0].checks_fencing());
    BOOST_TEST(out.targets[1].checks_fencing());
    BOOST_TEST(out.targets[1].ticket() == 17);
    BOOST_TEST(out.services[0].not_repeatable(0) == "POST /manifests");
    BOOST_TEST(out.teams[0].key_hash() == team_key_hash("secret"));
    BOOST_TEST(out.removed[0] == "targets/lm-3");
    BOOST_TEST(changed_objects(out).size() == 6);
}

// Guards against errors that do not tell operators what to correct.
BOOST_AUTO_TEST_CASE(errors_contain_line_key_and_accepted_values)
{
    BOOST_TEST(first_error("ticket: 0\nmodels: [{name: m}]\n") ==
               "t.yaml:1: ticket: expected an integer from 1 to "
               "1000000000000000, found '0'");
    BOOST_TEST(first_error("ticket: 1\nmodels:\n  - {name: m, slots: 1}\n") ==
               "t.yaml:3: models/m.slots: unknown key");
    BOOST_TEST(first_error("ticket: 1\nmodels: [{name: m}, {name: m}]\n") ==
               "t.yaml:2: models/m.name: duplicate object 'models/m'");
    BOOST_TEST(first_error("ticket: 1\nmodels: [{name: m}]\n"
                           "remove: [models/m]\n") ==
               "t.yaml:3: remove: duplicate object 'models/m'");
    BOOST_TEST(first_error("ticket: 1\nremove: [m]\n") ==
               "t.yaml:2: remove: expected targets/NAME, models/NAME, "
               "services/NAME or teams/NAME, found 'm'");
    BOOST_TEST(first_error("ticket: 1\nservices:\n  - {name: s, "
                           "not_repeatable: [post]}\n")
                   .starts_with("t.yaml:3: services/s.not_repeatable: "
                                "expected a rule \"METHOD /path/prefix\""));
    BOOST_TEST(
        first_error("ticket: 1\n")
            .starts_with(
                "t.yaml:1: ticket: expected 1 to 10000 objects, found 0"));
    BOOST_TEST(!first_error("ticket: [").empty());
    BOOST_TEST(!first_error("").empty());
    BOOST_TEST(!first_error(std::string(max_ticket_bytes + 1, ' ')).empty());
}

BOOST_AUTO_TEST_CASE(each_invalid_field_of_a_target_is_reported)
{
    ticket out;
    const auto errors = parse_ticket(
        "t.yaml",
        "ticket: 1\ntargets:\n  - {name: a b, address: localhost, port: "
        "0, region: r, kind: disk, models: x, checks_fencing: 1x, state: off, "
        "slots: 5000}\n",
        out);
    // Eight fields are invalid, and data_centre is missing.
    BOOST_TEST(errors.size() == 9);
}

// Guards against secrets in logs and responses.
BOOST_AUTO_TEST_CASE(errors_do_not_contain_team_keys)
{
    const auto text =
        "ticket: 1\nteams:\n  - {name: t, key: " + std::string(300, 'k') +
        ", requests_per_second: 1, burst: 1, max_jobs: 1}\n";
    BOOST_TEST(first_error(text) ==
               "t.yaml:3: teams/t.key: expected a key of 1 to 256 bytes (or "
               "key_hash)");
}

// Guards against ticket_conflict when the same ticket is sent again with other
// formatting.
BOOST_AUTO_TEST_CASE(content_hash_ignores_layout_and_order)
{
    const auto hash = hash_of("ticket: 5\nmodels: [{name: a}, {name: b}]\n");
    BOOST_TEST(hash == hash_of("models:\n- name: b\n- name: a\nticket: 5\n"));
    BOOST_TEST(hash != hash_of("ticket: 6\nmodels: [{name: a}, {name: b}]\n"));
    BOOST_TEST(hash != hash_of("ticket: 5\nmodels: [{name: a}, {name: c}]\n"));
    const auto team = [](const std::string& key)
    {
        return hash_of("ticket: 5\nteams: [{name: t, " + key +
                       ", requests_per_second: 1, burst: 1, max_jobs: 1}]\n");
    };
    BOOST_TEST(team("key: k") == team("key_hash: " + team_key_hash("k")));
}

BOOST_AUTO_TEST_SUITE_END()
