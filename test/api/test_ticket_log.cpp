#include "api/ticket_log.hpp"
#include "common/result_code.hpp"
#include "support/event_loop.hpp"
#include "support/fake_store.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;
using common::result_code;
using kind = state::ticket_verdict_kind;

namespace
{

struct node
{
    node(boost::asio::io_context& context, fake_store& store,
         const std::string& name, std::chrono::milliseconds retention = 1h)
        : log(std::make_unique<api::ticket_log>(
              context, store.service(),
              api::ticket_log_settings{name, 256UL * 1024, retention},
              [this](const api::ticket_log::snapshot& it)
              { version = it->version(); }))
    {
        log->start();
    }

    std::uint64_t version = 0;
    std::unique_ptr<api::ticket_log> log;
};

struct fixture
{
    std::optional<api::ticket_outcome>
    submit(node& where, std::uint64_t number, const std::string& body,
           std::chrono::milliseconds time = 10s)
    {
        std::optional<api::ticket_outcome> out;
        where.log->submit("ticket: " + std::to_string(number) + "\n" + body,
                          "ann", time,
                          [&out](const api::ticket_outcome& it) { out = it; });
        run_until(context, [&out] { return out.has_value(); });
        return out;
    }

    boost::asio::io_context context;
    fake_store store{context};
    node one{context, store, "w1"};
    node two{context, store, "w2"};
};

const std::string model = "models: [{name: m}]\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(ticket_log, fixture)

BOOST_AUTO_TEST_CASE(accepted_ticket_is_in_effect_everywhere)
{
    const auto out = submit(one, 1, model);
    BOOST_REQUIRE(out.has_value());
    BOOST_TEST(!out->error);
    BOOST_TEST((out->verdict.kind == kind::accepted));

    // The verdict comes after this process uses the ticket.
    BOOST_TEST(one.version == 1);
    BOOST_TEST(run_until(context, [&] { return two.version == 1; }));
    BOOST_TEST((two.log->find_verdict(1)->kind == kind::accepted));
    BOOST_TEST(!two.log->find_verdict(2).has_value());
}

// Two operators at two entries: the log decides, and both are told the same.
BOOST_AUTO_TEST_CASE(later_of_two_tickets_with_one_number_is_refused)
{
    std::optional<api::ticket_outcome> first;
    std::optional<api::ticket_outcome> second;
    one.log->submit("ticket: 5\n" + model, "ann", 10s,
                    [&](const api::ticket_outcome& it) { first = it; });
    two.log->submit("ticket: 5\nmodels: [{name: n}]\n", "bob", 10s,
                    [&](const api::ticket_outcome& it) { second = it; });
    BOOST_REQUIRE(run_until(context, [&] { return first && second; }));
    const bool one_won = first->verdict.kind == kind::accepted;
    const bool two_won = second->verdict.kind == kind::accepted;
    BOOST_TEST(one_won != two_won);
    BOOST_TEST(run_until(context,
                         [&] { return one.version == 1 && two.version == 1; }));
    BOOST_TEST(one.log->current()->models(0).name() ==
               two.log->current()->models(0).name());
}

BOOST_AUTO_TEST_CASE(ticket_that_can_not_be_read_is_refused_with_its_line)
{
    const auto out = submit(one, 1, "models: [{nme: m}]\n");
    BOOST_TEST((out->verdict.kind != kind::accepted));
    BOOST_TEST(out->verdict.message.find("nme") != std::string::npos);
    BOOST_TEST(store.appends == 0);
}

BOOST_AUTO_TEST_CASE(ticket_is_not_in_the_log_when_the_store_refuses)
{
    store.append_outcome = []
    {
        return call_outcome::refused;
    };
    const auto out = submit(one, 1, model);
    BOOST_TEST((out->error == result_code::log_unavailable));
}

// Guards against an operator who is told "not done" of a ticket that takes
// effect later.
BOOST_AUTO_TEST_CASE(ticket_without_an_answer_of_the_store_may_be_in_the_log)
{
    store.append_outcome = []
    {
        return call_outcome::late;
    };
    const auto out = submit(one, 1, model, 50ms);
    BOOST_TEST((out->error == result_code::log_append_unknown));
    store.append_outcome = []
    {
        return call_outcome::done;
    };
    store.run_late();
    BOOST_TEST(run_until(context, [&] { return two.version == 1; }));
}

BOOST_AUTO_TEST_CASE(lost_answer_does_not_lose_the_verdict)
{
    unsigned n = 0;
    store.append_outcome = [&n]
    {
        return n++ == 0 ? call_outcome::answer_lost : call_outcome::done;
    };
    const auto out = submit(one, 1, model);
    BOOST_TEST((out->verdict.kind == kind::accepted));
    BOOST_TEST(one.log->current()->models_size() == 1);
}

// Records expire: the configuration must not be lost with them.
BOOST_AUTO_TEST_CASE(snapshot_outlasts_the_records)
{
    submit(one, 1, model);
    const auto end = store.model.end("tickets", 0);
    node keeper(context, store, "w3", 400ms);
    BOOST_REQUIRE(run_until(context, [&]
                            { return store.model.end("tickets", 0) > end; }));
    store.model.trim("tickets", 0, end);
    node late(context, store, "w4");
    BOOST_TEST(run_until(context, [&] { return late.version == 1; }));
    BOOST_TEST(late.log->current()->models(0).name() == "m");
}

BOOST_AUTO_TEST_CASE(state_of_another_process_serves_without_the_store)
{
    submit(one, 1, model);
    store.read_outcome = []
    {
        return call_outcome::refused;
    };
    node late(context, store, "w3");
    late.log->import_state(one.log->export_state());
    BOOST_TEST(late.version == 1);
    late.log->import_state(proto::ConfigSnapshot());
    BOOST_TEST(late.version == 1);
}

BOOST_AUTO_TEST_CASE(unreadable_record_is_skipped)
{
    store.model.append({"tickets", 0, {"\xff\xff junk"}}, common::clock::now());
    store.wake();
    BOOST_TEST((submit(one, 1, model)->verdict.kind == kind::accepted));
}

BOOST_AUTO_TEST_SUITE_END()
