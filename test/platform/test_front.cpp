#include "platform/front_fixture.hpp"

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(platform_front_start, front_fixture)

// Without a configuration it is unknown whether a route exists: 404 would mean
// that it does not.
BOOST_AUTO_TEST_CASE(request_before_the_first_configuration_gets_503)
{
    const auto answer = send_request(get("/c/x"), "\r\n\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(contains(answer, "Retry-After: "));
    BOOST_TEST(contains(send_request(get("/tanagertrack/lots/j"), "\r\n\r\n"),
                        " 503 "));
}

BOOST_AUTO_TEST_CASE(readiness_check_reports_whether_the_process_is_ready)
{
    const auto check = [this]
    {
        async_client client(context, settings.platform.ready.port);
        return client.send_and_wait(
            "GET /tanagertrack/ready HTTP/1.1\r\nHost: x\r\n\r\n", "\r\n\r\n");
    };
    BOOST_TEST(contains(check(), " 503 "));
    ready = true;
    BOOST_TEST(contains(check(), " 200 "));
}

BOOST_AUTO_TEST_CASE(metrics_are_served_on_the_readiness_listener)
{
    async_client client(context, settings.platform.ready.port);
    const auto text = client.send_and_wait(
        "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", "store_calls_total");
    BOOST_TEST(text.starts_with("HTTP/1.1 200 "));
}

// Guards against the refusal of calls on an accepted job by a process that does
// not know the configuration yet, but has read the log of jobs.
BOOST_AUTO_TEST_CASE(accepted_job_is_found_before_the_first_configuration)
{
    append_accepted_job("j1", "h");
    BOOST_REQUIRE(run_until(
        context, [&] { return core->jobs().table().find("j1") != nullptr; }));
    BOOST_TEST(contains(send_request(get("/tanagertrack/lots/j1"), "\r\n\r\n{"),
                        " 200 "));
    BOOST_TEST(contains(
        send_request(post("/b/j1", job_body(item("i1")), "j1"), "\r\n\r\n{}"),
        " 202 "));
    BOOST_TEST(contains(
        send_request(post("/b/j2", job_body(item("i1")), "j2"), "\r\n\r\n"),
        " 503 "));
}

// A process that starts while the store is unreachable gets the configuration
// and the targets from another process.
BOOST_AUTO_TEST_CASE(exported_state_is_imported_by_another_process)
{
    configure(3);
    add_engine();
    const auto state = edge.export_state();
    front_fixture other;
    other.store.read_outcome = []
    {
        return call_outcome::refused;
    };
    other.edge.import_state(state);
    BOOST_TEST(other.core->configuration()->version() == 3);
    BOOST_TEST(other.core->targets().size() == 1);
    BOOST_TEST(other.targets_known);
    other.edge.import_state("\xff\xff junk");
    BOOST_TEST(other.core->configuration()->version() == 3);
}

BOOST_AUTO_TEST_CASE(older_and_malformed_configurations_are_ignored)
{
    configure(5);
    put("keyed.op", "config", configuration_text(4));
    put("keyed.op", "config", "{not json");
    put("keyed.op", "other", "x");
    configure(6);
    BOOST_TEST(core->configuration()->version() == 6);
}

BOOST_AUTO_TEST_CASE(malformed_announcements_are_skipped)
{
    put("keyed.servers", "bad", "\xff");
    put("keyed.servers", "worse", R"({"service":7})");
    configure();
    add_engine();
    BOOST_TEST(core->targets().size() == 1);
    BOOST_TEST(contains(send_request(get("/c/x"), "answer"), " 200 "));
}

BOOST_AUTO_TEST_CASE(draining_target_gets_no_new_requests)
{
    configure();
    add_engine();
    put("keyed.servers", "t1", announcement(2, "draining"));
    BOOST_REQUIRE(
        run_until(context, [&] { return core->targets().size() == 0; }));
    const auto answer = send_request(get("/c/x"), "\r\n\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(engine.requests.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(platform_front, serving_front)

BOOST_AUTO_TEST_CASE(
    request_is_forwarded_and_the_response_keeps_its_header_fields)
{
    const auto answer = send_request(
        get("/c/x?y=1", "X-Tanagertrack-Deadline-Ms: 1500\r\n"), "answer");
    BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
    BOOST_TEST(contains(answer, "X-Tanagertrack-Server-Stamp: st\r\n"));
    BOOST_TEST(contains(answer, "X-Tanagertrack-Request-Id: r1\r\n"));
    const auto& sent = engine.requests.front();
    BOOST_TEST(sent.starts_with("GET /c/x?y=1 HTTP/1.1\r\n"));
    BOOST_TEST(field_of(sent, "Host") == "h");
    BOOST_TEST(field_of(sent, "X-Tanagertrack-Expect-Instance") == "t1");
    const auto time_left =
        std::stoi(field_of(sent, "X-Tanagertrack-Deadline-Ms"));
    BOOST_TEST(time_left <= 1500);
    BOOST_TEST(time_left > 1000);
}

// ---- invalid input is refused, and the next caller is served ----

BOOST_AUTO_TEST_CASE(unknown_hosts_and_paths_get_404)
{
    BOOST_TEST(contains(send_request(get("/other/x"), "\r\n\r\n"), " 404 "));
    BOOST_TEST(contains(
        send_request("GET /c/x HTTP/1.1\r\nHost: nobody\r\n\r\n", "\r\n\r\n"),
        " 404 "));
    BOOST_TEST(contains(send_request("GET /c/x HTTP/1.1\r\n\r\n", "\r\n\r\n"),
                        " 404 "));
    BOOST_TEST(engine.requests.empty());
}

// The path is forwarded unchanged and matched as text: ".." must not select a
// route by the resolved path.
BOOST_AUTO_TEST_CASE(path_with_dot_segments_is_not_resolved)
{
    BOOST_TEST(contains(send_request(get("/c/../b/x"), "answer"), " 200 "));
    BOOST_TEST(engine.requests.front().starts_with("GET /c/../b/x "));
    BOOST_TEST(contains(send_request(get("/../c/x"), "\r\n\r\n"), " 404 "));
    BOOST_TEST(
        contains(send_request(get("/tanagertrack/lots/../../c/x"), "\r\n\r\n"),
                 " 404 "));
    BOOST_TEST(engine.requests.size() == 1);
}

BOOST_AUTO_TEST_CASE(request_with_two_content_lengths_is_refused)
{
    const auto answer =
        send_request("POST /c/x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
                     "Content-Length: 40\r\n\r\nhello",
                     "\r\n\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 400 "));
    BOOST_TEST(engine.requests.empty());
}

// Guards against request smuggling: by the Content-Length, a second request is
// part of the body; by the chunked encoding, it comes after it.
BOOST_AUTO_TEST_CASE(
    request_with_content_length_and_chunked_encoding_is_refused)
{
    const std::string smuggled = "GET /c/smuggled HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto answer = send_request(
        "POST /c/x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
            std::to_string(5 + smuggled.size()) +
            "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
        "\r\n\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 400 "));
    run_for(context, 30ms);
    for (const auto& it : engine.requests)
        BOOST_TEST(!contains(it, "smuggled"));
}

