#include "growth.hpp"

#include "common/hash.hpp"
#include "report.hpp"
#include "state/config_state.hpp"
#include "state/holder_table.hpp"
#include "state/partition_state.hpp"

#include <malloc.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <optional>

namespace tanagertrack::bench
{

namespace
{

/// Items in one chunk and in one results record.
constexpr std::uint32_t items_per_record = 256;
constexpr std::size_t checkpoint_part_bytes = 200 * 1024;
constexpr int tickets_per_size = 50;
constexpr int objects_per_ticket = 500;
constexpr int beats_per_entry = 20;

/// Bytes that the process has allocated.
double heap_bytes()
{
    const auto info = ::mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Nanoseconds since construction.
class stopwatch
{
public:
    double ns() const
    {
        const auto elapsed = std::chrono::steady_clock::now() - start_;
        return std::chrono::duration<double, std::nano>(elapsed).count();
    }

private:
    std::chrono::steady_clock::time_point start_ =
        std::chrono::steady_clock::now();
};

/// A partition with one claim to which records are appended.
class partition_writer
{
public:
    partition_writer()
    {
        proto::PartitionRecord claim;
        claim.set_writer("bench");
        claim.add_entries()->mutable_claim()->set_holder("bench");
        state.apply(state.next_offset(), claim);
    }

    void write(proto::PartitionEntry entry)
    {
        proto::PartitionRecord record;
        record.set_writer("bench");
        record.set_claim_offset(state.claim().offset);
        record.set_sequence(++sequence_);
        *record.add_entries() = std::move(entry);
        const stopwatch watch;
        state.apply(state.next_offset(), record);
        apply_ns += watch.ns();
    }

    void accept(const std::string& id, std::uint32_t items)
    {
        for (std::uint32_t first = 0; first < items; first += items_per_record)
        {
            proto::PartitionEntry entry;
            auto* chunk = entry.mutable_job_chunk();
            chunk->set_job_id(id);
            chunk->set_intake("intake-0123456789abcdef");
            chunk->set_first_item(first);
            const auto end = std::min(first + items_per_record, items);
            for (auto i = first; i < end; ++i)
                chunk->add_items();
            write(std::move(entry));
        }
        proto::PartitionEntry entry;
        auto* commit = entry.mutable_job_commit();
        commit->set_job_id(id);
        commit->set_intake("intake-0123456789abcdef");
        commit->set_team("team-0123");
        commit->set_idempotency_key("key-0123456789abcdef0123456789");
        commit->set_content_hash(std::string(16, 'h'));
        commit->set_item_count(items);
        write(std::move(entry));
    }

    void finish(const std::string& id, std::uint32_t items)
    {
        for (std::uint32_t first = 0; first < items; first += items_per_record)
        {
            proto::PartitionEntry entry;
            auto* results = entry.mutable_item_results();
            results->set_job_id(id);
            const auto end = std::min(first + items_per_record, items);
            for (auto i = first; i < end; ++i)
            {
                auto* result = results->add_results();
                result->set_item(i);
                result->set_status(proto::ITEM_SUCCEEDED);
            }
            write(std::move(entry));
        }
    }

    state::partition_state state;

    /// Time spent in `apply`.
    double apply_ns = 0;

private:
    std::uint64_t sequence_ = 0;
};

std::string job_id(std::size_t number)
{
    return "batch-0-" + common::to_hex(common::hash128(std::to_string(number)));
}

/// One partition with `jobs` jobs of equal size.
void measure_partition(report& out, std::string_view table, std::size_t jobs,
                       std::size_t items)
{
    const auto before = heap_bytes();
    const auto owner = std::make_unique<partition_writer>();
    const auto per_job = static_cast<std::uint32_t>(items / jobs);
    const auto total = static_cast<double>(per_job) * static_cast<double>(jobs);
    for (std::size_t i = 0; i < jobs; ++i)
        owner->accept(job_id(i), per_job);
    const auto accept_ns = owner->apply_ns;
    owner->apply_ns = 0;
    for (std::size_t i = 0; i < jobs; ++i)
        owner->finish(job_id(i), per_job);
    const auto bytes = heap_bytes() - before;

    const stopwatch watch;
    const auto parts = owner->state.make_checkpoint(checkpoint_part_bytes);
    const auto checkpoint_ns = watch.ns();
    double checkpoint_bytes = 0;
    for (const auto& it : parts)
        checkpoint_bytes += static_cast<double>(it.ByteSizeLong());

    const stopwatch scan;
    owner->state.oldest_needed_offset(true);
    out.add(table, {{"jobs", static_cast<double>(jobs)},
                    {"items", total},
                    {"heap_bytes", bytes},
                    {"estimate_bytes",
                     static_cast<double>(owner->state.memory_bytes())},
                    {"bytes_per_item", bytes / total},
                    {"bytes_per_job", bytes / static_cast<double>(jobs)},
                    {"accept_ns_item", accept_ns / total},
                    {"result_ns_item", owner->apply_ns / total},
                    {"checkpoint_ms", checkpoint_ns / 1e6},
                    {"checkpoint_bytes", checkpoint_bytes},
                    {"checkpoint_parts", static_cast<double>(parts.size())},
                    {"oldest_scan_ms", scan.ns() / 1e6}});
}

std::string target_text(int number, int slots)
{
    return "  - {name: target-" + std::to_string(number) +
           ", address: 127.0.0.1, agent_port: 7101, data_centre: dc-" +
           std::to_string(number % 6) +
           ", region: region-1, kind: engine, models: [model-1], slots: " +
           std::to_string(slots) + "}\n";
}

std::string team_text(int number)
{
    return "  - {name: team-" + std::to_string(number) + ", key_hash: \"" +
           common::to_hex(common::hash128(std::to_string(number))) +
           "\", requests_per_second: 50, burst: 100, max_jobs: 100}\n";
}

/// Applies tickets with rising numbers.
class ticket_writer
{
public:
    void write(const std::string& body)
    {
        proto::ConfigRecord record;
        auto* ticket = record.mutable_ticket();
        ticket->set_number(++number_);
        ticket->set_document("ticket: " + std::to_string(number_) + "\n" +
                             body);
        const auto verdicts = state.apply(number_, record);
        if (verdicts[0].kind != state::ticket_verdict_kind::accepted)
            std::fprintf(stderr, "%s\n", verdicts[0].message.c_str());
    }

    template<typename Text>
    void fill(const std::string& kind, int count, const Text& text)
    {
        for (int first = 0; first < count; first += objects_per_ticket)
        {
            auto body = kind + ":\n";
            const auto end = std::min(first + objects_per_ticket, count);
            for (int i = first; i < end; ++i)
                body += text(i);
            write(body);
        }
    }

    state::config_state state;

private:
    std::uint64_t number_ = 0;
};

/// A configuration, and tickets that each change one target.
void measure_config(report& out, int targets, int teams, int history)
{
    const auto before = heap_bytes();
    const auto owner = std::make_unique<ticket_writer>();
    owner->write("models: [{name: model-1}]\n");
    const stopwatch fill_watch;
    owner->fill("targets", targets, [](int i) { return target_text(i, 8); });
    owner->fill("teams", teams, team_text);
    const auto fill_ms = fill_watch.ns() / 1e6;
    for (int i = 0; i < history; ++i)
        owner->write("models: [{name: model-2}]\n");
    const auto bytes = heap_bytes() - before;

    const stopwatch watch;
    for (int i = 0; i < tickets_per_size; ++i)
        owner->write("targets:\n" + target_text(i % targets, 9 + i));
    const auto ticket_ns = watch.ns() / tickets_per_size;
    out.add(
        "config_state",
        {{"targets", static_cast<double>(targets)},
         {"teams", static_cast<double>(teams)},
         {"tickets_known",
          static_cast<double>(owner->state.current()->accepted_size())},
         {"heap_bytes", bytes},
         {"estimate_bytes", static_cast<double>(owner->state.memory_bytes())},
         {"fill_ms", fill_ms},
         {"ticket_us", ticket_ns / 1e3},
         {"snapshot_bytes",
          static_cast<double>(owner->state.current()->ByteSizeLong())}});
}

/// Heartbeats of entries that share all partitions.
void measure_holders(report& out, std::uint32_t partitions,
                     std::uint32_t entries)
{
    const auto before = heap_bytes();
    common::time_point now{std::chrono::seconds(1)};
    auto table = std::make_unique<state::holder_table>(partitions, now);
    double apply_ns = 0;
    for (int beat = 1; beat <= beats_per_entry; ++beat)
    {
        for (std::uint32_t entry = 0; entry < entries; ++entry)
        {
            proto::ControlRecord record;
            auto* out_beat = record.mutable_heartbeat();
            out_beat->set_entry("entry-" + std::to_string(entry));
            out_beat->set_address("127.0.0.1");
            out_beat->set_port(7000);
            out_beat->set_beat(static_cast<std::uint64_t>(beat));
            for (auto i = entry; i < partitions; i += entries)
            {
                auto* held = out_beat->add_partitions();
                held->set_partition(i);
                held->set_claim_offset(1 + i);
                held->set_checkpoint_offset(1);
            }
            const stopwatch watch;
            table->apply(record, now);
            apply_ns += watch.ns();
        }
    }
    const auto bytes = heap_bytes() - before;
    const auto beats =
        static_cast<double>(beats_per_entry) * static_cast<double>(entries);
    const stopwatch due_watch;
    table->due_for_takeover(now, std::chrono::seconds(3));
    out.add("holder_table",
            {{"partitions", static_cast<double>(partitions)},
             {"entries", static_cast<double>(entries)},
             {"heap_bytes", bytes},
             {"estimate_bytes", static_cast<double>(table->memory_bytes())},
             {"heartbeat_ns", apply_ns / beats},
             {"due_ns", due_watch.ns()}});
}

} // namespace

int run_growth(int argc, char** argv)
{
    TCLAP::CmdLine line("Memory and time of the pure states against their "
                        "size");
    TCLAP::ValueArg<std::string> json("", "json", "file for the figures", false,
                                      "", "FILE", line);
    line.parse(argc, argv);

    report out("growth");
    for (const std::size_t items : {10'000, 100'000, 500'000, 2'000'000})
        measure_partition(out, "partition_state, 10 jobs", 10, items);
    measure_partition(out, "partition_state, one job", 1, 140'000);
    for (const std::size_t jobs : {1, 100, 1'000, 10'000, 38'000})
        measure_partition(out, "partition_state, 380,000 items", jobs, 380'000);
    for (const int targets : {10, 100, 1'000, 5'500})
        measure_config(out, targets, 0, 0);
    measure_config(out, 5'500, 11'000, 0);
    measure_config(out, 5'500, 11'000, 1'000);
    for (const std::uint32_t partitions : {8, 128, 1'024})
        measure_holders(out, partitions, std::min(partitions, 64U));
    if (out.write_json(json.getValue()))
        return 0;
    std::fprintf(stderr, "%s can't be written\n", json.getValue().c_str());
    return 1;
}

} // namespace tanagertrack::bench
