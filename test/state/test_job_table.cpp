#include "state/job_checkpoint.hpp"
#include "state/job_table.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace tanagertrack;
using state::commit_result;
using state::intent_result;

namespace
{

/// A job table, functions that apply records to it, and the results that its
/// hooks receive.
struct fixture
{
    fixture()
    {
        state::job_table_hooks hooks;
        hooks.on_commit = [this](const proto::JobCommit&, commit_result it)
        {
            commits.push_back(it);
        };
        hooks.on_item_intent =
            [this](const proto::ItemIntent&, intent_result it)
        {
            intents.push_back(it);
        };
        hooks.on_call_intent =
            [this](const proto::CallIntent&, intent_result it)
        {
            intents.push_back(it);
        };
        hooks.on_call_completed = [this](const std::string& it)
        {
            completed_calls.push_back(it);
        };
        hooks.on_reassigned =
            [this](const state::batch_job&, const std::string&)
        {
            ++reassignments;
        };
        table = std::make_unique<state::job_table>(std::move(hooks));
    }

    void apply(const proto::JobRecord& record)
    {
        table->apply(offset++, record);
    }

    void add_part(const std::string& job, const std::string& intake,
                  std::uint32_t first, const std::vector<std::uint32_t>& tokens)
    {
        proto::JobRecord record;
        auto& part = *record.mutable_part();
        part.set_job(job);
        part.set_intake(intake);
        part.set_first_item(first);
        for (const auto n : tokens)
        {
            auto& item = *part.add_items();
            item.set_id(job + std::to_string(first++));
            item.set_tokens(n);
        }
        apply(record);
    }

    commit_result commit(const std::string& job, const std::string& intake,
                         std::uint32_t items, std::uint64_t limit = 0,
                         const std::string& hash = {})
    {
        proto::JobRecord record;
        auto& it = *record.mutable_commit();
        it.set_job(job);
        it.set_intake(intake);
        it.set_route("r");
        it.set_host("h");
        it.set_configuration_version(configuration_version);
        it.set_member("m1");
        it.set_item_count(items);
        it.set_max_waiting_tokens(limit);
        it.set_content_hash(hash);
        apply(record);
        return commits.back();
    }

    void add_job(const std::string& job,
                 const std::vector<std::uint32_t>& tokens)
    {
        add_part(job, "n", 0, tokens);
        BOOST_REQUIRE(
            (commit(job, "n", static_cast<std::uint32_t>(tokens.size())) ==
             commit_result::accepted));
    }

    void end_item(const std::string& job, std::uint32_t item,
                  std::uint64_t text)
    {
        proto::JobRecord record;
        auto& results = *record.mutable_results();
        results.set_job(job);
        auto& it = *results.add_results();
        it.set_item(item);
        it.set_state(proto::ITEM_DONE);
        it.set_text_offset(text);
        apply(record);
    }

    /// Loads the state of the table into `to` by way of a checkpoint with many
    /// parts.
    void load_from_checkpoint(state::job_table& to) const
    {
        state::checkpoint_reader reader;
        for (const auto& it : state::make_checkpoint(*table, 9, "c", 1))
            reader.add_part(it.checkpoint());
        BOOST_REQUIRE(reader.newest().has_value());
        load_checkpoint(to, *reader.newest());
    }

    void cancel_job(const std::string& job)
    {
        proto::JobRecord record;
        record.mutable_end()->set_job(job);
        apply(record);
    }

    intent_result add_item_intent(const std::string& job, std::uint32_t item,
                                  const std::string& member)
    {
        proto::JobRecord record;
        auto& it = *record.mutable_item_intent();
        it.set_job(job);
        it.set_item(item);
        it.set_member(member);
        apply(record);
        return intents.back();
    }

    intent_result add_call_intent(const std::string& attempt,
                                  const std::string& hash = "h")
    {
        proto::JobRecord record;
        auto& it = *record.mutable_call_intent();
        it.set_call("c");
        it.set_attempt(attempt);
        it.set_content_hash(hash);
        apply(record);
        return intents.back();
    }

