#include "api/completion_json.hpp"
#include "api/fleet_index.hpp"
#include "api/fleet_mapping.hpp"
#include "api/item_parser.hpp"
#include "api/model_request.hpp"
#include "api/service_rules.hpp"
#include "common/hash.hpp"
#include "common/result_code.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

using namespace tanagertrack;
using common::result_code;

namespace
{

std::shared_ptr<const proto::FleetConfig> make_fleet()
{
    auto fleet = std::make_shared<proto::FleetConfig>();
    fleet->set_version(4);
    fleet->add_models()->set_name("m");
    auto& service = *fleet->add_services();
    service.set_name("billing");
    auto& team = *fleet->add_teams();
    team.set_name("red");
    team.set_key_hash(common::to_hex(common::hash128("secret")));
    return fleet;
}

struct parser_fixture
{
    bool parse(const std::string& line)
    {
        item.Clear();
        error = {};
        return parser.parse(line, item, error);
    }

    api::item_parser parser{
        std::make_shared<const api::fleet_index>(make_fleet()), 5};
    proto::JobItem item;
    api::line_error error;
};

std::string chat_line(const std::string& id)
{
    return R"({"custom_id":")" + id +
           R"(","method":"POST","url":"/v1/chat/completions","body":)"
           R"({"model":"m","messages":[{"role":"user","content":"x"}]}})";
}

std::string service_line(const std::string& id, const std::string& url)
{
    return R"({"custom_id":")" + id + R"(","method":"POST","url":")" + url +
           R"(","body":{}})";
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(item_parser, parser_fixture)

