#include "platform/caller_calls.hpp"
#include "platform/engine_protocol.hpp"
#include "platform/platform_edge.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

using namespace tanagertrack;
using namespace std::chrono_literals;
using targets::answer_kind;

namespace
{

http::response_head
answer_with(unsigned status,
            const std::vector<std::pair<std::string, std::string>>& fields)
{
    http::response_head head;
    head.status = status;
    for (const auto& [name, value] : fields)
        head.headers.add(name, value);
    return head;
}

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

namespace
{

fleet::configuration_ptr no_teams()
{
    return std::make_shared<const fleet::configuration>(
        1, std::vector<fleet::route>(), std::vector<fleet::service>(),
        fleet::request_limits());
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_calls)

BOOST_AUTO_TEST_CASE(number_is_parsed_only_if_the_whole_text_is_a_number)
{
    using platform::parse_number;
    BOOST_TEST(parse_number("12").value() == 12);
    for (const auto* it : {"", "-1", "1x", "1.5", " 1", "99999999999999999999"})
        BOOST_TEST(!parse_number(it).has_value(), it);
}

BOOST_AUTO_TEST_CASE(query_parameter_is_found_by_its_exact_name)
{
    using platform::query_value;
    BOOST_TEST(query_value("/a?x=1&after=12&y", "after") == "12");
    BOOST_TEST(query_value("/a?after=12", "after") == "12");
    BOOST_TEST(query_value("/a?hereafter=12", "after") == "");
    BOOST_TEST(query_value("/a?after", "after") == "");
    BOOST_TEST(query_value("/after=12", "after") == "");
}

BOOST_AUTO_TEST_CASE(request_is_decoded_without_hop_by_hop_fields)
{
    fleet::route route;
    route.name = "r";
    route.repeats = fleet::repetition::resumable;
    route.timeout = 900ms;
    http::request_head head;
    head.method = "POST";
    head.target = "/a/b?c=d";
    head.headers.add("Host", "h");
    head.headers.add("X-Tanagertrack-Request-Id", "id1");
    head.headers.add("X-Tanagertrack-Deadline-Ms", "5000");
    head.headers.add("X-Tanagertrack-Token-Usage", "1460,80");
    head.headers.add("Last-Event-Id", "12");
    head.headers.add("Connection", "keep-alive, X-Hop");
    head.headers.add("X-Hop", "only here");
    head.headers.add("X-Other", "kept");
    const auto now = common::clock::now();
    auto it = platform::decode_call(head, "body", no_teams(), route, {}, now);
    BOOST_TEST(it.id == "id1");
    BOOST_TEST(it.target == "/a/b?c=d");
    BOOST_TEST(it.host == "h");
    BOOST_TEST((it.deadline == now + 5s));
    BOOST_TEST(it.size.prompt_tokens == 1460);
    BOOST_TEST(it.size.max_output_tokens == 80);
    BOOST_TEST(it.after_event.value() == 12);
    BOOST_TEST(it.headers.find("X-Other") == "kept");

    // Hop-by-hop fields are not copied.
    BOOST_TEST(!it.headers.contains("X-Hop"));
    BOOST_TEST(!it.headers.contains("Connection"));
}

BOOST_AUTO_TEST_CASE(request_without_a_timeout_gets_that_of_its_route)
{
    fleet::route route;
    route.timeout = 900ms;
    http::request_head head;
    head.headers.add("X-Tanagertrack-Deadline-Ms", "soon");
    const auto now = common::clock::now();
    const auto it = platform::decode_call(head, {}, no_teams(), route, {}, now);
    BOOST_TEST((it.deadline == now + 900ms));
    BOOST_TEST(!it.after_event.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(engine_protocol)

// Guards against a caller's header fields that reach a target in addition to
// those that the system sets: the target would see two deadlines, or a forged
// id.
BOOST_AUTO_TEST_CASE(system_fields_replace_those_of_the_caller)
{
    http::header_list headers;
    headers.add("x-tanagertrack-deadline-ms", "99999");
    headers.add("X-Tanagertrack-Request-Id", "forged");
    headers.add("Last-Event-Id", "3");
    headers.add("X-Tanagertrack-Model", "m");
    const auto protocol = platform::make_engine_protocol();
    const auto text = protocol.write(
        {"id1", "POST", "/a", "h", headers, "body", "t1", 700ms, 9});
    BOOST_TEST(text.starts_with("POST /a HTTP/1.1\r\nHost: h\r\n"));
    BOOST_TEST(contains(text, "X-Tanagertrack-Request-Id: id1\r\n"));
    BOOST_TEST(contains(text, "X-Tanagertrack-Deadline-Ms: 700\r\n"));
    BOOST_TEST(contains(text, "X-Tanagertrack-Expect-Instance: t1\r\n"));
    BOOST_TEST(contains(text, "Last-Event-Id: 9\r\n"));
    BOOST_TEST(contains(text, "X-Tanagertrack-Model: m\r\n"));
    BOOST_TEST(text.ends_with("Content-Length: 4\r\n\r\nbody"));
    BOOST_TEST(!contains(text, "99999"));
    BOOST_TEST(!contains(text, "forged"));
    BOOST_TEST(!contains(text, "Last-Event-Id: 3"));
}

BOOST_AUTO_TEST_CASE(request_without_a_body_has_no_content_length)
{
    const http::header_list none;
    const auto protocol = platform::make_engine_protocol();
    const auto text = protocol.write(
        {"id1", "GET", "/a", "h", none, {}, "t1", std::nullopt, std::nullopt});
    BOOST_TEST(!contains(text, "Content-Length"));
    BOOST_TEST(!contains(text, "Deadline"));
}

// Guards against passing on the response to another request, and against
// accepting a refusal that belongs to an earlier request on the connection.
BOOST_AUTO_TEST_CASE(responses_are_classified_by_request_id_and_status)
{
    const auto protocol = platform::make_engine_protocol();
    const auto id =
        std::pair<std::string, std::string>{"X-Tanagertrack-Request-Id", "id1"};
    const auto other =
        std::pair<std::string, std::string>{"X-Tanagertrack-Request-Id", "id0"};
    const auto not_run =
        std::pair<std::string, std::string>{"X-Tanagertrack-Not-Executed", "1"};
    const auto stamp = std::pair<std::string, std::string>{
        "X-Tanagertrack-Server-Stamp", "st"};
    const targets::answer_context fresh{"id1", true};
    const targets::answer_context used{"id1", false};
    const auto& classify = protocol.classify;
    BOOST_TEST(
        (classify(answer_with(200, {id, stamp}), used) == answer_kind::answer));
    BOOST_TEST(
        (classify(answer_with(500, {id, stamp}), used) == answer_kind::answer));

    // Without a signature, a success is no answer of the target, and a failure
    // may not be one.
    for (const unsigned status : {404, 422, 500})
        BOOST_TEST((classify(answer_with(status, {id}), used) ==
                    answer_kind::unsigned_failure));
    for (const unsigned status : {200, 204, 299})
        BOOST_TEST((classify(answer_with(status, {id}), used) ==
                    answer_kind::invalid));
    BOOST_TEST(
        (classify(answer_with(200, {other}), used) == answer_kind::foreign));
    BOOST_TEST((classify(answer_with(200, {}), fresh) == answer_kind::foreign));
    BOOST_TEST((classify(answer_with(503, {id, not_run}), used) ==
                answer_kind::not_run));

    // Another target has taken over the address; see target_health.
    BOOST_TEST(
        (classify(answer_with(421, {id}), used) == answer_kind::replaced));
    BOOST_TEST(
        (classify(answer_with(421, {other}), used) == answer_kind::foreign));

    // The request of a 503 without the field may have run.
    BOOST_TEST(
        (classify(answer_with(503, {id, stamp}), used) == answer_kind::answer));
    BOOST_TEST(
        (classify(answer_with(503, {not_run}), fresh) == answer_kind::not_run));
    BOOST_TEST(
        (classify(answer_with(503, {not_run}), used) == answer_kind::foreign));
    BOOST_TEST((classify(answer_with(503, {other, not_run}), fresh) ==
                answer_kind::foreign));
}

BOOST_AUTO_TEST_CASE(leaving_target_is_recognized_by_a_field_of_its_response)
{
    const auto protocol = platform::make_engine_protocol();
    BOOST_TEST(
        protocol.is_leaving(answer_with(200, {{"Server-Leaving", "1"}})));
    BOOST_TEST(
        protocol.is_leaving(answer_with(503, {{"server-leaving", "1"}})));
    BOOST_TEST(!protocol.is_leaving(answer_with(200, {})));
    BOOST_TEST(
        !protocol.is_leaving(answer_with(200, {{"Server-Leaving", "0"}})));
}

BOOST_AUTO_TEST_CASE(load_field_of_a_response_is_parsed)
{
    const auto protocol = platform::make_engine_protocol();
    const auto read = [&](const std::string& text)
    {
        return protocol.read_load(
            answer_with(200, {{"X-Tanagertrack-Server-Load", text}}));
    };
    const auto full = read("3,1,8,150");
    BOOST_REQUIRE(full.has_value());
    BOOST_TEST(full->running == 3);
    BOOST_TEST(full->waiting == 1);
    BOOST_TEST(full->slowdown == 1.5);
    BOOST_TEST(read("3,0,8")->slowdown == 0);
    for (const auto* it : {"", "3", "3,1", "a,b,c", "3,,8"})
        BOOST_TEST(!read(it).has_value(), it);
    BOOST_TEST(!protocol.read_load(answer_with(200, {})).has_value());
}

// Guards against taking the part that belongs to one request for a part that
// requests share.
BOOST_AUTO_TEST_CASE(parts_of_a_prompt_are_read_without_the_last_one)
{
    const auto read = [](std::string_view text)
    {
        return platform::parse_prompt(text);
    };
    const auto full = read("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    BOOST_REQUIRE(full.shared.size() == 2);
    BOOST_TEST(full.shared[0] == routing::make_part_key("5c1e07a2"));
    BOOST_TEST(full.shared[1] == routing::make_part_key("91bd3f06"));
    BOOST_TEST(full.own == routing::make_part_key("e4402b7d"));
    BOOST_TEST(read("a:1, b:2").shared == read("a:7,c:1").shared);
    BOOST_TEST(read("a:1").shared.empty());
    for (const auto* it : {"", ",", ":", ":5,:6", " , "})
    {
        BOOST_TEST(read(it).shared.empty(), it);
        BOOST_TEST(read(it).own == 0, it);
    }
}

BOOST_AUTO_TEST_CASE(failures_of_batch_items_are_classified_by_status)
{
    using batch::failure_kind;
    using platform::classify_failure;
    BOOST_TEST((classify_failure(422) == failure_kind::permanent));
    BOOST_TEST((classify_failure(500) == failure_kind::counted));
    for (const unsigned it : {400U, 404U, 429U, 502U, 503U, 504U})
        BOOST_TEST((classify_failure(it) == failure_kind::transient));
}

BOOST_AUTO_TEST_SUITE_END()
