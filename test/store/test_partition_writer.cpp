#include "store/partition_writer.hpp"
#include "support/event_loop.hpp"
#include "support/fake_store.hpp"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>
#include <string>
#include <vector>

using namespace tanagertrack;
using namespace std::chrono_literals;
using common::result_code;
using test::call_outcome;
using test::run_until;

namespace
{

/// A writer whose first calls have the outcomes given in `outcomes`; later ones
/// succeed.
struct fixture
{
    fixture()
    {
        fake.append_outcome = [this]
        {
            if (outcomes.empty())
                return call_outcome::done;
            const auto outcome = outcomes.front();
            outcomes.pop_front();
            return outcome;
        };
        store::writer_settings settings;
        settings.max_record_bytes = 3000;
        settings.max_append_bytes = 1000;
        settings.max_queued_bytes = 5000;
        settings.retry = {1ms, 2ms};
        writer = std::make_shared<store::partition_writer>(
            context, fake.service(), store::partition_ref{"t", 0}, "p",
            settings);
    }

    ~fixture()
    {
        writer->stop();
        test::run_ready(context);
    }

    store::append_id append(const std::string& record,
                            bool waits_for_store = true)
    {
        return writer->append(
            {record}, waits_for_store,
            [this, record](std::error_code ec, std::uint64_t offset)
            {
                BOOST_TEST(!results.contains(record));
                results[record] = ec;
                offsets[record] = offset;
            });
    }

    std::vector<std::string> stored()
    {
        return fake.model.read("t", 0, 0, 1000000, common::clock::now())
            .records;
    }

    bool run_until_queue_is_empty()
    {
        return run_until(context, [&] { return writer->pending() == 0; });
    }

