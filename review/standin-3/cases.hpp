#ifndef REVIEW_STANDIN_3_CASES_HPP
#define REVIEW_STANDIN_3_CASES_HPP

#include "fleet.hpp"

#include <atomic>

namespace review
{

/// Submits a job until it is accepted, at the entries in turn, at most
/// `attempts` times. Returns true if it was accepted.
inline bool submit_until_accepted(fleet& all, record& log, const batch_job& job,
                                  std::size_t first_entry, int attempts)
{
    for (int n = 0; n < attempts; ++n)
    {
        const auto& at = *all.entries[(first_entry + n) % all.entries.size()];
        const auto got = submit(at.front(), job);
        log("submit %s (%zu items) at %s: %d", job.id.c_str(),
            job.items.size(), at.name().c_str(), got.status);
        if (got.status == 202)
            return true;
        std::this_thread::sleep_for(milliseconds(400));
    }
    return false;
}

/// Returns true if all results of the job are listed at an entry.
inline bool is_finished(std::uint16_t port, const batch_job& job)
{
    std::size_t listed = 0;
    while (listed < job.items.size())
    {
        const auto got = read_results(port, job.id, listed);
        if (got.status != 200 || !got.complete)
            return false;
        const auto next = json::parse(got.body).at("next").to_number<std::size_t>();
        if (next == listed)
            return false;
        listed = next;
    }
    return true;
}

/// Jobs fill the partition of the log up to the size from which the store drops
/// the oldest records; then the entries are restarted in turn.
inline int run_full_partition(record& log, bool trouble)
{
    constexpr std::size_t job_count = 80;
    constexpr std::size_t items_per_job = 15;
    constexpr std::size_t item_bytes = 195000;
    engine::settings values;
    values.step = milliseconds(5);
    values.max_events = 40;
    fleet all(log, 3, 4, values);

    // Traffic starts 10 s after the machines do.
    std::this_thread::sleep_for(std::chrono::seconds(12));

    const auto bytes = random_bytes(item_bytes);
    std::vector<batch_job> jobs(job_count);
    for (auto& job : jobs)
    {
        job.items.resize(items_per_job);
        for (auto& it : job.items)
            it.body = bytes;
    }
    std::atomic<std::size_t> next{0};
    std::vector<char> accepted(job_count);
    std::vector<std::thread> callers;
    for (int n = 0; n < 4; ++n)
        callers.emplace_back(
            [&]
            {
                for (auto i = next++; i < job_count; i = next++)
                    accepted[i] =
                        submit_until_accepted(all, log, jobs[i], i, 6);
            });
    for (auto& it : callers)
        it.join();
    const auto accepted_count = std::count(accepted.begin(), accepted.end(), 1);
    log("%zu of %zu jobs accepted; %s", static_cast<std::size_t>(accepted_count),
        job_count, all.platform.describe("jobs", 0).c_str());

    // Every accepted job is finished before anything is restarted.
    const auto deadline = steady::now() + std::chrono::seconds(30);
    std::size_t finished = 0;
    for (std::size_t i = 0; i < job_count; ++i)
    {
        if (!accepted[i])
            continue;
        while (!is_finished(all.entries[0]->front(), jobs[i]) &&
               steady::now() < deadline)
            std::this_thread::sleep_for(milliseconds(100));
        finished += is_finished(all.entries[0]->front(), jobs[i]) ? 1 : 0;
    }
    log("%zu accepted jobs are finished and read at %s; %s", finished,
        all.entries[0]->name().c_str(),
        all.platform.describe("jobs", 0).c_str());

    if (trouble)
    {
        for (auto& it : all.entries)
        {
            log("SIGTERM %s", it->name().c_str());
            it->signal(SIGTERM);
            if (!it->wait(milliseconds(8000)))
                it->signal(SIGKILL);
            it->wait(milliseconds(1000));
            it->start(all.seeds());
            const bool ready = it->wait_until_ready(milliseconds(10000));
            log("%s started again, ready: %d", it->name().c_str(), ready);
        }
    }

    // stableWindowMs and settleMs have passed.
    std::this_thread::sleep_for(std::chrono::seconds(5));
    std::size_t lost = 0;
    for (std::size_t i = 0; i < job_count; ++i)
    {
        if (!accepted[i])
            continue;
        bool readable = false;
        std::string statuses;
        for (auto& it : all.entries)
        {
            const auto got = read_results(it->front(), jobs[i].id);
            statuses += ' ' + std::to_string(got.status);
            readable = readable || got.status == 200;
        }
        log("read %s at each entry:%s", jobs[i].id.c_str(), statuses.c_str());
        lost += readable ? 0 : 1;
    }
    log("%zu accepted jobs are not readable at any entry", lost);
    for (auto& it : all.entries)
    {
        for (const auto& line : it->log_lines("job_checkpoint", 4))
            log("%s: %s", it->name().c_str(), line.c_str());
    }
    if (finished == 0)
        return not_run;
    return lost == 0 ? held : broken;
}

inline int run_case(const std::string& name, record& log, bool trouble)
{
    if (name == "full-partition")
        return run_full_partition(log, trouble);
    throw std::runtime_error("unknown case " + name);
}

} // namespace review

#endif
