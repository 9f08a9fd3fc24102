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

/// A writer whose calls meet the fates given, and then succeed.
struct fixture
{
    fixture()
    {
        fake.append_outcome = [this]
        {
            if (fates.empty())
                return call_outcome::done;
            const auto fate = fates.front();
            fates.pop_front();
            return fate;
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

    store::write_ticket append(const std::string& record, bool waits = true)
    {
        return writer->append(
            {record}, waits,
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

    bool settled()
    {
        return run_until(context, [&] { return writer->pending() == 0; });
    }

    boost::asio::io_context context;
    test::fake_store fake{context};
    std::deque<call_outcome> fates;
    std::shared_ptr<store::partition_writer> writer;
    std::map<std::string, std::error_code> results;
    std::map<std::string, std::uint64_t> offsets;
};

using texts = std::vector<std::string>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(partition_writer, fixture)

// Guards against a record that the store refuses again and again, while all
// later ones wait behind it.
BOOST_AUTO_TEST_CASE(too_large_record_is_refused_and_holds_nobody_up)
{
    const std::string large(3001, 'x');
    append(large);
    BOOST_TEST((results.at(large) == result_code::record_too_large));
    append("a");
    BOOST_TEST(run_until(context, [&] { return results.contains("a"); }));
    BOOST_TEST(!results.at("a"));
}

BOOST_AUTO_TEST_CASE(entries_share_a_call_and_keep_their_order)
{
    for (const auto* it : {"a", "b", "c"})
        append(it);
    BOOST_TEST(settled());
    BOOST_TEST((stored() == texts{"a", "b", "c"}));
    BOOST_TEST(offsets["c"] == 2);
    BOOST_TEST(fake.appends == 2);
}

// Guards against records that stand twice because an answer was lost.
BOOST_AUTO_TEST_CASE(lost_answer_appends_once)
{
    fates = {call_outcome::answer_lost, call_outcome::answer_lost};
    append("a");
    append("b");
    BOOST_TEST(settled());
    BOOST_TEST((stored() == texts{"a", "b"}));
    BOOST_TEST(offsets["a"] == 0);
}

// Guards against records that stand twice because a call was carried out
// seconds after it was given up.
BOOST_AUTO_TEST_CASE(late_call_appends_once)
{
    fates = {call_outcome::late};
    append("a");
    BOOST_TEST(settled());
    fake.run_late();
    append("b");
    BOOST_TEST(settled());
    BOOST_TEST((stored() == texts{"a", "b"}));
}

// Guards against a "not run" for an entry that the store has after all.
BOOST_AUTO_TEST_CASE(refused_entry_is_never_appended)
{
    fates = {call_outcome::refused};
    append("a", false);
    append("b");
    BOOST_TEST(settled());
    BOOST_TEST((results["a"] == result_code::log_unavailable));
    BOOST_TEST(!results["b"]);
    BOOST_TEST((stored() == texts{"b"}));

    // Numbers go on without a gap.
    append("c");
    BOOST_TEST(settled());
    BOOST_TEST((stored() == texts{"b", "c"}));
}

// A refusal after a call without an answer says nothing of that call.
BOOST_AUTO_TEST_CASE(unknown_entry_is_not_reported_as_refused)
{
    fates = {call_outcome::answer_lost, call_outcome::refused,
             call_outcome::refused};
    append("a", false);
    BOOST_TEST(settled());
    BOOST_TEST(!results["a"]);
    BOOST_TEST((stored() == texts{"a"}));
}

BOOST_AUTO_TEST_CASE(entry_can_be_withdrawn_before_it_is_sent)
{
    append("a");
    const auto b = append("b");
    BOOST_TEST(writer->withdraw(b));
    BOOST_TEST(settled());
    BOOST_TEST((stored() == texts{"a"}));
    BOOST_TEST(!results.contains("b"));
}

BOOST_AUTO_TEST_CASE(entry_that_was_sent_is_not_withdrawn)
{
    fates = {call_outcome::late};
    const auto a = append("a");
    test::run_ready(context);
    BOOST_TEST(!writer->withdraw(a));
    BOOST_TEST(settled());
    BOOST_TEST((stored() == texts{"a"}));
}

// While the store does not answer, who does not wait is told at once.
BOOST_AUTO_TEST_CASE(unreachable_store_refuses_at_once)
{
    fates = {call_outcome::refused, call_outcome::refused};
    append("a");
    BOOST_TEST(run_until(context, [&] { return !writer->reachable(); }));
    append("b", false);
    BOOST_TEST((results["b"] == result_code::log_unavailable));
    BOOST_TEST(settled());
    BOOST_TEST((stored() == texts{"a"}));
}

// Guards against a writer that refuses all entries for ever because nothing is
// left that it would try.
BOOST_AUTO_TEST_CASE(refused_writer_tries_again_with_the_next_entry)
{
    fates = {call_outcome::refused};
    append("a", false);
    BOOST_TEST(run_until(context, [&] { return results.contains("a"); }));
    BOOST_TEST((results["a"] == result_code::log_unavailable));
    BOOST_TEST(run_until(context, [&] { return writer->reachable(); }));
    append("b", false);
    BOOST_TEST(settled());
    BOOST_TEST(!results["b"]);
    BOOST_TEST((stored() == texts{"b"}));
}

// A store that lost the producer's state asks for another number.
BOOST_AUTO_TEST_CASE(unknown_sequence_starts_an_epoch)
{
    append("a");
    BOOST_TEST(settled());
    fake.model = standin::store_model(standin::store_limits());
    fake.model.append({"t", 0, {"x"}, {}, "p", 1, 1}, common::clock::now());
    fake.model.append({"t", 0, {"y"}, {}, "p", 1, 2}, common::clock::now());
    fake.model.append({"t", 0, {"z"}, {}, "p", 1, 3}, common::clock::now());
    for (int n = 0; n < 6; ++n)
        fake.model.append(
            {"t", 0, {"z"}, {}, "p", 1, static_cast<std::uint64_t>(4 + n)},
            common::clock::now());
    append("b");
    BOOST_TEST(settled());
    BOOST_TEST(!results["b"]);
    BOOST_TEST(stored().back() == "b");
}

// Memory is bounded while the store is away.
BOOST_AUTO_TEST_CASE(full_queue_refuses)
{
    fates.assign(1000, call_outcome::refused);
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
