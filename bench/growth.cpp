#include "bench/growth.hpp"

#include "state/job_checkpoint.hpp"
#include "state/job_table.hpp"

#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <iomanip>
#include <ostream>
#include <string>

namespace tanagertrack::bench
{

namespace
{

constexpr double bytes_per_mb = 1e6;
constexpr std::size_t checkpoint_part_bytes = 64UL * 1024;
constexpr std::uint32_t items_per_part = 256;

/// Returns the allocated memory of the process.
std::size_t used_bytes()
{
    // `hblkhd` counts large blocks, which malloc maps separately.
    const auto it = mallinfo2();
    return it.uordblks + it.hblkhd;
}

double seconds_since(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         start)
        .count();
}

/// Applies the records of an accepted job with `items` items, starting at
/// `offset`. Returns the next offset.
std::uint64_t add_job(state::job_table& table, std::uint64_t offset,
                      const std::string& id, std::uint32_t items)
{
    proto::JobRecord commit;
    auto& job = *commit.mutable_commit();
    job.set_job(id);
    job.set_intake(id);
    job.set_member("m");
    job.set_route("r");
    job.set_item_count(items);
    for (std::uint32_t first = 0; first < items; first += items_per_part)
    {
        proto::JobRecord part;
        auto& out = *part.mutable_part();
        out.set_job(id);
        out.set_intake(id);
        out.set_first_item(first);
        for (auto n = first; n < std::min(items, first + items_per_part); ++n)
            out.add_items()->set_id(id + "-" + std::to_string(n));
        table.apply(offset++, part);
    }
    table.apply(offset++, commit);
    return offset;
}

/// Applies the results of all items of a job, starting at `offset`. Returns the
/// next offset.
std::uint64_t complete_items(state::job_table& table, std::uint64_t offset,
                             const std::string& id, std::uint32_t items)
{
    for (std::uint32_t first = 0; first < items; first += items_per_part)
    {
        proto::JobRecord record;
        auto& results = *record.mutable_results();
        for (auto n = first; n < std::min(items, first + items_per_part); ++n)
        {
            auto& it = *results.add_results();
            it.set_item(n);
            it.set_state(proto::ITEM_DONE);
            it.set_text_offset(n);
        }
        results.set_job(id);
        table.apply(offset++, record);
    }
    return offset;
}

/// Prints one row of the table, for `jobs` jobs of `items` items each.
void measure(std::ostream& out, std::uint32_t jobs, std::uint32_t items)
{
    const auto before = used_bytes();
    state::job_table table{state::job_table_hooks()};
    std::uint64_t offset = 0;
    const auto start = std::chrono::steady_clock::now();
    for (std::uint32_t n = 0; n < jobs; ++n)
        offset = add_job(table, offset, "job-" + std::to_string(n), items);
    const double accept_s = seconds_since(start);
    const auto completion_start = std::chrono::steady_clock::now();
    for (std::uint32_t n = 0; n < jobs; ++n)
        offset =
            complete_items(table, offset, "job-" + std::to_string(n), items);
    const double complete_s = seconds_since(completion_start);
    const auto bytes = used_bytes() - before;

    const auto checkpoint_start = std::chrono::steady_clock::now();
    const auto records =
        state::make_checkpoint(table, offset, "c", checkpoint_part_bytes);
    const double checkpoint_s = seconds_since(checkpoint_start);
    std::size_t checkpoint_bytes = 0;
    for (const auto& it : records)
        checkpoint_bytes += it.ByteSizeLong();

    constexpr double ns_per_s = 1e9;
    constexpr double ms_per_s = 1e3;
    const double all_items = static_cast<double>(jobs) * items;
    out << "| " << jobs << " | " << jobs * items << " | " << std::fixed
        << std::setprecision(2) << static_cast<double>(bytes) / bytes_per_mb
        << " | " << std::setprecision(1)
        << static_cast<double>(bytes) / all_items << " | "
        << accept_s * ns_per_s / all_items << " | "
        << complete_s * ns_per_s / all_items << " | " << checkpoint_s * ms_per_s
        << " | " << std::setprecision(2)
        << static_cast<double>(checkpoint_bytes) / bytes_per_mb << " | "
        << records.size() << " |\n";
}

} // namespace

int run_growth(std::ostream& out)
{
    out << "| jobs | items | MB | bytes per item | accept, ns per item | "
           "complete, ns per item | checkpoint, ms | checkpoint, MB | records "
           "|\n"
           "| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: "
           "|\n";
    measure(out, 10, 1000);
    measure(out, 10, 10000);
    measure(out, 10, 50000);
    measure(out, 1, 140000);
    measure(out, 1000, 380);
    measure(out, 38000, 10);
    return 0;
}

} // namespace tanagertrack::bench