    boost::asio::io_context context;
    test::fake_store fake{context};
    std::deque<call_outcome> outcomes;
    std::shared_ptr<store::partition_writer> writer;
    std::map<std::string, std::error_code> results;
    std::map<std::string, std::uint64_t> offsets;
};

using texts = std::vector<std::string>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(partition_writer, fixture)

// Guards against a record that the store rejects on every retry, while all
// later ones wait in the queue behind it.
BOOST_AUTO_TEST_CASE(too_large_record_is_rejected_and_does_not_block_later_ones)
{
    const std::string large(3001, 'x');
    append(large);
    BOOST_TEST((results.at(large) == result_code::record_too_large));
    append("a");
    BOOST_TEST(run_until(context, [&] { return results.contains("a"); }));
    BOOST_TEST(!results.at("a"));
}

BOOST_AUTO_TEST_CASE(queued_entries_are_appended_in_one_call_and_in_order)
{
    for (const auto* it : {"a", "b", "c"})
        append(it);
    BOOST_TEST(run_until_queue_is_empty());
    BOOST_TEST((stored() == texts{"a", "b", "c"}));
    BOOST_TEST(offsets["c"] == 2);
    BOOST_TEST(fake.appends == 2);
}

// Guards against duplicate records after the response to an append was lost.
BOOST_AUTO_TEST_CASE(records_are_appended_once_when_the_response_is_lost)
{
    outcomes = {call_outcome::answer_lost, call_outcome::answer_lost};
    append("a");
    append("b");
    BOOST_TEST(run_until_queue_is_empty());
    BOOST_TEST((stored() == texts{"a", "b"}));
    BOOST_TEST(offsets["a"] == 0);
}

// Guards against duplicate records: the store executes a call seconds after the
// writer has given it up and resent it.
BOOST_AUTO_TEST_CASE(records_are_appended_once_when_a_call_is_executed_late)
{
    outcomes = {call_outcome::late};
    append("a");
    BOOST_TEST(run_until_queue_is_empty());
    fake.run_late();
    append("b");
    BOOST_TEST(run_until_queue_is_empty());
    BOOST_TEST((stored() == texts{"a", "b"}));
}

// Guards against an entry that is reported as not appended although the store
// has it.
BOOST_AUTO_TEST_CASE(refused_entry_that_does_not_wait_is_never_appended)
{
    outcomes = {call_outcome::refused};
    append("a", false);
    append("b");
    BOOST_TEST(run_until_queue_is_empty());
    BOOST_TEST((results["a"] == result_code::log_unavailable));
    BOOST_TEST(!results["b"]);
    BOOST_TEST((stored() == texts{"b"}));

    // The sequence numbers continue without a gap.
    append("c");
    BOOST_TEST(run_until_queue_is_empty());
    BOOST_TEST((stored() == texts{"b", "c"}));
}

// Guards against an entry that is reported as not appended although the store
// has it: the first call was executed without a response, the retries are
// refused.
BOOST_AUTO_TEST_CASE(entry_of_unknown_outcome_is_not_reported_as_refused)
{
    outcomes = {call_outcome::answer_lost, call_outcome::refused,
                call_outcome::refused};
    append("a", false);
    BOOST_TEST(run_until_queue_is_empty());
    BOOST_TEST(!results["a"]);
    BOOST_TEST((stored() == texts{"a"}));
}

BOOST_AUTO_TEST_CASE(entry_can_be_withdrawn_before_it_is_sent)
{
    append("a");
    const auto b = append("b");
    BOOST_TEST(writer->withdraw(b));
    BOOST_TEST(run_until_queue_is_empty());
    BOOST_TEST((stored() == texts{"a"}));
    BOOST_TEST(!results.contains("b"));
}

BOOST_AUTO_TEST_CASE(entry_cannot_be_withdrawn_after_it_was_sent)
{
    outcomes = {call_outcome::late};
    const auto a = append("a");
    test::run_ready(context);
    BOOST_TEST(!writer->withdraw(a));
    BOOST_TEST(run_until_queue_is_empty());
    BOOST_TEST((stored() == texts{"a"}));
}

// Guards against an entry that is queued during an outage although it must not
// wait for the store.
BOOST_AUTO_TEST_CASE(entry_that_does_not_wait_fails_at_once_during_an_outage)
{
    outcomes = {call_outcome::refused, call_outcome::refused};
    append("a");
    BOOST_TEST(run_until(context, [&] { return !writer->reachable(); }));
    append("b", false);
    BOOST_TEST((results["b"] == result_code::log_unavailable));
    BOOST_TEST(run_until_queue_is_empty());
    BOOST_TEST((stored() == texts{"a"}));
}

// Guards against a writer that refuses all further entries forever: its queue
// is empty, so that no call is made that could find the store reachable.
BOOST_AUTO_TEST_CASE(next_entry_is_sent_as_a_probe_after_a_refusal)
{
    outcomes = {call_outcome::refused};
    append("a", false);
    BOOST_TEST(run_until(context, [&] { return results.contains("a"); }));
    BOOST_TEST((results["a"] == result_code::log_unavailable));
    BOOST_TEST(run_until(context, [&] { return writer->reachable(); }));
    append("b", false);
    BOOST_TEST(run_until_queue_is_empty());
    BOOST_TEST(!results["b"]);
    BOOST_TEST((stored() == texts{"b"}));
}

// Guards against a writer that can't append any more after the store lost the
// producer's state and rejects its sequence number.
BOOST_AUTO_TEST_CASE(rejected_sequence_number_starts_a_new_epoch)
{
    append("a");
    BOOST_TEST(run_until_queue_is_empty());

    // The store has seen the numbers 1 to 9 and remembers the last 5 of them.
    // So it rejects the writer's number 2 instead of taking it for a resent
    // one.
    fake.model = standin::store_model(standin::store_limits());
    fake.model.append({"t", 0, {"x"}, {}, "p", 1, 1}, common::clock::now());
    fake.model.append({"t", 0, {"y"}, {}, "p", 1, 2}, common::clock::now());
    fake.model.append({"t", 0, {"z"}, {}, "p", 1, 3}, common::clock::now());
    for (int n = 0; n < 6; ++n)
        fake.model.append(
            {"t", 0, {"z"}, {}, "p", 1, static_cast<std::uint64_t>(4 + n)},
            common::clock::now());
    append("b");
    BOOST_TEST(run_until_queue_is_empty());
    BOOST_TEST(!results["b"]);
    BOOST_TEST(stored().back() == "b");
}

// Guards against unlimited use of memory while the store is unreachable.
BOOST_AUTO_TEST_CASE(entries_are_rejected_when_the_queue_is_full)
{
    outcomes.assign(1000, call_outcome::refused);
    for (int n = 0; n < 10; ++n)
        append(std::string(900, static_cast<char>('a' + n)));
    int refused = 0;
    for (const auto& [record, ec] : results)
        refused += ec == result_code::ring_full ? 1 : 0;
    BOOST_TEST(refused == 5);
    append(std::string(2000, 'x'));
    BOOST_TEST((results[std::string(2000, 'x')] == result_code::ring_full));
}

BOOST_AUTO_TEST_SUITE_END()
