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
using kind = state::ticket_result_kind;

namespace
{

/// A process that follows the log of tickets.
struct ticket_process
{
    ticket_process(boost::asio::io_context& context, fake_store& store,
                   const std::string& name,
                   std::chrono::milliseconds retention = 1h)
        : log(std::make_unique<api::ticket_log>(
              context, store.service(),
              api::ticket_log_settings{name, 256UL * 1024, retention},
              [this](const api::ticket_log::snapshot& it)
              {
                  version = it->version();
                  ++changes;
              }))
    {
        log->start();
    }

    std::uint64_t version = 0;

    /// Number of configurations that took effect.
    unsigned changes = 0;
    std::unique_ptr<api::ticket_log> log;
};

/// Two processes that use the same store.
struct fixture
{
    /// Submits a ticket at a process and waits for its outcome.
    std::optional<api::ticket_outcome>
    submit(ticket_process& process, std::uint64_t number,
           const std::string& body, std::chrono::milliseconds timeout = 10s)
    {
        std::optional<api::ticket_outcome> out;
        process.log->submit(
            "ticket: " + std::to_string(number) + "\n" + body, "ann", timeout,
            [&out](const api::ticket_outcome& it) { out = it; });
        run_until(context, [&out] { return out.has_value(); });
        return out;
    }

    boost::asio::io_context context;
    fake_store store{context};
    ticket_process one{context, store, "w1"};
    ticket_process two{context, store, "w2"};
};

const std::string model = "models: [{name: m}]\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(ticket_log, fixture)

BOOST_AUTO_TEST_CASE(accepted_ticket_takes_effect_in_all_processes)
{
    const auto out = submit(one, 1, model);
    BOOST_REQUIRE(out.has_value());
    BOOST_TEST(!out->error);
    BOOST_TEST((out->result.kind == kind::accepted));

    // The result is reported only after this process uses the configuration.
    BOOST_TEST(one.version == 1);
    BOOST_TEST(run_until(context, [&] { return two.version == 1; }));
    BOOST_TEST((two.log->find_result(1)->kind == kind::accepted));
    BOOST_TEST(!two.log->find_result(2).has_value());
}

// Two operators submit at the same time at two entries; the order of the log
// decides. Guards against accepting both tickets, and against processes that
// end up with different configurations.
BOOST_AUTO_TEST_CASE(one_of_two_concurrent_tickets_of_one_number_is_accepted)
{
    std::optional<api::ticket_outcome> first;
    std::optional<api::ticket_outcome> second;
    one.log->submit("ticket: 5\n" + model, "ann", 10s,
                    [&](const api::ticket_outcome& it) { first = it; });
    two.log->submit("ticket: 5\nmodels: [{name: n}]\n", "bob", 10s,
                    [&](const api::ticket_outcome& it) { second = it; });
    BOOST_REQUIRE(run_until(context, [&] { return first && second; }));
    const bool first_accepted = first->result.kind == kind::accepted;
    const bool second_accepted = second->result.kind == kind::accepted;
    BOOST_TEST(first_accepted != second_accepted);
    BOOST_TEST(run_until(context,
                         [&] { return one.version == 1 && two.version == 1; }));
    BOOST_TEST(one.log->current()->models(0).name() ==
               two.log->current()->models(0).name());
}

BOOST_AUTO_TEST_CASE(invalid_ticket_is_refused_without_an_append)
{
    const auto out = submit(one, 1, "models: [{nme: m}]\n");
    BOOST_TEST((out->result.kind != kind::accepted));
    BOOST_TEST(out->result.message.find("nme") != std::string::npos);
    BOOST_TEST(store.appends == 0);
}

BOOST_AUTO_TEST_CASE(ticket_fails_as_unavailable_when_the_store_refuses)
{
    store.append_outcome = []
    {
        return call_outcome::refused;
    };
    const auto out = submit(one, 1, model);
    BOOST_TEST((out->error == result_code::log_unavailable));
}

// Guards against reporting a ticket as not appended when it takes effect later,
// because the store appends it after the timeout.
BOOST_AUTO_TEST_CASE(ticket_outcome_is_unknown_when_the_append_times_out)
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

BOOST_AUTO_TEST_CASE(ticket_gets_its_result_when_the_append_answer_is_lost)
{
    unsigned n = 0;
    store.append_outcome = [&n]
    {
        return n++ == 0 ? call_outcome::answer_lost : call_outcome::done;
    };
    const auto out = submit(one, 1, model);
    BOOST_TEST((out->result.kind == kind::accepted));
    BOOST_TEST(one.log->current()->models_size() == 1);
}

// Guards against losing the configuration when the store drops expired records:
// a process that starts afterwards has to find it in a snapshot.
BOOST_AUTO_TEST_CASE(configuration_survives_the_expiry_of_the_records)
{
    submit(one, 1, model);
    const auto end = store.model.end("tickets", 0);
    ticket_process snapshot_writer(context, store, "w3", 400ms);
    BOOST_REQUIRE(run_until(context, [&]
                            { return store.model.end("tickets", 0) > end; }));
    store.model.trim("tickets", 0, end);
    ticket_process restarted(context, store, "w4");
    BOOST_TEST(run_until(context, [&] { return restarted.version == 1; }));
    BOOST_TEST(restarted.log->current()->models(0).name() == "m");
}

// Guards against a process that refuses callers because it serves an old
// configuration while it still reads the log: models and teams of later tickets
// are not known yet. The records are larger than one read.
BOOST_AUTO_TEST_CASE(configuration_takes_effect_once_the_log_is_read_to_its_end)
{
    const auto make_models = [](const std::string& prefix)
    {
        std::string text = "models:\n";
        for (int n = 0; n < 500; ++n)
            text += "  - name: " + prefix + std::string(120, 'm') +
                    std::to_string(n) + "\n";
        return text;
    };
    for (unsigned n = 1; n <= 2; ++n)
    {
        const auto out = submit(one, n, make_models(std::string(n, 'a')));
        BOOST_REQUIRE((out->result.kind == kind::accepted));
    }
    ticket_process restarted(context, store, "w3");
    BOOST_REQUIRE(run_until(context, [&] { return restarted.version == 2; }));
    BOOST_TEST(restarted.changes == 1U);
}

BOOST_AUTO_TEST_CASE(imported_state_takes_effect_when_the_store_refuses_reads)
{
    submit(one, 1, model);
    store.read_outcome = []
    {
        return call_outcome::refused;
    };
    ticket_process restarted(context, store, "w3");
    restarted.log->import_state(one.log->export_state());
    BOOST_TEST(restarted.version == 1);
    restarted.log->import_state(proto::ConfigSnapshot());
    BOOST_TEST(restarted.version == 1);
}

BOOST_AUTO_TEST_CASE(ticket_is_accepted_after_a_malformed_record)
{
    store.model.append({"tickets", 0, {"\xff\xff junk"}}, common::clock::now());
    store.wake();
    BOOST_TEST((submit(one, 1, model)->result.kind == kind::accepted));
}

BOOST_AUTO_TEST_SUITE_END()