BOOST_AUTO_TEST_CASE(malformed_header_fields_get_400)
{
    for (const std::string line :
         {"Content-Length : 3", "X\x01Y: z", ": nothing",
          "Transfer-Encoding: chunked, identity", "Content-Length: -3",
          "Content-Length: 3, 4"})
    {
        const auto answer = send_request("POST /c/x HTTP/1.1\r\nHost: h\r\n" +
                                             line + "\r\n\r\nabc",
                                         "\r\n\r\n");
        BOOST_TEST(answer.starts_with("HTTP/1.1 400 "), line << ": " << answer);
    }
    BOOST_TEST(engine.requests.empty());
}

BOOST_AUTO_TEST_CASE(body_over_the_limit_gets_413)
{
    const auto answer =
        send_request(post("/c/x", std::string(5000, 'x')), "\r\n\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 413 "));
    BOOST_TEST(engine.requests.empty());
    BOOST_TEST(contains(send_request(get("/c/x"), "answer"), " 200 "));
}

BOOST_AUTO_TEST_CASE(header_over_the_limit_gets_431)
{
    std::string fields;
    for (int n = 0; n < 400; ++n)
        fields += "X-Field-" + std::to_string(n) + ": value\r\n";
    BOOST_TEST(send_request(get("/c/x", fields), "\r\n\r\n")
                   .starts_with("HTTP/1.1 431 "));
    BOOST_TEST(contains(send_request(get("/c/x"), "answer"), " 200 "));
}

