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

/// Ends entries that hold more memory than their machines have, as the platform
/// does, and starts them again.
class memory_limit
{
public:
    memory_limit(fleet& all, record& log)
        : all_(all), log_(log), peaks_(all.entries.size()),
          thread_([this] { watch(); })
    {
    }

    ~memory_limit()
    {
        stop_ = true;
        thread_.join();
    }

    /// Number of processes that were ended.
    int ends() const
    {
        return ends_;
    }

    void write_peaks()
    {
        for (std::size_t n = 0; n < peaks_.size(); ++n)
            log_("%s: most memory %zu MB of %u", all_.entries[n]->name().c_str(),
                 peaks_[n].load(), all_.entries[n]->size().memory_mb);
    }

private:
    void watch()
    {
        while (!stop_)
        {
            std::this_thread::sleep_for(milliseconds(50));
            for (std::size_t n = 0; n < peaks_.size(); ++n)
                check(*all_.entries[n], peaks_[n]);
        }
    }

    void check(entry& it, std::atomic<std::size_t>& peak)
    {
        const auto mb = it.memory_mb();
        peak = std::max(peak.load(), mb);
        if (mb <= it.size().memory_mb)
            return;
        ++ends_;
        log_("%s holds %zu MB of %u: ended by the platform", it.name().c_str(),
             mb, it.size().memory_mb);
        it.signal(SIGKILL);
        it.wait(milliseconds(2000));
        std::this_thread::sleep_for(milliseconds(500));
        it.start(all_.seeds());
        log_("%s started again", it.name().c_str());
    }

    fleet& all_;
    record& log_;
    std::vector<std::atomic<std::size_t>> peaks_;
    std::atomic<int> ends_{0};
    std::atomic<bool> stop_{false};
    std::thread thread_;
};

/// A caller submits many jobs with one large item each, at the entry to which
/// the balancer sends it.
inline int run_waiting_jobs(record& log, bool trouble)
{
    constexpr std::size_t job_count = 1300;
    constexpr std::size_t large_item_bytes = 255000;
    constexpr std::size_t usual_item_bytes = 1000;
    fleet all(log, 2, 4, {});
    std::this_thread::sleep_for(std::chrono::seconds(10));
    memory_limit limit(all, log);

    const auto bytes =
        random_bytes(trouble ? large_item_bytes : usual_item_bytes);
    std::atomic<std::size_t> next{0};
    std::atomic<std::size_t> accepted{0};
    std::atomic<std::size_t> refused{0};
    std::vector<std::thread> callers;
    for (int n = 0; n < 8; ++n)
        callers.emplace_back(
            [&]
            {
                while (next++ < job_count && limit.ends() == 0)
                {
                    batch_job job;
                    job.items.resize(1);
                    job.items[0].body = bytes;
                    const auto got = submit(all.entries[0]->front(), job);
                    log("submit %s at %s: %d", job.id.c_str(),
                        all.entries[0]->name().c_str(), got.status);
                    ++(got.status == 202 ? accepted : refused);
                }
            });
    for (auto& it : callers)
        it.join();
    log("%zu jobs accepted, %zu not; memory %zu and %zu MB", accepted.load(),
        refused.load(), all.entries[0]->memory_mb(),
        all.entries[1]->memory_mb());

    // No further requests come.
    std::this_thread::sleep_for(std::chrono::seconds(10));
    limit.write_peaks();
    log("processes ended for their memory: %d", limit.ends());
    if (accepted == 0)
        return not_run;
    return limit.ends() == 0 ? held : broken;
}

/// Sends a stream request and reads its answer. Returns true if the answer is
/// complete and is the engine's whole stream of `events` events.
struct stream_result
{
    int status = 0;
    bool complete = false;
    std::size_t bytes = 0;

    /// The connection ended; it was no time-out of the client.
    bool cut = false;
};

inline stream_result ask(std::uint16_t port, const std::string& path,
                         const std::string& id, unsigned events)
{
    stream_result out;
    const int fd = connect_to(port);
    if (fd < 0)
        return out;
    const auto sent = steady::now();
    send_all(fd, "POST " + path + id +
                     " HTTP/1.1\r\nHost: h.example\r\n"
                     "X-Tanagertrack-Request-Id: " +
                     id +
                     "\r\nX-Tanagertrack-Model: m\r\n"
                     "X-Tanagertrack-Token-Usage: 450," +
                     std::to_string(events) +
                     "\r\nX-Tanagertrack-Prompt-Prefix: 5c1e07a2:200," +
                     id.substr(0, 8) +
                     ":250\r\nX-Tanagertrack-Deadline-Ms: 5000\r\n"
                     "Content-Length: 8\r\n\r\nquestion");
    const auto got = read_answer(fd, milliseconds(5000));
    ::close(fd);
    out.status = got.status;
    out.complete = got.complete;
    out.bytes = got.body.size();
    out.cut = !got.complete && steady::now() - sent < milliseconds(4900);
    return out;
}

/// An entry that serves streams is stopped, and the signal comes twice.
inline int run_second_signal(record& log, bool trouble)
{
    constexpr unsigned events = 35;
    engine::settings values;
    values.step = milliseconds(60);
    fleet all(log, 2, 6, values);
    std::this_thread::sleep_for(std::chrono::seconds(10));
    std::atomic<bool> stop{false};
    std::atomic<unsigned> served{0};
    std::atomic<unsigned> refused{0};
    std::atomic<unsigned> cut{0};
    std::vector<std::thread> callers;
    for (int n = 0; n < 12; ++n)
        callers.emplace_back(
            [&]
            {
                while (!stop)
                {
                    const auto id = random_id();
                    log("ask %s", id.c_str());
                    const auto got =
                        ask(all.entries[0]->front(), "/draft/", id, events);
                    log("answer %s: status %d, %zu bytes%s", id.c_str(),
                        got.status, got.bytes,
                        got.complete ? "" : got.cut ? ", cut" : ", none");
                    if (got.complete)
                        ++(got.status == 200 ? served : refused);
                    else if (got.cut)
                        ++cut;
                    else
                        std::this_thread::sleep_for(milliseconds(50));
                }
            });
    std::this_thread::sleep_for(std::chrono::seconds(5));
    const auto before = cut.load();
    log("SIGTERM %s", all.entries[0]->name().c_str());
    all.entries[0]->signal(SIGTERM);

    // The balancer gives the entry no further connections after two misses.
    std::this_thread::sleep_for(std::chrono::seconds(1));
    if (trouble)
    {
        log("SIGTERM %s, second time", all.entries[0]->name().c_str());
        all.entries[0]->signal(SIGTERM);
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    stop = true;
    for (auto& it : callers)
        it.join();
    const bool ended = all.entries[0]->wait(milliseconds(8000));
    log("%u answers, %u refusals, %u cut before and %u after the signal; the "
        "process has ended: %d",
        served.load(), refused.load(), before, cut - before, ended);
    for (const auto& line : all.entries[0]->log_lines("event=entry_stop", 4))
        log("%s", line.c_str());
    if (served == 0 || before != 0)
        return not_run;
    return cut == before ? held : broken;
}

inline int run_case(const std::string& name, record& log, bool trouble)
{
    if (name == "full-partition")
        return run_full_partition(log, trouble);
    if (name == "waiting-jobs")
        return run_waiting_jobs(log, trouble);
    if (name == "second-signal")
        return run_second_signal(log, trouble);
    throw std::runtime_error("unknown case " + name);
}

} // namespace review

#endif
