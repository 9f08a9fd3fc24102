#include "entry/partition_owner.hpp"
#include "entry/stream_appender.hpp"
#include "entry/stream_follower.hpp"
#include "entry/work_queue.hpp"
#include "fake_log.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace tanagertrack;
using common::result_code;

namespace
{

struct appender_fixture
{
    appender_fixture()
    {
        entry::appender_settings settings;
        settings.stream = "batch-0";
        settings.writer = "w";
        settings.claim_offset = 1;
        settings.max_record_bytes = 2048;
        settings.max_queued_bytes = 4096;
        settings.retry = {std::chrono::milliseconds(1),
                          std::chrono::milliseconds(2)};
        appender = std::make_unique<entry::stream_appender>(
            context, log.service, settings);
    }

    bool push(std::size_t bytes)
    {
        proto::PartitionEntry it;
        it.mutable_job_cancel()->set_job_id(std::string(bytes, 'x'));
        return appender->push(
            std::move(it),
            [this](std::error_code ec, entry::record_position at) {
                results.push_back({ec, at});
            });
    }

    proto::PartitionRecord record(std::size_t i)
    {
        proto::PartitionRecord it;
        BOOST_REQUIRE(it.ParseFromString(log.records("batch-0").at(i)));
        return it;
    }

    struct result
    {
        std::error_code ec;
        entry::record_position position;
    };

    boost::asio::io_context context;
    test::fake_log log{context};
    std::unique_ptr<entry::stream_appender> appender;
    std::vector<result> results;
};

} // namespace

// Guards against a record that is sent again with other bytes or another
// number after its answer was lost, which would count twice.
BOOST_FIXTURE_TEST_CASE(lost_answer_sends_same_bytes, appender_fixture)
{
    log.lose_answers = 2;
    BOOST_TEST(push(10));
    BOOST_TEST(test::run_until(context, [&]
                               { return log.records("batch-0").size() == 1; }));
    BOOST_TEST(push(11));
    BOOST_TEST(test::run_until(context, [&]
                               { return log.records("batch-0").size() == 4; }));
    BOOST_TEST(log.records("batch-0")[1] == log.records("batch-0")[0]);
    BOOST_TEST(log.records("batch-0")[2] == log.records("batch-0")[0]);
    BOOST_TEST(record(3).sequence() == 2u);
    BOOST_TEST(results.empty());
    appender->read_back(1, 1);
    appender->read_back(2, 4);
    BOOST_REQUIRE(results.size() == 2u);
    BOOST_TEST(results[1].position.offset == 4u);
    BOOST_TEST(appender->empty());
}

// Guards against unbounded queues and records over the log's limit.
BOOST_FIXTURE_TEST_CASE(queue_and_records_are_bounded, appender_fixture)
{
    BOOST_TEST(!push(2048));
    int pushed = 0;
    while (push(500))
        ++pushed;
    BOOST_TEST(pushed == 7);
    bool room = false;
    appender->wait_for_room([&] { room = true; });
    BOOST_TEST(!room);
    BOOST_TEST(test::run_until(context, [&]
                               { return log.records("batch-0").size() == 4; }));
    for (const auto& it : log.records("batch-0"))
        BOOST_TEST(it.size() <= 2048u);
    appender->read_back(4, 4);
    BOOST_TEST(room);
    BOOST_TEST(results.size() == 7u);
}

// Guards against claiming "not appended" for a record that was sent.
BOOST_FIXTURE_TEST_CASE(lost_claim_drops_all, appender_fixture)
{
    log.outage = true;
    BOOST_TEST(push(10));
    BOOST_TEST(
        test::run_until(context, [&] { return appender->appends() > 0; }));
    BOOST_TEST(push(10));
    appender->drop_all();
    BOOST_REQUIRE(results.size() == 2u);
    BOOST_TEST(results[0].ec == result_code::log_append_unknown);
    BOOST_TEST(results[1].ec == result_code::log_unavailable);
}

// Guards against records that are skipped silently after expiry, and against
// a follower that gives up during an outage.
BOOST_AUTO_TEST_CASE(follower_reports_gap_and_survives_outage)
{
    boost::asio::io_context context;
    test::fake_log log(context);
    for (int i = 0; i < 5; ++i)
        log.service.append("s", std::to_string(i), [](auto, auto) {});
    log.expire("s", 3);
    std::string text;
    int errors = 0;
    std::uint64_t gap_end = 0;
    entry::follower_settings settings;
    settings.stream = "s";
    settings.retry = {std::chrono::milliseconds(1),
                      std::chrono::milliseconds(2)};
    entry::follower_hooks hooks;
    hooks.on_records = [&](std::vector<services::log_record> records, auto)
    {
        for (const auto& it : records)
            text += it.data;
    };
    hooks.on_gap = [&](auto, std::uint64_t first)
    {
        gap_end = first;
    };
    hooks.on_error = [&](std::error_code)
    {
        if (++errors == 3)
            log.outage = false;
    };
    log.outage = true;
    entry::stream_follower follower(context, log.service, settings, hooks);
    follower.start(1);
    BOOST_TEST(test::run_until(context, [&] { return text == "234"; }));
    BOOST_TEST(errors == 3);
    BOOST_TEST(gap_end == 3u);
    BOOST_TEST(follower.position() == 6u);
}

