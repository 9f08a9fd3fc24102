#include "platform/front_fixture.hpp"

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;

namespace
{

/// Field with which a sound target signs its answers.
constexpr const char* signature = "X-Tanagertrack-Server-Stamp: st\r\n";

/// Stream routes, of which the first one can be resumed, and a route of calls
/// that run at most once.
constexpr const char* more_routes =
    R"(,{"name":"s","host":"h","pathPrefix":"/s/","service":"s",
         "kind":"stream","resumable":true,"maxAttempts":2,"timeoutMs":2000,
         "gapAimMs":200},
        {"name":"o","host":"h","pathPrefix":"/o/","service":"s",
         "kind":"non_idempotent","maxAttempts":2,"timeoutMs":2000})";

std::string id_line(const std::string& request)
{
    return "X-Tanagertrack-Request-Id: " +
           field_of(request, "X-Tanagertrack-Request-Id") + "\r\n";
}

/// Answers with a stream of three events, or with the rest of it.
scripted_answer answer_events(const std::string& request,
                              const std::string& head, const std::string& data)
{
    const auto after = field_of(request, "Last-Event-Id");
    auto out = chunked_head(200, id_line(request) + head);
    for (unsigned n = after.empty() ? 1 : std::stoul(after) + 1; n <= 3; ++n)
        out += chunk(event(n, data + std::to_string(n)));
    return {out + chunk("")};
}

scripted_answer answer_soundly(const std::string& request)
{
    return answer_events(request, signature, "sound");
}

/// Answers with a success that no target has signed.
scripted_answer answer_unsigned(const std::string& request)
{
    return answer_events(request, "", "bad");
}

/// An entry with a target in trouble and a sound one.
struct with_two_engines : serving_front
{
    with_two_engines()
    {
        configure(2, more_routes);
        engine.make_answer = answer_unsigned;
        sound_engine.make_answer = answer_soundly;
        put("keyed.servers", "t2",
            R"({"service":"s","address":")" +
                to_string(sound_engine.address()) +
                R"(","zone":"a","slots":4,"state":"ready","seq":1,"born":1})");
        BOOST_REQUIRE(
            run_until(context, [&] { return core->targets().size() == 2; }));
    }

    ~with_two_engines()
    {
        sound_engine.stop();
        run_ready(context);
    }

    /// Sends the request until it was sent to the target in trouble, and
    /// returns the last answer.
    std::string send_until_tried(const std::string& request)
    {
        constexpr int max_requests = 50;
        std::string answer;
        for (int n = 0; n < max_requests && engine.requests.empty(); ++n)
            answer = send_request(request, "sound3");
        BOOST_TEST(!engine.requests.empty());
        return answer;
    }

    /// Submits a job of three items and checks that the target in trouble gets
    /// some of them and that the results of all come from the sound one.
    void check_items_are_done_by_the_sound_target(const std::string& id = "j1")
    {
        const auto items = item("i1") + ',' + item("i2") + ',' + item("i3");
        const auto submitted =
            send_request(post("/b/" + id, job_body(items), id), "\r\n\r\n{}");
        BOOST_REQUIRE(submitted.starts_with("HTTP/1.1 202 "));
        BOOST_REQUIRE(
            run_until(context,
                      [&]
                      {
                          const auto* job = core->jobs().table().find(id);
                          return job != nullptr && job->results.size() == 3;
                      }));
        const auto page =
            send_request(get("/tanagertrack/lots/" + id + "?after=0"), "}]}");
        BOOST_TEST(!engine.requests.empty());
        BOOST_TEST(!contains(page, "bad"));
        BOOST_TEST(!contains(page, "dead_lettered"));
        BOOST_TEST(contains(page, R"("text":"sound1\nsound2\nsound3")"));
    }

    scripted_server sound_engine{context};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(platform_invalid_answers, with_two_engines)

// Guards against bytes of a target in trouble that reach a caller as the answer
// to its call.
BOOST_AUTO_TEST_CASE(unsigned_answer_to_a_call_is_replaced_by_another_target)
{
    const auto answer = send_until_tried(get("/c/x"));
    BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
    BOOST_TEST(!contains(answer, "bad"));
}

// Guards against the same in a stream, whose events are relayed one by one.
BOOST_AUTO_TEST_CASE(unsigned_stream_is_replaced_by_another_target)
{
    const auto answer = send_until_tried(post("/s/x", "body"));
    BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
    BOOST_TEST(contains(answer, "sound1"));
    BOOST_TEST(!contains(answer, "bad"));
}

// Guards against events of a target in trouble that continue the stream of a
// sound one.
BOOST_AUTO_TEST_CASE(stream_is_not_continued_by_an_unsigned_answer)
{
    sound_engine.make_answer = [](const std::string& request)
    {
        return scripted_answer{chunked_head(200, id_line(request) + signature) +
                                   chunk(event(1, "sound1")),
                               true};
    };
    std::string answer;
    while (!contains(answer, "sound1"))
        answer = send_request(post("/s/x", "body"), "\r\n0\r\n\r\n");
    BOOST_TEST(!contains(answer, "bad"));
    BOOST_TEST(!contains(answer, "\r\n0\r\n\r\n"));
}

// Guards against an unsigned success as the answer to a call that can't be
// repeated: whether it ran is not known.
BOOST_AUTO_TEST_CASE(unsigned_answer_to_a_call_that_runs_once_is_a_failure)
{
    sound_engine.make_answer = answer_unsigned;
    const auto answer = send_request(post("/o/x", "body"), "}");
    BOOST_TEST(answer.starts_with("HTTP/1.1 502 "));
    BOOST_TEST(!contains(answer, "bad"));
    BOOST_TEST(engine.requests.size() + sound_engine.requests.size() == 1);
}

// Guards against an item that ends with the bytes of a target in trouble, as
// its result or as a failure.
BOOST_AUTO_TEST_CASE(unsigned_answer_to_an_item_is_replaced_by_another_target)
{
    check_items_are_done_by_the_sound_target();
}

// Guards against an item that is given up on the word of a target in trouble.
// The route permits two failures.
BOOST_AUTO_TEST_CASE(item_is_not_given_up_for_an_unsigned_failure)
{
    for (const unsigned status : {422, 500})
    {
        engine.make_answer = [status](const std::string& request)
        {
            return scripted_answer{
                whole_answer(status, "bad", id_line(request))};
        };
        check_items_are_done_by_the_sound_target("j" + std::to_string(status));
    }
}

// Guards against a failure of a target that is withheld from the caller because
// it is not signed: only a success needs a signature.
BOOST_AUTO_TEST_CASE(unsigned_failure_is_relayed_to_the_caller_of_a_call)
{
    for (auto* it : {&engine, &sound_engine})
        it->make_answer = [](const std::string& request)
        {
            return scripted_answer{
                whole_answer(404, "unknown", id_line(request))};
        };
    const auto answer = send_request(get("/c/x"), "unknown");
    BOOST_TEST(answer.starts_with("HTTP/1.1 404 "));
}

BOOST_AUTO_TEST_SUITE_END()