    void forget_call(const std::string& attempt)
    {
        proto::JobRecord record;
        record.mutable_call_forgotten()->set_call("c");
        record.mutable_call_forgotten()->set_attempt(attempt);
        apply(record);
    }

    void start_member(const std::string& member, const std::string& host)
    {
        proto::JobRecord record;
        record.mutable_member_started()->set_member(member);
        record.mutable_member_started()->set_host(host);
        apply(record);
    }

    std::unique_ptr<state::job_table> table;
    std::uint64_t offset = 0;

    /// Version in the commits that follow.
    std::uint64_t configuration_version = 0;
    std::vector<commit_result> commits;
    std::vector<intent_result> intents;
    std::vector<std::string> completed_calls;
    unsigned reassignments = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(job_table, fixture)

BOOST_AUTO_TEST_CASE(job_has_the_items_of_its_parts_in_order_after_the_commit)
{
    add_part("j", "n", 0, {1, 2});
    add_part("j", "n", 2, {3});
    BOOST_TEST(table->find("j") == nullptr);
    BOOST_TEST((commit("j", "n", 3) == commit_result::accepted));
    const auto* job = table->find("j");
    BOOST_REQUIRE(job != nullptr);
    BOOST_TEST(job->items.size() == 3);
    BOOST_TEST(job->items[2].tokens == 3);
    BOOST_TEST(job->parts.size() == 2);
    BOOST_TEST(job->find_item("j2").value() == 2);
    BOOST_TEST(!job->find_item("other").has_value());
    BOOST_TEST(table->waiting_tokens("r") == 6);
}

// Guards against a job that lacks some of its items, because the store rejected
// one of the appends of its submission.
BOOST_AUTO_TEST_CASE(commit_is_incomplete_when_parts_are_missing_or_repeated)
{
    add_part("j", "n", 0, {1});
    add_part("j", "n", 2, {3});
    BOOST_TEST((commit("j", "n", 3) == commit_result::incomplete));
    BOOST_TEST(table->find("j") == nullptr);

    // A part that is read twice does not count as the missing one.
    add_part("j", "n2", 0, {1});
    add_part("j", "n2", 0, {1});
    BOOST_TEST((commit("j", "n2", 2) == commit_result::incomplete));
}

// Guards against a job with items of two submissions, when a caller sends the
// job again while its first submission is still being read.
BOOST_AUTO_TEST_CASE(parts_of_two_submissions_of_one_job_are_not_mixed)
{
    add_part("j", "n1", 0, {1});
    add_part("j", "n2", 0, {2, 3});
    BOOST_TEST((commit("j", "n1", 1) == commit_result::accepted));
    BOOST_TEST((commit("j", "n2", 2) == commit_result::repeated));
    BOOST_TEST(table->find("j")->items.size() == 1);
    BOOST_TEST(table->waiting_tokens("r") == 1);
}

BOOST_AUTO_TEST_CASE(
    commit_of_an_accepted_job_is_repeated_or_conflict_by_content)
{
    add_part("j", "n1", 0, {1});
    BOOST_TEST((commit("j", "n1", 1, 0, "h1") == commit_result::accepted));
    BOOST_TEST((commit("j", "n2", 1, 0, "h1") == commit_result::repeated));
    BOOST_TEST((commit("j", "n3", 1, 0, "h2") == commit_result::conflict));
}

BOOST_AUTO_TEST_CASE(
    commit_is_over_limit_when_waiting_tokens_would_exceed_the_limit)
{
    add_part("j", "n", 0, {40, 20});
    BOOST_TEST((commit("j", "n", 2, 60) == commit_result::accepted));
    add_part("k", "n", 0, {1});
    BOOST_TEST((commit("k", "n", 1, 60) == commit_result::over_limit));
    BOOST_TEST(table->find("k") == nullptr);

    // The tokens of an ended item are available again.
    end_item("j", 1, 5);
    BOOST_TEST(table->waiting_tokens("r") == 40);
    add_part("k", "n", 0, {20});
    BOOST_TEST((commit("k", "n", 1, 60) == commit_result::accepted));
}

BOOST_AUTO_TEST_CASE(cancelled_job_releases_its_tokens_once)
{
    add_job("j", {10, 20});
    add_job("k", {5});
    end_item("j", 0, 1);
    cancel_job("j");
    BOOST_TEST(table->waiting_tokens("r") == 5);
    cancel_job("j");
    end_item("j", 1, 2);
    BOOST_TEST(table->waiting_tokens("r") == 5);

    // An item that ended after the job was cancelled has a result.
    BOOST_TEST(table->find("j")->results.size() == 2);
}

// Guards against a cancelled job whose counts change after a caller was told of
// them, also at a process that starts from a checkpoint.
BOOST_AUTO_TEST_CASE(ends_after_a_cancellation_do_not_count)
{
    add_job("j", {10, 20});
    BOOST_TEST(table->find("j")->counted_results() == 0);
    end_item("j", 0, 1);
    BOOST_TEST(table->find("j")->counted_results() == 1);
    cancel_job("j");
    end_item("j", 1, 2);
    cancel_job("j");
    BOOST_TEST(table->find("j")->counted_results() == 1);

    state::job_table loaded{state::job_table_hooks()};
    load_from_checkpoint(loaded);
    BOOST_REQUIRE(loaded.find("j") != nullptr);
    BOOST_TEST(loaded.find("j")->results.size() == 2);
    BOOST_TEST(loaded.find("j")->counted_results() == 1);
}

// Guards against a job that loses its route, or the version of the
// configuration that has it, at a process that starts from a checkpoint.
BOOST_AUTO_TEST_CASE(checkpoint_keeps_the_route_of_a_job)
{
    configuration_version = 7;
    add_job("j", {10, 20});
    state::job_table loaded{state::job_table_hooks()};
    load_from_checkpoint(loaded);
    const auto* job = loaded.find("j");
    BOOST_REQUIRE(job != nullptr);
    BOOST_TEST(job->route == "r");
    BOOST_TEST(job->host == "h");
    BOOST_TEST(job->configuration_version == 7U);
    BOOST_TEST(loaded.waiting_tokens("r") == 30U);
}

// Guards against a result whose position changes, or whose text is replaced,
// after a caller has read it.
BOOST_AUTO_TEST_CASE(later_ends_of_an_item_are_ignored)
{
    add_job("j", {1, 1});
    end_item("j", 1, 7);
    end_item("j", 1, 8);
    end_item("j", 0, 9);
    const auto* job = table->find("j");
    BOOST_TEST((job->results == std::vector<std::uint32_t>{1, 0}));
    BOOST_TEST(job->items[1].text.offset == 7);
    BOOST_TEST(!job->is_open());
}

BOOST_AUTO_TEST_CASE(records_of_unknown_jobs_and_items_are_skipped)
{
    end_item("j", 0, 1);
    cancel_job("j");
    add_job("j", {1});
    end_item("j", 1, 1);
    BOOST_TEST(table->find("j")->results.empty());
    apply(proto::JobRecord());
    BOOST_TEST(table->size() == 1);
}

// Guards against two runners of one job: two processes may both find that its
// runner has departed, and each append a record to reassign the job.
BOOST_AUTO_TEST_CASE(job_is_reassigned_only_from_its_current_runner)
{
    add_job("j", {1});
    const auto reassign = [this](const char* from, const char* to)
    {
        proto::JobRecord record;
        auto& it = *record.mutable_taken();
        it.set_job("j");
        it.set_from(from);
        it.set_member(to);
        apply(record);
    };
    reassign("m1", "m2");
    reassign("m1", "m3");
    BOOST_TEST(table->find("j")->runner == "m2");
    BOOST_TEST(reassignments == 1);
}

BOOST_AUTO_TEST_CASE(progress_is_removed_when_the_item_ends)
{
    add_job("j", {1});
    proto::JobRecord record;
    auto& it = *record.mutable_progress();
    it.set_job("j");
    it.set_item(0);
    it.set_last_event(12);
    it.set_failures(1);
    apply(record);
    BOOST_REQUIRE(table->find("j")->progress.contains(0));
    BOOST_TEST(table->find("j")->progress.at(0).last_event == 12);
    end_item("j", 0, 1);
    BOOST_TEST(table->find("j")->progress.empty());
    apply(record);
    BOOST_TEST(table->find("j")->progress.empty());
}

// Guards against a second run of an item that must not run more than once.
BOOST_AUTO_TEST_CASE(only_the_first_intent_of_an_open_item_is_granted)
{
    add_job("j", {1});
    BOOST_TEST((add_item_intent("j", 0, "m1") == intent_result::first));
    BOOST_TEST((add_item_intent("j", 0, "m2") == intent_result::repeated));
    BOOST_TEST((add_item_intent("j", 0, "m1") == intent_result::repeated));
    end_item("j", 0, 1);
    BOOST_TEST((add_item_intent("j", 0, "m1") == intent_result::no_open_item));
    BOOST_TEST((add_item_intent("k", 0, "m1") == intent_result::no_open_item));
}

BOOST_AUTO_TEST_CASE(only_the_first_intent_of_a_call_is_granted)
{
    BOOST_TEST((add_call_intent("a1") == intent_result::first));
    BOOST_TEST((add_call_intent("a2") == intent_result::repeated));
    BOOST_TEST((add_call_intent("a3", "other") == intent_result::conflict));
}

// Guards against a second run of a call: only the request that holds the intent
// knows that the call did not run, and only while there is no outcome.
BOOST_AUTO_TEST_CASE(
    intent_of_a_call_is_undone_only_by_its_own_request_before_the_outcome)
{
    add_call_intent("a1");
    forget_call("a2");
    BOOST_TEST((add_call_intent("a3") == intent_result::repeated));
    forget_call("a1");
    BOOST_TEST((completed_calls == std::vector<std::string>{"c"}));
    BOOST_TEST((add_call_intent("a4") == intent_result::first));

    proto::JobRecord outcome;
    outcome.mutable_call_outcome()->set_call("c");
    apply(outcome);
    forget_call("a4");
    BOOST_TEST((add_call_intent("a5") == intent_result::repeated));
    BOOST_TEST(table->find_call("c")->outcome_at.has_value());
}

BOOST_AUTO_TEST_CASE(
    process_departs_when_its_host_starts_another_one_or_when_it_stops)
{
    start_member("m1", "h1");
    start_member("m2", "h2");
    start_member("m3", "h1");
    BOOST_TEST(table->find_member("m1")->departed);
    BOOST_TEST(!table->find_member("m2")->departed);
    BOOST_TEST(!table->find_member("m3")->departed);
    proto::JobRecord record;
    record.mutable_member_stopped()->set_member("m2");
    apply(record);
    BOOST_TEST(table->find_member("m2")->departed);
    unsigned live = 0;
    table->for_each_member([&live](const auto&) { ++live; });
    BOOST_TEST(live == 1);
}

// Guards against memory that grows with abandoned submissions.
BOOST_AUTO_TEST_CASE(oldest_submission_is_dropped_when_too_many_have_no_commit)
{
    constexpr int many = 5000;
    add_part("j", "first", 0, {1});
    for (int n = 0; n < many; ++n)
        add_part("j", std::to_string(n), 0, {1});
    BOOST_TEST((commit("j", "first", 1) == commit_result::incomplete));
    BOOST_TEST(
        (commit("j", std::to_string(many - 1), 1) == commit_result::accepted));
}

BOOST_AUTO_TEST_CASE(forgotten_job_releases_its_tokens)
{
    add_job("j", {10});
    add_job("k", {5});
    table->forget("j");
    BOOST_TEST(table->find("j") == nullptr);
    BOOST_TEST(table->waiting_tokens("r") == 5);
    BOOST_TEST(table->size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