// Guards against a team with many jobs, or urgent ones, starving another.
BOOST_AUTO_TEST_CASE(queue_is_fair_between_teams)
{
    entry::work_queue queue(entry::queue_order::fair_deadline);
    for (std::uint64_t key = 1; key <= 100; ++key)
        queue.add({key, "many", 1, 2});
    queue.add({200, "one", 5, 0});
    int served = 0;
    for (int i = 0; i < 20; ++i)
        served += queue.take() == 200u ? 1 : 0;
    BOOST_TEST(served == 10);

    // A team that was idle gets no credit for that time.
    queue.add({300, "late", 5, 0});
    served = 0;
    for (int i = 0; i < 30; ++i)
        served += queue.take() == 300u ? 1 : 0;
    // One more than a third: it starts level with the least served team.
    BOOST_TEST(served == 11);
}

// Guards against wrong order within a team, and of the baseline.
BOOST_AUTO_TEST_CASE(queue_orders_jobs_by_due_time)
{
    const entry::queued_job late{1, "t", 10, 900};
    const entry::queued_job soon{2, "t", 20, 500};
    const entry::queued_job never{3, "t", 5, 0};
    for (const auto order :
         {entry::queue_order::fair_deadline, entry::queue_order::fifo})
    {
        entry::work_queue queue(order);
        for (const auto& it : {late, soon, never})
            queue.add(it);
        std::vector<std::uint64_t> keys;
        while (const auto key = queue.take())
        {
            keys.push_back(*key);
            queue.remove(*key);
        }
        const auto expected = order == entry::queue_order::fifo
                                  ? std::vector<std::uint64_t>{3, 1, 2}
                                  : std::vector<std::uint64_t>{2, 1, 3};
        BOOST_TEST(keys == expected, boost::test_tools::per_element());
    }
}

// Guards against checkpoints that follow each other without end, and against a
// checkpoint that leaves out what was queued before it.
BOOST_AUTO_TEST_CASE(checkpoints_are_few_and_complete)
{
    boost::asio::io_context context;
    test::fake_log log(context);
    entry::owner_settings settings;
    settings.entry = "a";
    settings.writer = "a/1";
    settings.checkpoint_records = 20;
    settings.read_wait = std::chrono::milliseconds(50);
    int held = 0;
    entry::partition_owner::hooks hooks;
    hooks.on_held = [&]
    {
        ++held;
    };
    hooks.on_idle = [](const auto&) {
    };
    hooks.on_job_accepted = [](const auto&) {
    };
    hooks.on_job_cancelled = [](const auto&) {
    };
    hooks.on_forgotten = [](const auto&) {
    };
    hooks.on_item_completed = [](const auto&, const auto&) {
    };
    hooks.on_progress = [] {
    };
    entry::partition_owner owner(context, log.service, settings, hooks);
    owner.try_claim(0, 0);
    BOOST_TEST_REQUIRE(test::run_until(context, [&] { return held == 1; }));
    int recorded = 0;
    for (int i = 0; i < 100; ++i)
    {
        proto::PartitionEntry it;
        it.mutable_intent()->set_call_id("call-" + std::to_string(i));
        it.mutable_intent()->set_content_hash("x");
        const bool pushed = owner.appender()->push(
            std::move(it), [&](auto, auto) { ++recorded; });
        BOOST_TEST(pushed);
        BOOST_TEST(test::run_until(context, [&] { return recorded == i + 1; }));
    }
    int checkpoints = 0;
    for (const auto& data : log.records("batch-0"))
    {
        proto::PartitionRecord record;
        BOOST_TEST(record.ParseFromString(data));
        checkpoints += record.entries(0).has_checkpoint() ? 1 : 0;
    }
    BOOST_TEST(checkpoints >= 4);
    BOOST_TEST(checkpoints <= 6);

    settings.entry = "b";
    settings.writer = "b/1";
    entry::partition_owner next(context, log.service, settings, hooks);
    next.try_claim(owner.state().checkpoint_offset(), owner.claim_offset());
    BOOST_TEST(test::run_until(context, [&] { return held == 2; }));
    BOOST_TEST(next.state().call_count() == 100u);
}