// Guards against callers that hold connections by never completing a request.
BOOST_AUTO_TEST_CASE(
    connection_with_an_incomplete_head_is_closed_after_the_timeout)
{
    async_client slow(context, settings.platform.front.port);
    slow.send("GET /c/x HTTP/1.1\r\nHost: h\r\nX-Slow: ");
    BOOST_TEST(contains(send_request(get("/c/x"), "answer"), " 200 "));
    BOOST_TEST(run_until(
        context, [&] { return slow.closed; }, 5s));
    BOOST_TEST(engine.requests.size() == 1);
}

BOOST_AUTO_TEST_CASE(
    request_at_the_target_is_cancelled_when_the_caller_disconnects)
{
    engine.make_answer = [](const std::string&)
    {
        return scripted_answer{};
    };
    async_client client(context, settings.platform.front.port);
    client.send(get("/c/x"));
    BOOST_REQUIRE(
        run_until(context, [&] { return engine.requests.size() == 1; }));
    client.close();
    BOOST_TEST(run_until(context, [&] { return engine.closed == 1; }));
}

// ---- batch jobs ----

BOOST_AUTO_TEST_CASE(job_is_accepted_and_run_and_its_results_are_read)
{
    engine.make_answer = [](const std::string& request)
    {
        return scripted_answer{
            chunked_head(200,
                         "X-Tanagertrack-Request-Id: " +
                             field_of(request, "X-Tanagertrack-Request-Id") +
                             "\r\nX-Tanagertrack-Server-Stamp: st\r\n") +
            chunk(event(1, "one")) + chunk(event(2, "two")) + chunk("")};
    };
    const auto submitted =
        send_request(post("/b/j1", job_body(item("i1")), "j1"), "\r\n\r\n{}");
    BOOST_TEST(submitted.starts_with("HTTP/1.1 202 "));
    const auto page = send_request(get("/tanagertrack/lots/j1?after=0",
                                       "X-Tanagertrack-Wait-Ms: 1000\r\n"),
                                   "}]}");
    BOOST_TEST(contains(page, R"("totalCount":1)"));
    BOOST_TEST(contains(page, R"("next":1)"));
    BOOST_TEST(
        contains(page, R"("id":"i1","state":"succeeded","text":"one\ntwo")"));
    BOOST_TEST(field_of(engine.requests.front(), "A") == "b");

    const auto cancelled =
        send_request("DELETE /tanagertrack/lots/j1 HTTP/1.1\r\n"
                     "Host: h\r\n\r\n",
                     "{}");
    BOOST_TEST(cancelled.starts_with("HTTP/1.1 200 "));
}

BOOST_AUTO_TEST_CASE(item_body_is_served_and_unknown_items_get_404)
{
    engine.make_answer = [](const std::string&)
    {
        return scripted_answer{};
    };
    send_request(post("/b/j1", job_body(item("i1")), "j1"), "\r\n\r\n{}");
    BOOST_TEST(contains(
        send_request(get("/tanagertrack/items/j1?id=i1"), "body of i1"),
        " 200 "));
    BOOST_TEST(
        contains(send_request(get("/tanagertrack/items/j1?id=i2"), "\r\n\r\n"),
                 " 404 "));
    BOOST_TEST(contains(send_request(get("/tanagertrack/lots/j2"), "\r\n\r\n"),
                        " 404 "));
}

BOOST_AUTO_TEST_CASE(job_over_the_token_limit_gets_429)
{
    const auto answer = send_request(
        post("/b/j1", job_body(item("i1", 1001)), "j1"), "\r\n\r\n");
    BOOST_TEST(answer.starts_with("HTTP/1.1 429 "));
    BOOST_TEST(contains(answer, "Retry-After: "));
}

