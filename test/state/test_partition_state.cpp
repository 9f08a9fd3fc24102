#include "state/partition_state.hpp"

#include "records.hpp"

#include <boost/test/unit_test.hpp>
#include <google/protobuf/stubs/logging.h>

#include <random>

using namespace tanagertrack;
using namespace tanagertrack::state;
using namespace tanagertrack::test;

namespace
{

/// A partition that "a" claimed at offset 1, with counted events.
struct claimed_partition
{
    claimed_partition()
    {
        hooks.on_job_refused =
            [this](const proto::JobCommit&, commit_refusal reason)
        {
            refusal = reason;
        };
        hooks.on_job_cancelled = [this](const job&)
        {
            ++cancelled;
        };
        hooks.on_item_completed = [this](const job&, const proto::ItemResult&)
        {
            ++completed;
        };
        hooks.on_intent = [this](const proto::Intent&, intent_verdict verdict)
        {
            intent = verdict;
        };
        hooks.on_outcome = [this](const proto::Outcome&)
        {
            ++outcomes;
        };
        append(claim_record("a", 0));
    }

    record_verdict append(const proto::PartitionRecord& value)
    {
        return state.apply(state.next_offset(), value, hooks);
    }

    /// Appends entries under the first claim with the next sequence.
    template<typename... Entries>
    record_verdict write(Entries... entries)
    {
        return append(record("a", 1, ++sequence, std::move(entries)...));
    }

    void accept(const std::string& id, std::uint32_t count)
    {
        write(chunk_entry(id, "n", 0, static_cast<int>(count)),
              commit_entry(id, "n", count));
        BOOST_REQUIRE(state.find_job(id) != nullptr);
    }