BOOST_AUTO_TEST_CASE(completion_item_is_sent_as_a_resumable_stream)
{
    BOOST_REQUIRE(parse(chat_line("a")));
    BOOST_TEST(item.id() == "a");
    BOOST_TEST(item.service() == "m");
    BOOST_TEST(!item.whole_answer());
    BOOST_TEST(!item.not_repeatable());
    BOOST_TEST(item.body().find("\"stream\":true") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(service_item_keeps_its_path_and_expects_a_whole_answer)
{
    BOOST_REQUIRE(parse(service_line("a", "/v1/services/billing/x?y=1")));
    BOOST_TEST(item.service() == "billing");
    BOOST_TEST(item.path() == "/x?y=1");
    BOOST_TEST(item.whole_answer());
}

BOOST_AUTO_TEST_CASE(blank_line_is_counted_but_gives_no_item)
{
    BOOST_TEST(!parse(" \r"));
    BOOST_TEST(!error.ec);
    BOOST_TEST(parser.lines() == 1);
}

// Guards against a job that is run without some of its items because an invalid
// line was skipped instead of refused.
BOOST_AUTO_TEST_CASE(invalid_line_is_refused_with_its_number_and_code)
{
    const auto code = [this](const std::string& line)
    {
        BOOST_TEST(!parse(line));
        BOOST_TEST(error.message.starts_with(
            "line " + std::to_string(parser.lines()) + ": "));
        return error.ec;
    };
    BOOST_TEST((code("{") == result_code::malformed_json));
    BOOST_TEST((code("\xff") == result_code::invalid_utf8));
    BOOST_TEST((code("[]") == result_code::invalid_request));
    BOOST_TEST((code(R"({"custom_id":"a"})") == result_code::invalid_request));
    BOOST_TEST((code(chat_line("")) == result_code::invalid_request));
    BOOST_TEST((code(chat_line(std::string(257, 'x'))) ==
                result_code::invalid_request));
    BOOST_TEST(
        (code(service_line("a", "/v1/other")) == result_code::unknown_path));
    BOOST_TEST((code(service_line("a", "/v1/services/none/x")) ==
                result_code::unknown_service));
}

// Guards against request smuggling: the id and the path are written into
// requests to targets, where a line break would start another header or
// request.
BOOST_AUTO_TEST_CASE(line_breaks_in_ids_and_paths_are_refused)
{
    BOOST_TEST(!parse(chat_line(R"(a\r\nX-Injected: 1)")));
    BOOST_TEST((error.ec == result_code::invalid_request));
    BOOST_TEST(!parse(service_line(
        "a", R"(/v1/services/billing/x HTTP/1.1\r\nX-Injected: 1)")));
    BOOST_TEST((error.ec == result_code::unknown_path));
}

BOOST_AUTO_TEST_CASE(duplicate_id_and_surplus_item_are_refused)
{
    BOOST_TEST(parse(chat_line("a")));
    BOOST_TEST(!parse(chat_line("a")));
    BOOST_TEST((error.ec == result_code::duplicate_custom_id));
    for (const auto* it : {"b", "c", "d", "e"})
        BOOST_TEST(parse(chat_line(it)));
    BOOST_TEST(!parse(chat_line("f")));
    BOOST_TEST((error.ec == result_code::too_many_items));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(api_parsers)

BOOST_AUTO_TEST_CASE(model_request_with_an_invalid_field_is_refused_by_name)
{
    using api::model_endpoint;
    api::model_request out;
    std::string message;
    const auto parse = [&](model_endpoint endpoint, const std::string& body)
    {
        message.clear();
        return api::parse_model_request(endpoint, body, out, message);
    };
    const std::string chat =
        R"({"model":"m","messages":[{"role":"user"}],"stream":true})";
    BOOST_TEST(!parse(model_endpoint::chat, chat));
    BOOST_TEST(out.model == "m");
    BOOST_TEST(out.stream);
    BOOST_TEST(out.resumable);
    BOOST_TEST(!parse(model_endpoint::completion,
                      R"({"model":"m","prompt":"x","n":2})"));
    BOOST_TEST(!out.resumable);
    BOOST_TEST(!out.stream);
    for (const auto& [body, field] :
         {std::pair{"{}", "model"},
          {R"({"model":""})", "model"},
          {R"({"model":"m","stream":1})", "stream"},
          {R"({"model":"m","n":"x"})", "n"},
          {R"({"model":"m","messages":[]})", "messages"},
          {R"({"model":"m","messages":[1]})", "messages"}})
    {
        BOOST_TEST((parse(model_endpoint::chat, body) ==
                    result_code::invalid_request));
        BOOST_TEST(message.starts_with(field), message);
    }
    BOOST_TEST((parse(model_endpoint::completion, R"({"model":"m"})") ==
                result_code::invalid_request));
    BOOST_TEST(
        (parse(model_endpoint::chat, "{") == result_code::malformed_json));
    BOOST_TEST(
        (parse(model_endpoint::chat, "\xff") == result_code::invalid_utf8));
}

BOOST_AUTO_TEST_CASE(completion_is_assembled_from_its_events)
{
    const auto body = api::make_streaming_body(R"({"model":"m","prompt":"x"})");
    BOOST_REQUIRE(body.has_value());
    BOOST_TEST(body->find("\"stream\":true") != std::string::npos);

    // A response that is more than one choice of plain text can't be assembled
    // from its events.
    for (const auto* it : {R"({"model":"m","n":2})", R"({"tools":[]})",
                           R"({"stream":true,"logprobs":1})", "[]", "{"})
        BOOST_TEST(!api::make_streaming_body(it).has_value(), it);

    const auto answer = api::assemble_answer(
        R"({"id":"i","model":"m","choices":[{"delta":{"content":"ab"}}]})"
        "\n"
        R"({"id":"i","model":"m","choices":[{"delta":{"content":"c"},)"
        R"("finish_reason":"stop"}]})"
        "\n[DONE]");
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->find("\"content\":\"abc\"") != std::string::npos);
    BOOST_TEST(answer->find("\"stop\"") != std::string::npos);
    BOOST_TEST(!api::assemble_answer("no event").has_value());
}

BOOST_AUTO_TEST_CASE(service_target_is_split_into_name_and_path)
{
    const auto it = api::parse_service_target("/v1/services/billing/a/b?c=d");
    BOOST_REQUIRE(it.has_value());
    BOOST_TEST(it->name == "billing");
    BOOST_TEST(it->path == "/a/b?c=d");
    BOOST_TEST(api::parse_service_target("/v1/services/billing")->path == "/");
    for (const auto* other : {"/v1/services/", "/v1/services", "/v2/x", ""})
        BOOST_TEST(!api::parse_service_target(other).has_value(), other);
}

// Guards against callers who evade a rule by another spelling of its path, so
// that a non-repeatable call is sent to a target twice.
BOOST_AUTO_TEST_CASE(ambiguous_path_is_neither_repeatable_nor_non_repeatable)
{
    proto::ServiceSpec spec;
    spec.add_not_repeatable("POST /pay");
    spec.add_not_repeatable("no rule");
    const api::service_rules rules(spec);
    BOOST_TEST(rules.is_repeatable("POST", "/pay/1").value() == false);
    BOOST_TEST(rules.is_repeatable("POST", "/p%61y/1").value() == false);
    BOOST_TEST(rules.is_repeatable("GET", "/pay/1").value() == true);
    BOOST_TEST(rules.is_repeatable("POST", "/list").value() == true);
    for (const auto* it : {"//pay", "/x/../pay", "/./pay", "/x%2fpay", "/%zz",
                           "/pay%00", "/pay;x", "/x\\pay"})
        BOOST_TEST(!rules.is_repeatable("POST", it).has_value(), it);
}

BOOST_AUTO_TEST_CASE(team_is_found_by_key_and_models_and_services_by_name)
{
    const api::fleet_index fleet(make_fleet());
    BOOST_REQUIRE(fleet.find_team("Bearer secret") != nullptr);
    BOOST_TEST(fleet.find_team("Bearer secret")->name() == "red");
    for (const auto* it :
         {"", "secret", "Bearer", "Bearer ", "Basic secret", "Bearer secret2"})
        BOOST_TEST(fleet.find_team(it) == nullptr, it);
    BOOST_TEST(fleet.has_model("m"));
    BOOST_TEST(!fleet.has_model("billing"));
    BOOST_TEST(fleet.find_service("billing") != nullptr);
    BOOST_TEST(fleet.find_service("m") == nullptr);
}

BOOST_AUTO_TEST_CASE(configuration_has_a_route_for_each_use)
{
    config::settings settings;
    const auto it = api::make_configuration(*make_fleet(), settings);
    BOOST_TEST(it->version() == 4);
    using api::route_use;
    const auto find = [&it](route_use use, const char* service)
    {
        return it->find_route_named(api::route_name(use, service));
    };
    BOOST_REQUIRE(find(route_use::stream, "m") != nullptr);
    BOOST_TEST((find(route_use::stream, "m")->repeats ==
                fleet::repetition::resumable));
    BOOST_TEST((find(route_use::plain_stream, "m")->kind ==
                fleet::route_kind::stream));
    BOOST_TEST((find(route_use::answer, "m")->repeats ==
                fleet::repetition::repeatable));
    BOOST_TEST(
        (find(route_use::once, "billing")->repeats == fleet::repetition::once));
    BOOST_TEST(find(route_use::once, "billing")->max_attempts == 1);
    BOOST_TEST(find(route_use::once, "m") == nullptr);
}

BOOST_AUTO_TEST_CASE(target_spec_is_converted_to_an_announcement)
{
    proto::TargetSpec spec;
    spec.add_models("m");
    spec.set_address("10.0.0.1");
    spec.set_port(80);
    spec.set_data_centre("d");
    spec.set_state("leaving");
    const auto it = api::make_announcement(spec, 9);
    BOOST_TEST((it.services == std::vector<std::string>{"m"}));
    BOOST_TEST(to_string(it.address) == "10.0.0.1:80");
    BOOST_TEST(it.slots == 1);
    BOOST_TEST(it.leaving);
    BOOST_TEST(it.sequence == 9);
}

BOOST_AUTO_TEST_SUITE_END()
