#include "batch/batch_fixture.hpp"
#include "batch/checkpointer.hpp"
#include "batch/record_mover.hpp"

#include <boost/test/unit_test.hpp>

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;

namespace
{

/// A process that keeps what it knows in a store with a short retention.
struct fixture : batch_world
{
    static constexpr std::chrono::milliseconds retention{400};

    fixture()
    {
        server.make_answer = make_events(2);
        one.add_target("t1", server);
        mover.start();
        saver.start();
        BOOST_REQUIRE(one.until([this] { return one.jobs.is_current(); }));
    }

    ~fixture()
    {
        // Calls under way end while the mover is there.
        one.jobs.stop();
        run_ready(context);
    }

    /// Waits for a move that begins after all records so far, and for a
    /// checkpoint of it, then drops all records that came before the move.
    void outlive_records(std::size_t moves)
    {
        const auto jobs_end = store.model.end("jobs", 0);
        const auto texts_end = store.model.end("texts", 0);
        const auto moved = mover.moved() + moves;
        BOOST_REQUIRE(one.until([&] { return mover.moved() >= moved; }));
        const auto at = common::clock::now();
        BOOST_REQUIRE(
            one.until([&] { return one.jobs.last_checkpoint() > at; }));
        store.model.trim("jobs", 0, jobs_end);
        store.model.trim("texts", 0, texts_end);
    }