    partition_state state;
    partition_hooks hooks;
    std::uint64_t sequence = 0;
    std::optional<commit_refusal> refusal;
    std::optional<intent_verdict> intent;
    int cancelled = 0;
    int completed = 0;
    int outcomes = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(partition, claimed_partition)

// Guards against two holders after a race for the same partition.
BOOST_AUTO_TEST_CASE(only_a_claim_that_replaces_the_current_one_is_valid)
{
    BOOST_CHECK(append(claim_record("b", 0)) == record_verdict::void_claim);
    BOOST_CHECK(append(claim_record("b", 2)) == record_verdict::void_claim);
    BOOST_TEST(state.claim().writer == "a");
    BOOST_CHECK(append(claim_record("b", 1)) == record_verdict::valid);
    BOOST_TEST(state.claim().offset == 4);
    // The resend of a claim is void.
    BOOST_CHECK(append(claim_record("b", 1)) == record_verdict::void_claim);
    BOOST_TEST(state.claim().offset == 4);
}

// Guards against effects of a holder that was paused beyond its lease.
BOOST_AUTO_TEST_CASE(records_of_a_replaced_claim_are_void)
{
    accept("j", 1);
    append(claim_record("b", 1));
    const auto before = state.fingerprint();
    BOOST_CHECK(write(result_entry("j", 0)) == record_verdict::void_claim);
    BOOST_CHECK(append(record("a", 3, 1, cancel_entry("j"))) ==
                record_verdict::void_claim);
    BOOST_TEST(state.fingerprint() == before);
    BOOST_TEST(state.find_job("j")->counts().pending == 1);
}

// Guards against counting an append twice whose answer was lost.
BOOST_AUTO_TEST_CASE(resent_records_are_void)
{
    write(chunk_entry("j", "n", 0, 2));
    --sequence;
    BOOST_CHECK(write(chunk_entry("j", "n", 0, 2)) ==
                record_verdict::void_sequence);
    write(commit_entry("j", "n", 2));
    BOOST_TEST(state.find_job("j") != nullptr);
    // Gaps are allowed; going back is not.
    sequence = 10;
    BOOST_CHECK(write(cancel_entry("j")) == record_verdict::valid);
    sequence = 5;
    BOOST_CHECK(write(forget_entry("j")) == record_verdict::void_sequence);
}

BOOST_AUTO_TEST_CASE(a_released_claim_fences_until_it_is_replaced)
{
    write(release_entry());
    BOOST_TEST(state.claim().released);
    BOOST_CHECK(write(cancel_entry("j")) == record_verdict::void_claim);
    BOOST_CHECK(append(claim_record("b", 0)) == record_verdict::void_claim);
    BOOST_CHECK(append(claim_record("b", 1)) == record_verdict::valid);
    BOOST_TEST(!state.claim().released);
}

BOOST_AUTO_TEST_CASE(malformed_records_have_no_effect)
{
    BOOST_CHECK(write() == record_verdict::malformed);
    auto two = claim_record("b", 1);
    *two.add_entries() = cancel_entry("j");
    BOOST_CHECK(append(two) == record_verdict::malformed);
    auto claim_under_claim = claim_record("a", 1);
    claim_under_claim.set_claim_offset(1);
    BOOST_CHECK(append(claim_under_claim) == record_verdict::malformed);
    BOOST_TEST(state.claim().offset == 1);
}

// Guards against jobs with missing or doubled items.
BOOST_AUTO_TEST_CASE(a_commit_needs_chunks_that_cover_all_items)
{
    const auto refused = [this](std::uint32_t count)
    {
        refusal.reset();
        write(commit_entry("j", "n", count));
        return refusal == commit_refusal::incomplete;
    };
    BOOST_TEST(refused(1));
    write(chunk_entry("j", "n", 0, 2), chunk_entry("j", "n", 3, 1));
    BOOST_TEST(refused(4));
    write(chunk_entry("j", "n", 0, 2), chunk_entry("j", "n", 1, 2));
    BOOST_TEST(refused(3));
    write(chunk_entry("j", "n", 0, 2));
    BOOST_TEST(refused(3));
    write(chunk_entry("j", "other", 0, 3));
    BOOST_TEST(refused(3));
    BOOST_TEST(refused(0));
    // Chunks in any order.
    write(chunk_entry("j", "n", 2, 1), chunk_entry("j", "n", 0, 2),
          commit_entry("j", "n", 3));
    BOOST_REQUIRE(state.find_job("j") != nullptr);
    BOOST_TEST(state.find_job("j")->chunk_of(1).place.entry == 1);
    BOOST_TEST(state.find_job("j")->chunk_of(2).place.entry == 0);
}

// Guards against a second run of a job that a client submits again.
BOOST_AUTO_TEST_CASE(a_resubmitted_job_is_the_same_job)
{
    accept("j", 2);
    write(result_entry("j", 0), cancel_entry("j"));
    write(chunk_entry("j", "m", 0, 2), commit_entry("j", "m", 2));
    BOOST_CHECK(refusal == commit_refusal::repeated);
    BOOST_TEST(state.find_job("j")->cancelled());
    BOOST_TEST(state.find_job("j")->counts().succeeded == 1);
    write(commit_entry("j", "m", 2, "other"));
    BOOST_CHECK(refusal == commit_refusal::conflict);
    write(forget_entry("j"));
    BOOST_TEST(state.find_job("j") == nullptr);
    BOOST_TEST(state.is_forgotten("j"));
    write(chunk_entry("j", "k", 0, 2), commit_entry("j", "k", 2));
    BOOST_CHECK(refusal == commit_refusal::forgotten);
    BOOST_TEST(state.intake_count() == 0);
}

BOOST_AUTO_TEST_CASE(intakes_end_with_the_claim)
{
    write(chunk_entry("j", "n", 0, 2));
    BOOST_TEST(state.intake_count() == 1);
    append(claim_record("b", 1));
    BOOST_TEST(state.intake_count() == 0);
    append(record("b", state.claim().offset, 1, commit_entry("j", "n", 2)));
    BOOST_CHECK(refusal == commit_refusal::incomplete);
}

// Guards against counting an item twice.
BOOST_AUTO_TEST_CASE(the_first_completion_counts)
{
    accept("j", 3);
    write(result_entry("j", 1), result_entry("j", 1, proto::ITEM_FAILED));
    write(result_entry("j", 1, proto::ITEM_FAILED), result_entry("j", 3),
          result_entry("j", 0, proto::ITEM_PENDING), result_entry("x", 0));
    BOOST_TEST(completed == 1);
    const auto& found = *state.find_job("j");
    BOOST_TEST(found.status(1) == proto::ITEM_SUCCEEDED);
    BOOST_TEST((found.result(1) == entry_location{3, 0}));
    BOOST_TEST((found.counts() == item_counts{2, 1, 0, 0, 0}));
    BOOST_TEST((found.next_pending(1) == 2U));
    // An item that finished although the job was cancelled did finish.
    write(cancel_entry("j"), cancel_entry("j"), result_entry("j", 0));
    BOOST_TEST(cancelled == 1);
    BOOST_TEST(completed == 2);
}

BOOST_AUTO_TEST_CASE(moved_records_replace_places_only)
{
    accept("j", 2);
    write(result_entry("j", 0));
    write(result_entry("j", 0, proto::ITEM_FAILED, true),
          result_entry("j", 1, proto::ITEM_SUCCEEDED, true),
          chunk_entry("j", "n", 0, 1, true));
    const auto& found = *state.find_job("j");
    BOOST_TEST(state.oldest_needed_offset(true) == 2);
    BOOST_TEST((found.result(0) == entry_location{3, 0}));
    write(chunk_entry("j", "n", 0, 2, true),
          result_entry("j", 0, proto::ITEM_SUCCEEDED, true));
    BOOST_TEST((found.result(0) == entry_location{5, 1}));
    BOOST_TEST(state.oldest_needed_offset(false) == 5);
    BOOST_TEST(completed == 1);
    write(result_entry("j", 1), forget_entry("j"));
    BOOST_TEST(state.oldest_needed_offset(false) == 0);
}

// Guards against running work twice that may not be repeated.
BOOST_AUTO_TEST_CASE(only_the_first_intent_is_valid)
{
    accept("j", 3);
    const auto verdict = [this](proto::PartitionEntry entry)
    {
        write(std::move(entry));
        return *intent;
    };
    BOOST_CHECK(verdict(intent_entry("j", 0)) == intent_verdict::valid);
    BOOST_CHECK(verdict(intent_entry("j", 0)) == intent_verdict::repeated);
    BOOST_CHECK(verdict(intent_entry("j", 3)) == intent_verdict::unknown);
    BOOST_CHECK(verdict(intent_entry("x", 0)) == intent_verdict::unknown);
    BOOST_TEST(state.find_job("j")->has_intent(0));
    write(result_entry("j", 1), cancel_entry("j"));
    BOOST_CHECK(verdict(intent_entry("j", 1)) == intent_verdict::finished);
    BOOST_CHECK(verdict(intent_entry("j", 2)) == intent_verdict::cancelled);
    BOOST_TEST(!state.find_job("j")->has_intent(2));

    BOOST_CHECK(verdict(call_intent_entry("c")) == intent_verdict::valid);
    BOOST_CHECK(verdict(call_intent_entry("c")) == intent_verdict::repeated);
    BOOST_CHECK(verdict(call_intent_entry("c", "x")) ==
                intent_verdict::conflict);
    write(outcome_entry("x"), outcome_entry("c", true));
    BOOST_TEST(state.find_call("c")->outcome.offset == 0);
    write(outcome_entry("c"), outcome_entry("c"));
    BOOST_TEST(outcomes == 1);
    BOOST_TEST(state.find_call("c")->outcome.entry == 0);
    write(outcome_entry("c", true));
    BOOST_TEST(state.find_call("c")->outcome.offset + 1 == state.next_offset());
    write(forget_entry("c"));
    BOOST_TEST(state.call_count() == 0);
}

BOOST_AUTO_TEST_CASE(tables_are_bounded)
{
    partition_limits limits;
    limits.max_jobs = 2;
    limits.max_calls = 1;
    limits.max_intakes = 2;
    limits.max_forgotten = 1;
    limits.max_chunks_per_intake = 2;
    limits.max_items_per_job = 4;
    state = partition_state(limits);
    append(claim_record("a", 0));
    for (const auto* id : {"j1", "j2", "j3"})
        write(chunk_entry(id, "n", 0, 1), commit_entry(id, "n", 1));
    BOOST_CHECK(refusal == commit_refusal::full);
    write(forget_entry("j1"), forget_entry("j2"));
    BOOST_TEST(!state.is_forgotten("j1"));
    BOOST_TEST(state.is_forgotten("j2"));
    for (const auto* id : {"i1", "i2", "i3"})
        write(chunk_entry(id, "n", 0, 1));
    BOOST_TEST(state.intake_count() == 2);
    for (std::uint32_t i = 1; i < 4; ++i)
        write(chunk_entry("i3", "n", i, 1));
    write(commit_entry("i3", "n", 4));
    BOOST_CHECK(refusal == commit_refusal::incomplete);
    write(call_intent_entry("c1"), call_intent_entry("c2"));
    BOOST_CHECK(*intent == intent_verdict::full);
}

// Guards against readers that disagree after records have expired.
BOOST_AUTO_TEST_CASE(a_reader_from_a_checkpoint_agrees)
{
    accept("j", 500);
    accept("k", 2);
    for (std::uint32_t i = 0; i < 500; i += 3)
        write(result_entry("j", i));
    write(intent_entry("j", 1), cancel_entry("k"), call_intent_entry("c"),
          outcome_entry("c"), call_intent_entry("d"));
    accept("gone", 1);
    write(forget_entry("gone"), chunk_entry("open", "n", 0, 2));

    const auto start = state.next_offset();
    partition_state reader;
    reader.reset(start);
    std::vector<proto::PartitionRecord> records;
    for (auto& part : state.make_checkpoint(512))
        records.push_back(record("a", 1, ++sequence, checkpoint_entry(part)));
    BOOST_TEST(records.size() > 5);
    BOOST_TEST(state.make_checkpoint(65536).size() == 1);
    for (const auto& it : records)
        BOOST_TEST(it.ByteSizeLong() < 600);
    // Neither a resend nor a void claim interrupts the parts.
    records.insert(records.begin() + 2, records[1]);
    records.insert(records.begin() + 2, claim_record("b", 0));
    records.push_back(record("a", 1, ++sequence, commit_entry("open", "n", 2),
                             commit_entry("gone", "n", 1)));
    for (const auto& it : records)
    {
        const auto offset = state.next_offset();
        append(it);
        reader.apply(offset, it);
    }
    BOOST_TEST(state.checkpoint_offset() == start);
    BOOST_TEST(reader.live());
    BOOST_TEST(reader.fingerprint() == state.fingerprint());
    BOOST_TEST(reader.find_job("open") != nullptr);
    BOOST_TEST(reader.claim().holder == "a");
}

BOOST_AUTO_TEST_CASE(a_checkpoint_with_a_record_between_its_parts_is_void)
{
    accept("j", 500);
    auto parts = state.make_checkpoint(512);
    BOOST_REQUIRE(parts.size() > 2);
    partition_state reader;
    reader.reset(state.next_offset());
    const auto apply = [&](const proto::PartitionRecord& value)
    {
        reader.apply(state.next_offset(), value);
        append(value);
    };
    for (std::size_t i = 0; i < parts.size(); ++i)
    {
        apply(record("a", 1, ++sequence, checkpoint_entry(parts[i])));
        if (i == 1)
            apply(record("a", 1, ++sequence, result_entry("j", 0)));
    }
    BOOST_TEST(state.checkpoint_offset() == 0);
    BOOST_TEST(!reader.live());
}

// Guards against a reader that follows a replaced holder's checkpoint.
BOOST_AUTO_TEST_CASE(an_adopted_claim_that_was_replaced_is_dropped)
{
    accept("j", 1);
    append(claim_record("b", 1));
    const auto claim = state.claim().offset;
    partition_state reader;
    const auto stale = state.next_offset();
    reader.reset(stale);
    for (const auto& value :
         {record("a", 1, ++sequence,
                 checkpoint_entry(state.make_checkpoint(4096)[0])),
          record("b", claim, 1, result_entry("j", 0))})
    {
        reader.apply(state.next_offset(), value);
        append(value);
    }
    BOOST_TEST(!reader.live());
    const auto good =
        record("b", claim, 2, checkpoint_entry(state.make_checkpoint(4096)[0]));
    reader.apply(state.next_offset(), good);
    append(good);
    BOOST_TEST(reader.live());
    BOOST_TEST(reader.fingerprint() == state.fingerprint());
}

// Guards against a partition that nobody can claim once all is expired.
BOOST_AUTO_TEST_CASE(an_expired_partition_can_be_claimed_again)
{
    accept("j", 1);
    // Offset 1 is still kept: the state can be read.
    BOOST_CHECK(append(claim_record("b", 0, 1)) == record_verdict::void_claim);
    partition_state reader;
    reader.reset(state.next_offset());
    const auto fresh = claim_record("b", 0, state.next_offset());
    reader.apply(state.next_offset(), fresh);
    BOOST_CHECK(append(fresh) == record_verdict::valid);
    BOOST_TEST(state.job_count() == 0);
    BOOST_TEST(reader.fingerprint() == state.fingerprint());
    // A second such claim is void: the first can be read.
    BOOST_CHECK(append(fresh) == record_verdict::void_claim);

    // With a checkpoint that is still kept, such a claim is void.
    const auto claim = state.claim().offset;
    append(record("b", claim, 1,
                  checkpoint_entry(state.make_checkpoint(4096)[0])));
    BOOST_CHECK(append(claim_record("c", 0, state.checkpoint_offset())) ==
                record_verdict::void_claim);
}

BOOST_AUTO_TEST_CASE(a_gap_makes_the_state_wait_for_a_checkpoint)
{
    accept("j", 1);
    BOOST_CHECK(state.apply(1, claim_record("a", 0)) ==
                record_verdict::repeated);
    BOOST_CHECK(state.apply(state.next_offset() + 1,
                            record("a", 1, 9, cancel_entry("j"))) ==
                record_verdict::skipped);
    BOOST_TEST(!state.live());
    BOOST_TEST(state.claim().offset == 0);
}

// Guards against a crash of every entry by a record that is damaged or was
// written by a faulty version.
BOOST_AUTO_TEST_CASE(damaged_records_do_no_harm)
{
    std::vector<std::string> samples;
    const auto keep = [&](proto::PartitionRecord value)
    {
        append(value);
        value.set_sequence(0);
        samples.push_back(value.SerializeAsString());
    };
    keep(record("a", 1, ++sequence, chunk_entry("j", "n", 0, 5),
                commit_entry("j", "n", 5)));
    keep(record("a", 1, ++sequence, result_entry("j", 1), intent_entry("j", 2),
                chunk_entry("open", "n", 0, 3), forget_entry("k")));
    keep(record("a", 1, ++sequence, call_intent_entry("c"), outcome_entry("c"),
                chunk_entry("j", "n", 0, 5, true)));
    keep(record("a", 1, ++sequence,
                checkpoint_entry(state.make_checkpoint(4096)[0])));

    // Protobuf writes a line to standard error for each invalid text.
    const google::protobuf::LogSilencer silencer;
    std::mt19937_64 random(20240501);
    std::size_t parsed = 0;
    for (int i = 0; i < 40000; ++i)
    {
        auto bytes = samples[random() % samples.size()];
        for (auto n = 1 + random() % 3; n > 0; --n)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        proto::PartitionRecord damaged;
        if (!damaged.ParseFromString(bytes))
            continue;
        ++parsed;
        damaged.set_sequence(++sequence);
        append(damaged);
        partition_state reader;
        reader.reset(2);
        reader.apply(2, damaged);
        for (const auto* it : {&state, &reader})
        {
            it->oldest_needed_offset(true);
            it->for_each_job([](const job& value) { value.chunk_of(0); });
            it->fingerprint();
        }
    }
    BOOST_TEST(parsed > 1000);
}

BOOST_AUTO_TEST_SUITE_END()
