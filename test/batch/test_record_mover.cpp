#include "batch/batch_fixture.hpp"
#include "batch/checkpointer.hpp"
#include "batch/record_mover.hpp"

#include <boost/test/unit_test.hpp>

using namespace tanagertrack;
using namespace tanagertrack::test;
using namespace std::chrono_literals;

namespace
{

/// A process with a record mover and a checkpointer, for a store that keeps
/// records for a short time.
struct fixture : batch_cluster
{
    static constexpr std::chrono::milliseconds retention{400};

    fixture()
    {
        server.make_answer = make_events(2);
        one.add_target("t1", server);
        mover.start();
        checkpointer.start();
        BOOST_REQUIRE(one.until([this] { return one.jobs.is_current(); }));
    }

    ~fixture()
    {
        // Pending calls must end while the mover exists.
        one.jobs.stop();
        run_ready(context);
    }

    /// Waits until `moves` more jobs or outcomes are moved and a checkpoint
    /// after that is complete, then drops all records from before the moves.
    void expire_records(std::size_t moves)
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
    batch::checkpointer checkpointer{context, one.jobs, retention,
                                     []
                                     {
                                         return true;
                                     }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(batch_record_mover, fixture)

// Guards against results that are lost when the store drops their records.
BOOST_AUTO_TEST_CASE(results_stay_readable_after_their_records_expire)
{
    BOOST_TEST(one.accept("j", {one.make_item("a"), one.make_item("b")}));
    BOOST_REQUIRE(one.until([&] { return one.finished("j"); }));
    expire_records(1);
    batch_process late(*this, "m2");
    BOOST_REQUIRE(late.until([&] { return late.jobs.is_current(); }));
    BOOST_REQUIRE(late.job("j") != nullptr);
    std::optional<batch::results_page> page;
    late.results.read("j", 0, 1000000, 0ms, common::clock::now(),
                      [&](const batch::results_page& it) { page = it; });
    BOOST_REQUIRE(late.until([&] { return page.has_value(); }));
    BOOST_TEST(!page->ec);
    BOOST_REQUIRE(page->results.size() == 2);
    BOOST_TEST(page->results[0].text.item() == "a");
    BOOST_TEST(!page->results[0].text.text().empty());
}

// Guards against one job that is moved again and again, while the records of
// the other jobs expire.
BOOST_AUTO_TEST_CASE(records_of_every_finished_job_are_moved)
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

// Guards against accepted items whose request bodies are lost when the store
// drops their records.
BOOST_AUTO_TEST_CASE(
    bodies_of_open_items_stay_readable_after_their_records_expire)
{
    one.targets.remove("t1");
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    expire_records(1);
    batch_process late(*this, "m2");
    BOOST_REQUIRE(late.until([&] { return late.jobs.is_current(); }));
    std::optional<std::string> body;
    late.results.read_body("j", "a",
                           [&](std::error_code ec, const std::string& it)
                           {
                               BOOST_TEST(!ec);
                               body = it;
                           });
    BOOST_REQUIRE(late.until([&] { return body.has_value(); }));
    BOOST_TEST(*body == "body of a");
}

// Guards against a call that runs a second time because the record of the first
// outcome has expired.
BOOST_AUTO_TEST_CASE(call_is_answered_after_the_record_of_its_outcome_expires)
{
    std::optional<batch::call_decision> decision;
    const auto request_run =
        [&](batch_process& process, const std::string& attempt)
    {
        decision.reset();
        process.calls.request_run("c", "h", attempt, common::clock::now() + 10s,
                                  [&](const batch::call_decision& it)
                                  { decision = it; });
        BOOST_REQUIRE(process.until([&] { return decision.has_value(); }));
    };
    request_run(one, "x");
    BOOST_TEST((decision->result == batch::call_decision::outcome::run));
    bool recorded = false;
    one.calls.report("c", {200, "text/plain", "answer"},
                     [&](std::error_code ec) { recorded = !ec; });
    BOOST_REQUIRE(one.until([&] { return recorded; }));
    expire_records(1);
    batch_process late(*this, "m2");
    BOOST_REQUIRE(late.until([&] { return late.jobs.is_current(); }));
    request_run(late, "y");
    BOOST_TEST((decision->result == batch::call_decision::outcome::answered));
    BOOST_TEST(decision->answer.body == "answer");
}

// Guards against a reader that starts again and again from a checkpoint,
// because the records that follow it have expired as well.
BOOST_AUTO_TEST_CASE(checkpoint_is_not_used_when_records_after_it_have_expired)
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

// Guards against checkpoints that queue up while the store refuses appends.
BOOST_AUTO_TEST_CASE(one_checkpoint_is_appended_after_an_outage_of_the_store)
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

// Guards against a moved copy of earlier progress that replaces later progress.
BOOST_AUTO_TEST_CASE(moved_progress_does_not_replace_later_progress)
{
    one.targets.remove("t1");
    BOOST_TEST(one.accept("j", {one.make_item("a")}));
    const auto append_progress =
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
    append_progress(20, 7, false);
    append_progress(10, 8, true);
    BOOST_REQUIRE(one.until([&] { return !one.job("j")->progress.empty(); }));
    run_for(context, 20ms);
    BOOST_TEST(one.job("j")->progress.at(0).text.offset == 7);
    append_progress(20, 9, true);
    BOOST_TEST(one.until(
        [&] { return one.job("j")->progress.at(0).text.offset == 9; }));
}

BOOST_AUTO_TEST_SUITE_END()