    scripted_server& server = add_server();
    batch_process one{*this};
    batch::record_mover mover{context, one.jobs, one.texts, retention,
                              [](const std::string&)
                              {
                                  return true;
                              }};
    batch::checkpointer saver{context, one.jobs, retention,
                              []
                              {
                                  return true;
                              }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(batch_record_mover, fixture)

// Guards against results that are lost with the records of the store.
BOOST_AUTO_TEST_CASE(results_outlast_their_records)
{
    BOOST_TEST(one.accept("j", {one.make_item("a"), one.make_item("b")}));
    BOOST_REQUIRE(one.until([&] { return one.finished("j"); }));
    outlive_records(1);
    batch_process late(*this, "m2");
    BOOST_REQUIRE(late.until([&] { return late.jobs.is_current(); }));
    BOOST_REQUIRE(late.job("j") != nullptr);
    std::optional<batch::results_page> page;
    late.reads.read("j", 0, 1000000, 0ms,
                    [&](const batch::results_page& it) { page = it; });
    BOOST_REQUIRE(late.until([&] { return page.has_value(); }));
    BOOST_TEST(!page->ec);
    BOOST_REQUIRE(page->results.size() == 2);
    BOOST_TEST(page->results[0].text.item() == "a");
    BOOST_TEST(!page->results[0].text.text().empty());
}

// Guards against one job that is moved again and again while the records of the
// others expire.
BOOST_AUTO_TEST_CASE(every_job_is_moved_in_its_turn)
{
    for (const auto* job : {"j", "k", "l"})
    {
        BOOST_TEST(one.accept(job, {one.make_item("a")}));
        BOOST_REQUIRE(one.until([&] { return one.finished(job); }));
    }
    const auto texts_end = store.model.end("texts", 0);
    const auto is_moved = [&](const char* job)
    {
        return one.job(job)->items[0].text.offset >= texts_end;
    };
    for (const auto* job : {"j", "k", "l"})
        BOOST_TEST(one.until([&] { return is_moved(job); }));
}

// Guards against accepted items whose requests are lost with their records.
BOOST_AUTO_TEST_CASE(open_items_outlast_their_records)
{
    one.set.remove("t1");
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    outlive_records(1);
    batch_process late(*this, "m2");
    BOOST_REQUIRE(late.until([&] { return late.jobs.is_current(); }));
    std::optional<std::string> body;
    late.reads.read_body("j", "a",
                         [&](std::error_code ec, const std::string& it)
                         {
                             BOOST_TEST(!ec);
                             body = it;
                         });
    BOOST_REQUIRE(late.until([&] { return body.has_value(); }));
    BOOST_TEST(*body == "body of a");
}

// Guards against a call that runs a second time because the outcome of the
// first has expired.
BOOST_AUTO_TEST_CASE(outcome_of_a_call_outlasts_its_record)
{
    std::optional<batch::call_permit> permit;
    const auto ask = [&](batch_process& where, const std::string& attempt)
    {
        permit.reset();
        where.calls.ask("c", "h", attempt, common::clock::now() + 10s,
                        [&](const batch::call_permit& it) { permit = it; });
        BOOST_REQUIRE(where.until([&] { return permit.has_value(); }));
    };
    ask(one, "x");
    BOOST_TEST((permit->what == batch::call_permit::kind::run));
    bool recorded = false;
    one.calls.report("c", {200, "text/plain", "answer"},
                     [&](std::error_code ec) { recorded = !ec; });
    BOOST_REQUIRE(one.until([&] { return recorded; }));
    outlive_records(1);
    batch_process late(*this, "m2");
    BOOST_REQUIRE(late.until([&] { return late.jobs.is_current(); }));
    ask(late, "y");
    BOOST_TEST((permit->what == batch::call_permit::kind::answered));
    BOOST_TEST(permit->answer.body == "answer");
}

// Guards against a reader that starts again and again from a checkpoint whose
// following records have expired as well.
BOOST_AUTO_TEST_CASE(checkpoint_without_its_following_records_is_not_used)
{
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    const auto as_of = store.model.end("jobs", 0);
    proto::JobRecord record;
    auto& part = *record.mutable_checkpoint();
    part.set_id("c");
    part.set_as_of(as_of - 1);
    part.set_count(1);
    append(record);
    store.model.trim("jobs", 0, as_of);
    batch_process late(*this, "m2");
    BOOST_TEST(late.until([&] { return late.jobs.is_current(); }));
}

// Guards against checkpoints that pile up while the store is away.
BOOST_AUTO_TEST_CASE(one_checkpoint_waits_for_the_store)
{
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    BOOST_REQUIRE(one.until([&] { return one.finished("j"); }));
    store.append_outcome = []
    {
        return call_outcome::refused;
    };
    const auto before = store.model.end("jobs", 0);
    run_for(context, retention * 2);
    store.append_outcome = []
    {
        return call_outcome::done;
    };
    const auto at = common::clock::now();
    BOOST_REQUIRE(one.until([&] { return one.jobs.last_checkpoint() > at; }));
    run_ready(context);
    unsigned checkpoints = 0;
    for (const auto& it :
         store.model.read("jobs", 0, before, 1000000, common::clock::now())
             .records)
    {
        proto::JobRecord record;
        BOOST_TEST(record.ParseFromString(it));
        checkpoints += record.has_checkpoint() ? 1 : 0;
    }
    BOOST_TEST(checkpoints == 1);
}

// Guards against a text of earlier progress that takes the place of a later
// one.
BOOST_AUTO_TEST_CASE(moved_progress_does_not_replace_later_progress)
{
    one.set.remove("t1");
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    const auto tell =
        [&](std::uint64_t last_event, std::uint64_t offset, bool is_move)
    {
        proto::JobRecord record;
        auto& it = is_move ? *record.mutable_moved()->add_progress()
                           : *record.mutable_progress();
        record.has_moved() ? record.mutable_moved()->set_job("j")
                           : it.set_job("j");
        it.set_last_event(last_event);
        it.set_text_offset(offset);
        append(record);
    };
    tell(20, 7, false);
    tell(10, 8, true);
    BOOST_REQUIRE(one.until([&] { return !one.job("j")->progress.empty(); }));
    run_for(context, 20ms);
    BOOST_TEST(one.job("j")->progress.at(0).text.offset == 7);
    tell(20, 9, true);
    BOOST_TEST(one.until(
        [&] { return one.job("j")->progress.at(0).text.offset == 9; }));
}

BOOST_AUTO_TEST_SUITE_END()
