#include "state/config_state.hpp"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace tanagertrack;
using namespace tanagertrack::state;
using kind = tanagertrack::state::ticket_result_kind;

namespace
{

proto::ConfigRecord ticket_record(std::uint64_t number, const std::string& body)
{
    proto::ConfigRecord record;
    record.mutable_ticket()->set_number(number);
    record.mutable_ticket()->set_document("ticket: " + std::to_string(number) +
                                          "\n" + body);
    return record;
}

std::string target(const std::string& name, const std::string& model,
                   int slots = 1)
{
    return "targets: [{name: " + name +
           ", address: 127.0.0.1, port: 1, data_centre: d, region: r, "
           "kind: engine, models: [" +
           model + "], slots: " + std::to_string(slots) + "}]\n";
}

/// A reader of the log of tickets, and the results of the last ticket applied.
struct fixture
{
    kind add(std::uint64_t number, const std::string& body)
    {
        results =
            state.apply(state.read_through() + 1, ticket_record(number, body));
        BOOST_REQUIRE(results.size() == 1);
        return results[0].kind;
    }

    config_state state;
    std::vector<ticket_result> results;
};

std::string bytes_of(const config_state& state)
{
    return state.current()->SerializeAsString();
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(config_fold, fixture)

BOOST_AUTO_TEST_CASE(accepted_ticket_sets_whole_objects_in_a_new_configuration)
{
    BOOST_CHECK(add(5, "models: [{name: m}]\n" + target("b", "m")) ==
                kind::accepted);
    const auto before = state.current();
    BOOST_CHECK(add(6, target("a", "m")) == kind::accepted);
    BOOST_CHECK(add(7, target("b", "m", 9)) == kind::accepted);
    const auto now = state.current();
    BOOST_TEST(now->version() == 3);
    BOOST_REQUIRE(now->targets_size() == 2);
    BOOST_TEST(now->targets(0).name() == "a");
    BOOST_TEST(now->targets(1).slots() == 9);
    BOOST_TEST(now->targets(1).ticket() == 7);
    // A configuration that `current` returned earlier does not change.
    BOOST_TEST(before->targets_size() == 1);
    BOOST_TEST(before->version() == 1);
}

// Guards against a lost update: an operator who has not seen the newest
// configuration overwrites it.
BOOST_AUTO_TEST_CASE(
    ticket_is_stale_when_its_number_is_not_above_the_last_one_of_an_object)
{
    add(5, "models: [{name: m}]\n");
    BOOST_CHECK(add(4, "models: [{name: m}, {name: n}]\n") == kind::stale);
    BOOST_TEST(results[0].object == "models/m");
    BOOST_TEST(results[0].last_number == 5);
    BOOST_TEST(state.current()->models_size() == 1);
    // A lower number is accepted for objects that have no higher one.
    BOOST_CHECK(add(3, "models: [{name: n}]\n") == kind::accepted);
    BOOST_CHECK(state.find_result(4)->kind == kind::stale);
    BOOST_CHECK(state.find_result(3)->kind == kind::accepted);
    BOOST_TEST(!state.find_result(2).has_value());
}

// Guards against an older ticket that is read late and adds a removed object
// again.
BOOST_AUTO_TEST_CASE(removed_object_rejects_tickets_older_than_its_removal)
{
    add(5, "models: [{name: m}]\n");
    BOOST_CHECK(add(6, "remove: [models/m]\n") == kind::accepted);
    BOOST_TEST(state.current()->models_size() == 0);
    BOOST_CHECK(add(4, "models: [{name: m}]\n") == kind::stale);
    BOOST_TEST(results[0].last_number == 6);
    BOOST_CHECK(add(7, "models: [{name: m}]\n") == kind::accepted);
    BOOST_TEST(state.current()->removed_size() == 0);
    BOOST_CHECK(add(8, "remove: [teams/none]\n") == kind::accepted);
    BOOST_CHECK(add(2, "remove: [teams/none]\n") == kind::stale);
}

BOOST_AUTO_TEST_CASE(accepted_number_is_same_ticket_or_conflict_by_content)
{
    add(5, "models: [{name: m}]\n");
    BOOST_CHECK(add(5, "models:\n- name: m\n") == kind::same_ticket);
    BOOST_CHECK(add(5, "models: [{name: n}]\n") == kind::conflict);
    BOOST_CHECK(state.find_result(5)->kind == kind::accepted);
    BOOST_TEST(state.current()->version() == 1);
    // The number of a rejected ticket may be used again.
    BOOST_CHECK(add(6, target("a", "none")) == kind::invalid);
    BOOST_CHECK(add(6, "models: [{name: o}]\n") == kind::accepted);
}

BOOST_AUTO_TEST_CASE(
    ticket_is_invalid_when_a_target_refers_to_an_unknown_model_or_service)
{
    BOOST_CHECK(add(1, target("a", "m")) == kind::invalid);
    BOOST_TEST(results[0].message ==
               "targets/a.models: no model or service 'm'");
    BOOST_CHECK(add(2, target("a", "m") + "models: [{name: m}]\n") ==
                kind::accepted);
    BOOST_CHECK(add(3, target("b", "m")) == kind::accepted);
    BOOST_CHECK(add(4, target("b", "m") + "remove: [models/m]\n") ==
                kind::invalid);
    BOOST_CHECK(add(5, target("c", "s") + "services: [{name: s}]\n") ==
                kind::accepted);
    BOOST_CHECK(add(6, "models: {}\n") == kind::invalid);
    const auto ticket = ticket_record(7, "models: [{name: x}]\n").ticket();
    auto wrong_number = ticket;
    wrong_number.set_number(8);
    BOOST_CHECK(state.preview(ticket).kind == kind::accepted);
    BOOST_CHECK(state.preview(wrong_number).kind == kind::invalid);
}

BOOST_AUTO_TEST_CASE(old_tickets_stay_stale_when_tables_drop_entries)
{
    config_limits limits;
    limits.max_models = 2;
    limits.max_removed = 1;
    limits.max_accepted = 3;
    config_state small(limits);
    const auto apply = [&small](std::uint64_t number, const std::string& body)
    {
        return small
            .apply(small.read_through() + 1, ticket_record(number, body))[0]
            .kind;
    };
    apply(10, "models: [{name: a}]\n");
    BOOST_CHECK(apply(11, "models: [{name: b}, {name: c}]\n") == kind::invalid);
    apply(12, "remove: [models/a]\n");
    apply(13, "remove: [models/b]\n");
    BOOST_TEST(small.current()->removed_floor() == 12);
    BOOST_CHECK(apply(11, "models: [{name: a}]\n") == kind::stale);
    apply(14, "models: [{name: a}]\n");
    BOOST_TEST(small.current()->accepted_size() == 3);
    BOOST_TEST(small.current()->accepted_floor() == 10);
    BOOST_CHECK(apply(9, "models: [{name: z}]\n") == kind::stale);
}

// Guards against a configuration that returns to an older version, or that
// differs between readers, after the store has dropped expired records.
BOOST_AUTO_TEST_CASE(
    late_reader_defers_tickets_until_a_snapshot_covers_all_earlier_records)
{
    add(1, "models: [{name: a}]\n");
    const auto second = ticket_record(2, "models: [{name: b}]\n");
    const auto third = ticket_record(3, "models: [{name: c}]\n");
    proto::ConfigRecord early;
    *early.mutable_snapshot() = state.make_snapshot(4096)[0];
    state.apply(2, second);
    proto::ConfigRecord snapshot;
    *snapshot.mutable_snapshot() = state.make_snapshot(4096)[0];
    state.apply(3, third);
    state.apply(4, early);
    state.apply(5, snapshot);
    BOOST_TEST(state.current()->version() == 3);

    config_state late;
    BOOST_TEST(late.apply(3, third).empty());
    BOOST_TEST(!late.complete());
    // The early snapshot does not cover offset 2, which has expired.
    BOOST_TEST(late.apply(4, early).empty());
    BOOST_TEST(!late.complete());
    const auto late_results = late.apply(5, snapshot);
    BOOST_REQUIRE(late_results.size() == 1);
    BOOST_TEST(late_results[0].offset == 3);
    BOOST_TEST(late.complete());
    BOOST_TEST(bytes_of(late) == bytes_of(state));
}

// Guards against a second evaluation of a ticket that the snapshot covers. It
// was invalid at its offset, but would be valid after the snapshot.
BOOST_AUTO_TEST_CASE(
    deferred_tickets_covered_by_a_snapshot_are_not_evaluated_again)
{
    add(1, "models: [{name: a}]\n");
    config_state late;
    const auto too_early = ticket_record(7, target("t", "m"));
    const auto model = ticket_record(3, "models: [{name: m}]\n");
    for (const auto& it : {too_early, model})
    {
        const auto offset = state.read_through() + 1;
        state.apply(offset, it);
        late.apply(offset, it);
    }
    proto::ConfigRecord snapshot;
    *snapshot.mutable_snapshot() = state.make_snapshot(4096)[0];
    BOOST_TEST(late.apply(4, snapshot).empty());
    BOOST_TEST(bytes_of(late) == bytes_of(state));
    BOOST_TEST(late.current()->targets_size() == 0);
}

// Guards against the loss of a configuration when its tickets expire, because
// its snapshot does not fit into one record.
BOOST_AUTO_TEST_CASE(
    snapshot_in_parts_is_loaded_when_its_writers_parts_are_complete_in_order)
{
    for (std::uint64_t i = 1; i <= 50; ++i)
        add(i, "models: [{name: model-" + std::to_string(i) + "}]\n");
    auto parts = state.make_snapshot(1024);
    BOOST_REQUIRE(parts.size() > 2);
    config_state late;
    auto offset = state.read_through();
    const auto append =
        [&](const std::string& writer, const proto::ConfigSnapshot& part)
    {
        BOOST_TEST(part.ByteSizeLong() <= 1024);
        proto::ConfigRecord record;
        record.set_writer(writer);
        *record.mutable_snapshot() = part;
        late.apply(++offset, record);
        state.apply(offset, record);
    };
    append("b", parts[1]);
    append("a", parts[0]);
    append("b", parts[1]);
    for (std::size_t i = 1; i < parts.size(); ++i)
    {
        BOOST_TEST(!late.complete());
        append("a", parts[i]);
        append("a", parts[1]);
        const auto ticket = ticket_record(100 + i, "models: [{name: late}]\n");
        late.apply(++offset, ticket);
        state.apply(offset, ticket);
    }
    BOOST_TEST(late.complete());
    BOOST_TEST(bytes_of(late) == bytes_of(state));
}

BOOST_AUTO_TEST_CASE(configuration_of_a_peer_is_adopted_only_when_it_is_ahead)
{
    add(1, "models: [{name: a}]\n");
    add(2, "models: [{name: b}]\n");
    config_state fresh;
    BOOST_TEST(fresh.load(*state.current(), 2));
    BOOST_TEST(!fresh.load(*state.current(), 2));
    BOOST_TEST(fresh.apply(2, ticket_record(2, "x")).empty());
    add(3, "models: [{name: c}]\n");
    fresh.apply(3, ticket_record(3, "models: [{name: c}]\n"));
    BOOST_TEST(bytes_of(fresh) == bytes_of(state));
    BOOST_CHECK(fresh.find_result(1)->kind == kind::accepted);
    // After a gap, the last configuration stays in effect until a snapshot or a
    // peer's configuration covers the gap.
    fresh.apply(6, ticket_record(6, "models: [{name: d}]\n"));
    BOOST_TEST(!fresh.complete());
    BOOST_TEST(fresh.current()->version() == 3);
    BOOST_TEST(!fresh.load(*state.current(), 3));
    BOOST_TEST(fresh.load(*state.current(), 5));
    BOOST_TEST(fresh.current()->version() == 6);
}

// Guards against readers that have different configurations at the same offset,
// and against versions that decrease, with random tickets, snapshots, expired
// records and slow readers.
BOOST_AUTO_TEST_CASE(
    complete_readers_have_the_same_configuration_after_random_records)
{
    const auto* replayed_seed = std::getenv("TANAGERTRACK_SEED");
    const std::uint64_t first =
        replayed_seed != nullptr ? std::stoull(replayed_seed) : 1;
    const std::uint64_t last = replayed_seed != nullptr ? first : 300;
    int complete_reads = 0;
    for (auto seed = first; seed <= last; ++seed)
    {
        std::mt19937_64 random(seed);
        config_limits limits;
        limits.max_removed = 2;
        limits.max_accepted = 4;
        config_state full(limits);
        config_state other(limits);
        std::vector<proto::ConfigRecord> log;
        std::uint64_t version = 0;
        for (int step = 0; step < 60; ++step)
        {
            proto::ConfigRecord record;
            if (random() % 6 == 0)
                *record.mutable_snapshot() = full.make_snapshot(4096)[0];
            else
            {
                const std::string name(1, "abcd"[random() % 4]);
                record = ticket_record(
                    1 + random() % 20,
                    random() % 3 == 0 ? "remove: [models/" + name + "]\n"
                                      : "models: [{name: " + name + "}]\n");
            }
            log.push_back(record);
            full.apply(log.size(), record);
            // The other reader is slow and misses expired records.
            if (random() % 3 == 0)
            {
                auto next = other.read_through();
                if (random() % 4 == 0)
                    next += random() % (log.size() - next + 1);
                for (; next < log.size(); ++next)
                    other.apply(next + 1, log[next]);
                const bool agree =
                    !other.complete() ||
                    other.read_through() != full.read_through() ||
                    bytes_of(other) == bytes_of(full);
                complete_reads += other.complete() ? 1 : 0;
                BOOST_REQUIRE_MESSAGE(
                    agree && other.current()->version() >= version,
                    "TANAGERTRACK_SEED=" << seed << " step " << step);
                version = other.current()->version();
            }
        }
    }
    BOOST_TEST(complete_reads > 0);
}

BOOST_AUTO_TEST_SUITE_END()