// Guards against the valid items of an invalid job being accepted or run.
BOOST_AUTO_TEST_CASE(invalid_job_gets_400_and_none_of_its_items_run)
{
    for (const auto& body :
         {std::string("{"), std::string("[]"), job_body(""),
          job_body(R"({"id":"i"})"), job_body(item("i") + "," + item("i")),
          job_body(R"({"id":"i","path":"b","body":"","tokenCount":1})"),
          job_body(R"({"id":"i","path":"/b/","body":"%%","tokenCount":1})"),
          job_body(R"({"id":"i","path":"/b/","body":"","tokenCount":-1})"),
          job_body(R"({"id":"i","path":"/b/","body":"","tokenCount":1,)"
                   R"("headers":{"a":1}})")})
    {
        const auto answer = send_request(post("/b/j1", body, "j1"), "\r\n\r\n");
        BOOST_TEST(answer.starts_with("HTTP/1.1 400 "), body);
    }
    run_for(context, 20ms);
    BOOST_TEST(engine.requests.empty());
    BOOST_TEST(core->jobs().table().size() == 0);
}

// Guards against header injection: a line break in an item's fields would end
// the head of the request to the target, and what follows would be read as
// another request.
BOOST_AUTO_TEST_CASE(items_with_invalid_header_fields_or_paths_are_refused)
{
    const std::vector<std::string> invalid_headers{
        R"("headers":{"A":"b\r\nX-Injected: 1"})",
        R"("headers":{"A\r\nB":"c"})", R"("headers":{"":"c"})",
        R"("headers":{"A B":"c"})"};
    for (const auto& headers : invalid_headers)
    {
        const auto body =
            job_body(R"({"id":"i","path":"/b/x","body":"","tokenCount":1,)" +
                     headers + "}");
        BOOST_TEST(send_request(post("/b/j1", body, "j1"), "\r\n\r\n")
                       .starts_with("HTTP/1.1 400 "),
                   headers);
    }
    for (const std::string path : {R"(/b/x HTTP/1.1\r\nA: b)", R"(/b/\n)"})
    {
        const auto body = job_body(R"({"id":"i","path":")" + path +
                                   R"(","body":"","tokenCount":1})");
        BOOST_TEST(send_request(post("/b/j1", body, "j1"), "\r\n\r\n")
                       .starts_with("HTTP/1.1 400 "),
                   path);
    }
    const auto body = job_body(
        R"({"id":"i\r\nA: b","path":"/b/x","body":"","tokenCount":1})");
    BOOST_TEST(send_request(post("/b/j1", body, "j1"), "\r\n\r\n")
                   .starts_with("HTTP/1.1 400 "));
    run_for(context, 20ms);
    BOOST_TEST(engine.requests.empty());
}

// The system sets the fields that determine where a message ends. Those of an
// item must not reach the target.
BOOST_AUTO_TEST_CASE(framing_fields_of_an_item_are_not_forwarded)
{
    const auto body = job_body(
        R"({"id":"i","path":"/b/x","body":"aGVsbG8=","tokenCount":1,"headers":)"
        R"({"Content-Length":"0","Transfer-Encoding":"chunked","Host":"o",)"
        R"("Connection":"close","Kept":"1"}})");
    BOOST_TEST(send_request(post("/b/j1", body, "j1"), "\r\n\r\n{}")
                   .starts_with("HTTP/1.1 202 "));
    BOOST_REQUIRE(run_until(context, [&] { return !engine.requests.empty(); }));
    const auto& sent = engine.requests.front();
    BOOST_TEST(contains(sent, "Content-Length: 5\r\n"));
    BOOST_TEST(!contains(sent, "Content-Length: 0"));
    BOOST_TEST(!contains(sent, "Transfer-Encoding"));
    BOOST_TEST(!contains(sent, "Connection"));
    BOOST_TEST(!contains(sent, "Host: o"));
    BOOST_TEST(contains(sent, "Kept: 1\r\n"));
}

BOOST_AUTO_TEST_CASE(unsupported_method_on_a_job_gets_405)
{
    BOOST_TEST(
        contains(send_request("PUT /tanagertrack/lots/j HTTP/1.1\r\nHost: h\r\n"
                              "Content-Length: 0\r\n\r\n",
                              "\r\n\r\n"),
                 " 405 "));
}

BOOST_AUTO_TEST_SUITE_END()
