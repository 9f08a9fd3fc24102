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

struct configuration
{
    kind add(std::uint64_t number, const std::string& body)
    {
        verdicts =
            state.apply(state.read_through() + 1, ticket_record(number, body));
        BOOST_REQUIRE(verdicts.size() == 1);
        return verdicts[0].kind;
    }

    config_state state;
    std::vector<ticket_result> verdicts;
};

std::string bytes_of(const config_state& state)
{
    return state.current()->SerializeAsString();
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(config_fold, configuration)

BOOST_AUTO_TEST_CASE(accepted_tickets_set_whole_objects)
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
    // Configurations that were given out don't change.
    BOOST_TEST(before->targets_size() == 1);
    BOOST_TEST(before->version() == 1);
}

// Guards against a lost update by an operator with an old view.
BOOST_AUTO_TEST_CASE(a_number_that_is_not_above_the_last_one_is_stale)
{
    add(5, "models: [{name: m}]\n");
    BOOST_CHECK(add(4, "models: [{name: m}, {name: n}]\n") == kind::stale);
    BOOST_TEST(verdicts[0].object == "models/m");
    BOOST_TEST(verdicts[0].lost_to == 5);
    BOOST_TEST(state.current()->models_size() == 1);
    // A lower number is fine for other objects.
    BOOST_CHECK(add(3, "models: [{name: n}]\n") == kind::accepted);
    BOOST_CHECK(state.find_result(4)->kind == kind::stale);
    BOOST_CHECK(state.find_result(3)->kind == kind::accepted);
    BOOST_TEST(!state.find_result(2).has_value());
}

// Guards against a removed object that an older ticket brings back.
BOOST_AUTO_TEST_CASE(a_removed_object_keeps_its_number)
{
    add(5, "models: [{name: m}]\n");
    BOOST_CHECK(add(6, "remove: [models/m]\n") == kind::accepted);
    BOOST_TEST(state.current()->models_size() == 0);
    BOOST_CHECK(add(4, "models: [{name: m}]\n") == kind::stale);
    BOOST_TEST(verdicts[0].lost_to == 6);
    BOOST_CHECK(add(7, "models: [{name: m}]\n") == kind::accepted);
    BOOST_TEST(state.current()->removed_size() == 0);
    BOOST_CHECK(add(8, "remove: [teams/none]\n") == kind::accepted);
    BOOST_CHECK(add(2, "remove: [teams/none]\n") == kind::stale);
}

BOOST_AUTO_TEST_CASE(the_same_number_is_the_same_ticket_or_a_conflict)
{
    add(5, "models: [{name: m}]\n");
    BOOST_CHECK(add(5, "models:\n- name: m\n") == kind::same_ticket);
    BOOST_CHECK(add(5, "models: [{name: n}]\n") == kind::conflict);
    BOOST_CHECK(state.find_result(5)->kind == kind::accepted);
    BOOST_TEST(state.current()->version() == 1);
    // A rejected ticket does not use its number up.
    BOOST_CHECK(add(6, target("a", "none")) == kind::invalid);
    BOOST_CHECK(add(6, "models: [{name: o}]\n") == kind::accepted);
}

BOOST_AUTO_TEST_CASE(references_are_checked_against_ticket_and_state)
{
    BOOST_CHECK(add(1, target("a", "m")) == kind::invalid);
    BOOST_TEST(verdicts[0].message ==
               "targets/a.models: no model or service 'm'");
    BOOST_CHECK(add(2, target("a", "m") + "models: [{name: m}]\n") ==
                kind::accepted);
    BOOST_CHECK(add(3, target("b", "m")) == kind::accepted);
    BOOST_CHECK(add(4, target("b", "m") + "remove: [models/m]\n") ==
                kind::invalid);
    BOOST_CHECK(add(5, target("c", "s") + "services: [{name: s}]\n") ==
                kind::accepted);
    BOOST_CHECK(add(6, "models: {}\n") == kind::invalid);
    const auto wrong = ticket_record(7, "models: [{name: x}]\n").ticket();
    auto other = wrong;
    other.set_number(8);
    BOOST_CHECK(state.preview(wrong).kind == kind::accepted);
    BOOST_CHECK(state.preview(other).kind == kind::invalid);
}

BOOST_AUTO_TEST_CASE(tables_are_bounded_without_accepting_old_tickets)
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

// Guards against a configuration that goes back or that differs between
// readers after records have expired.
BOOST_AUTO_TEST_CASE(a_reader_that_starts_late_waits_for_a_snapshot)
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
    const auto judged = late.apply(5, snapshot);
    BOOST_REQUIRE(judged.size() == 1);
    BOOST_TEST(judged[0].offset == 3);
    BOOST_TEST(late.complete());
    BOOST_TEST(bytes_of(late) == bytes_of(state));
}

// Guards against judging a ticket again that the snapshot covers: what was
// invalid then would be valid now.
BOOST_AUTO_TEST_CASE(held_back_tickets_that_a_snapshot_covers_are_dropped)
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

// Guards against a configuration that is larger than a record and lost when
// its tickets expire.
BOOST_AUTO_TEST_CASE(a_large_snapshot_comes_in_parts)
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

BOOST_AUTO_TEST_CASE(a_peers_configuration_is_taken_only_when_ahead)
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
    // A gap keeps what is known until a snapshot or a peer fills it.
    fresh.apply(6, ticket_record(6, "models: [{name: d}]\n"));
    BOOST_TEST(!fresh.complete());
    BOOST_TEST(fresh.current()->version() == 3);
    BOOST_TEST(!fresh.load(*state.current(), 3));
    BOOST_TEST(fresh.load(*state.current(), 5));
    BOOST_TEST(fresh.current()->version() == 6);
}

// Guards the promise that all entries agree and that no version goes back,
// over random tickets, snapshots, expiry and late starts.
BOOST_AUTO_TEST_CASE(random_readers_agree)
{
    const auto* text = std::getenv("TANAGERTRACK_SEED");
    const std::uint64_t first = text != nullptr ? std::stoull(text) : 1;
    const std::uint64_t last = text != nullptr ? first : 300;
    int agreements = 0;
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
            // The other reader is slow and misses what has expired.
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
                agreements += other.complete() ? 1 : 0;
                BOOST_REQUIRE_MESSAGE(
                    agree && other.current()->version() >= version,
                    "TANAGERTRACK_SEED=" << seed << " step " << step);
                version = other.current()->version();
            }
        }
    }
    BOOST_TEST(agreements > 0);
}

BOOST_AUTO_TEST_SUITE_END()
