#include "api/api_process.hpp"
#include "common/periodic_timer.hpp"
#include "support/scripted_server.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;

namespace
{

/// An entry with a service whose calls run at most once.
struct fixture
{
    fixture()
    {
        one.apply_ticket(
            1, "services: [{name: s, not_repeatable: [\"POST /pay\"]}]\n"
               "targets: [{name: t1, address: 127.0.0.1, port: " +
                   std::to_string(target.address().port) +
                   ", data_centre: a, region: r, kind: service, "
                   "models: [s], slots: 4}]\n"
                   "teams: [{name: t, key: team-key, "
                   "requests_per_second: 500, burst: 500, max_jobs: 100}]\n");
        BOOST_REQUIRE(run_until(context,
                                [this]
                                {
                                    return one.has_version(1) &&
                                           one.core->jobs().is_current() &&
                                           one.core->targets().size() == 1;
                                }));
    }

    ~fixture()
    {
        one.edge.close();
        target.stop();
        run_ready(context);
    }

    std::string call(const std::string& key)
    {
        return one.post(one.settings.front.port, "/v1/services/s/pay",
                        "Authorization: Bearer team-key\r\n"
                        "Idempotency-Key: " +
                            key + "\r\n",
                        "body");
    }

    boost::asio::io_context context;
    fake_store store{context};
    scripted_server target{context};
    api_process one{context, store, "e1", 0ms};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(service_calls, fixture)

// Guards against a target whose answer to a call that runs once does not end:
// the entry would hold all of it until the request's timeout. Whether the call
// ran is not known, and it is not sent again.
BOOST_AUTO_TEST_CASE(call_with_an_endless_answer_has_an_unknown_outcome)
{
    const std::string piece(256UL * 1024, 'x');
    constexpr std::size_t max_pieces = 128;
    std::size_t pieces = 0;
    target.make_answer = [](const std::string& request)
    {
        return scripted_answer{
            chunked_head(200, answers_to(field_of(request, "Id")))};
    };
    common::periodic_timer sending(
        context, 1ms,
        [&]
        {
            const bool is_open = !target.requests.empty() && target.closed == 0;
            if (is_open && ++pieces <= max_pieces)
                target.send_all(chunk(piece));
        });
    sending.start();
    const auto answer = call("k1");
    BOOST_TEST(answer.starts_with("HTTP/1.1 502 "));
    BOOST_TEST(answer.find("may_have_run") != std::string::npos);
    BOOST_TEST(pieces < max_pieces);
    BOOST_TEST(run_until(context, [&] { return target.closed == 1; }));

    const auto again = call("k1");
    BOOST_TEST(again.starts_with("HTTP/1.1 502 "));
    BOOST_TEST(target.requests.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
