#ifndef REVIEW_STANDIN_3_CASES_HPP
#define REVIEW_STANDIN_3_CASES_HPP

#include "fleet.hpp"

#include <atomic>
#include <vector>

#include <sys/epoll.h>
#include <sys/resource.h>

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

/// Body of a job with many small items.
inline std::string many_items_body(std::size_t count)
{
    std::string out = R"({"items":[)";
    for (std::size_t n = 0; n < count; ++n)
        out += std::string(n == 0 ? "" : ",") + R"({"id":")" + random_id() +
               R"(","path":"/batch/1","headers":{},"body":"","tokenCount":100})";
    return out + "]}";
}

/// Bytes that were received on the connections of a listener and that its
/// process has not read, from the kernel's table of connections.
inline std::size_t unread_bytes(std::uint16_t port)
{
    char suffix[8];
    std::snprintf(suffix, sizeof suffix, ":%04X", port);
    std::ifstream file("/proc/net/tcp");
    std::size_t sum = 0;
    for (std::string line; std::getline(file, line);)
    {
        unsigned slot = 0;
        char local[32];
        char remote[32];
        unsigned state = 0;
        unsigned long unsent = 0;
        unsigned long unread = 0;
        if (std::sscanf(line.c_str(), " %u: %31s %31s %x %lx:%lx", &slot, local,
                        remote, &state, &unsent, &unread) != 6)
            continue;
        constexpr unsigned established = 1;
        constexpr unsigned close_wait = 8;
        const bool is_open = state == established || state == close_wait;
        if (is_open && std::string_view(local).ends_with(suffix))
            sum += unread;
    }
    return sum;
}

/// Ends entries that hold more memory than their machines have, as the platform
/// does, and starts them again. "Bytes that have been received and not yet read
/// count toward this limit" (DEPLOY.md).
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
        const auto resident = it.memory_mb();
        const auto unread = unread_bytes(it.front()) / 1024 / 1024;
        const auto mb = resident + unread;
        peak = std::max(peak.load(), mb);
        if (mb <= it.size().memory_mb)
            return;
        ++ends_;
        log_("%s holds %zu MB and %zu MB unread of %u: ended by the platform",
             it.name().c_str(), resident, unread, it.size().memory_mb);
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

/// Many callers that each send a body in chunks and stop just short of its end.
/// All are served by one thread.
class slow_callers
{
public:
    slow_callers(std::uint16_t port, std::size_t count, std::string chunks,
                 std::size_t repeats)
        : port_(port), count_(count), chunks_(std::move(chunks)),
          repeats_(repeats), epoll_(::epoll_create1(0))
    {
    }

    /// Keeps `count` connections open until `stop` is true.
    void run(const std::atomic<bool>& stop)
    {
        while (!stop)
        {
            for (int n = 0; n < 200 && open_.size() < count_; ++n)
                open_one();
            epoll_event events[512];
            const int n = ::epoll_wait(epoll_, events, 512, 20);
            for (int i = 0; i < n; ++i)
            {
                if (!handle(events[i]))
                    close_one(events[i].data.fd);
            }
        }
        while (!open_.empty())
            close_one(open_.begin()->first);
    }

    std::size_t opened = 0;
    std::size_t refused = 0;
    std::atomic<std::size_t> sent_bytes{0};

private:
    struct caller
    {
        std::string pending;
        std::size_t repeats = 0;
    };

    void open_one()
    {
        const int fd =
            ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        const auto address = loopback(port_);
        if (fd < 0 ||
            (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                       sizeof address) != 0 &&
             errno != EINPROGRESS))
        {
            ::close(fd);
            return;
        }
        ++opened;
        const auto id = random_id();
        open_[fd] = {"POST /batch/" + id +
                         " HTTP/1.1\r\nHost: h.example\r\n"
                         "X-Tanagertrack-Request-Id: " +
                         id +
                         "\r\nX-Tanagertrack-Deadline-Ms: 4000\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n",
                     0};
        epoll_event event{};
        event.events = EPOLLIN | EPOLLOUT;
        event.data.fd = fd;
        ::epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
    }

    bool handle(const epoll_event& event)
    {
        const int fd = event.data.fd;
        auto& it = open_[fd];
        if ((event.events & EPOLLIN) != 0)
        {
            char buf[4096];
            if (::recv(fd, buf, sizeof buf, 0) <= 0)
                return false;
            ++refused;
        }
        if ((event.events & (EPOLLHUP | EPOLLERR)) != 0)
            return false;
        if ((event.events & EPOLLOUT) == 0)
            return true;
        if (it.pending.empty() && it.repeats++ < repeats_)
            it.pending = chunks_;
        if (it.pending.empty())
        {
            epoll_event only_in{};
            only_in.events = EPOLLIN;
            only_in.data.fd = fd;
            ::epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &only_in);
            return true;
        }
        const auto n =
            ::send(fd, it.pending.data(), it.pending.size(), MSG_NOSIGNAL);
        if (n < 0)
            return errno == EAGAIN;
        sent_bytes += static_cast<std::size_t>(n);
        it.pending.erase(0, static_cast<std::size_t>(n));
        return true;
    }

    void close_one(int fd)
    {
        ::close(fd);
        open_.erase(fd);
    }

    std::uint16_t port_;
    std::size_t count_;
    std::string chunks_;
    std::size_t repeats_;
    int epoll_;
    std::map<int, caller> open_;
};

/// Callers send many chunked bodies at once and stop just short of their end.
inline int run_unread_bodies(record& log, bool trouble)
{
    // Each chunk holds one byte; 4,000,000 bytes are below `maxBodyBytes`.
    constexpr std::size_t connections = 4000;
    constexpr std::size_t chunks_per_piece = 10000;
    constexpr std::size_t pieces = 400;
    rlimit descriptors{};
    ::getrlimit(RLIMIT_NOFILE, &descriptors);
    descriptors.rlim_cur = descriptors.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &descriptors);
    if (descriptors.rlim_max < 9000)
        throw std::runtime_error("too few descriptors");

    fleet all(log, 2, 4, {});
    std::this_thread::sleep_for(std::chrono::seconds(10));
    memory_limit limit(all, log);
    std::string chunks;
    for (std::size_t n = 0; n < (trouble ? chunks_per_piece : 100); ++n)
        chunks += "1\r\nx\r\n";
    std::atomic<bool> stop{false};
    slow_callers callers(all.entries[0]->front(), connections, chunks,
                         trouble ? pieces : 1);
    std::thread sender([&] { callers.run(stop); });

    std::size_t served = 0;
    std::size_t not_served = 0;
    const auto end = steady::now() + std::chrono::seconds(15);
    while (steady::now() < end && limit.ends() == 0)
    {
        batch_job job;
        job.items.resize(1);
        job.items[0].body = "a usual item";
        const auto began = steady::now();
        const auto got = submit(all.entries[0]->front(), job);
        const auto took = std::chrono::duration_cast<milliseconds>(
            steady::now() - began);
        log("a usual job: %d in %ld ms; %zu MB resident, %zu MB unread",
            got.status, static_cast<long>(took.count()),
            all.entries[0]->memory_mb(),
            unread_bytes(all.entries[0]->front()) / 1024 / 1024);
        ++(got.status == 202 ? served : not_served);
        std::this_thread::sleep_for(milliseconds(300));
    }
    stop = true;
    sender.join();
    log("%zu connections opened, %zu answered, %zu MB sent; usual jobs: %zu "
        "accepted, %zu not",
        callers.opened, callers.refused, callers.sent_bytes / 1024 / 1024,
        served, not_served);
    limit.write_peaks();
    log("processes ended for their memory: %d", limit.ends());
    if (callers.opened < connections)
        return not_run;
    return limit.ends() == 0 ? held : broken;
}

/// Makes a usual request, which may be repeated. Returns the status; 0 if there
/// is no answer.
inline int look_up(std::uint16_t port)
{
    const auto id = random_id();
    return call(port, "GET", "/label/" + id,
                "Host: h.example\r\nX-Tanagertrack-Request-Id: " + id +
                    "\r\nX-Tanagertrack-Deadline-Ms: 1000\r\n",
                "", milliseconds(1000))
        .status;
}

/// A caller submits jobs with many small items and ends each one at once.
inline int run_ended_jobs(record& log, bool trouble)
{
    // The smallest machines of kloofnek-scans-grown.
    entry::machine size;
    size.memory_mb = 120;
    size.max_fds = 3075;
    fleet all(log, 3, 4, {}, size);
    std::this_thread::sleep_for(std::chrono::seconds(10));
    memory_limit limit(all, log);

    // The most items that a job may have.
    const std::size_t items = trouble ? 200 : 2;
    constexpr std::size_t most_jobs = 14000;
    constexpr int most_ends = 6;
    std::atomic<std::size_t> next{0};
    std::atomic<std::size_t> accepted{0};
    std::atomic<std::size_t> ended{0};
    std::atomic<std::size_t> failed{0};
    const auto latest = steady::now() + std::chrono::seconds(70);
    std::vector<std::thread> callers;
    for (int n = 0; n < 12; ++n)
        callers.emplace_back(
            [&, n]
            {
                // The third entry gets no calls at all.
                const auto port = all.entries[n % 2]->front();
                while (next++ < most_jobs && steady::now() < latest &&
                       limit.ends() < most_ends)
                {
                    const auto id = random_id();
                    const auto got = call(
                        port, "POST", "/batch/" + id,
                        "Host: h.example\r\nX-Tanagertrack-Request-Id: " + id +
                            "\r\nX-Tanagertrack-Deadline-Ms: 4000\r\n",
                        many_items_body(items), milliseconds(5500));
                    if (got.status != 202)
                    {
                        ++failed;
                        std::this_thread::sleep_for(milliseconds(200));
                        continue;
                    }
                    ++accepted;
                    const auto end =
                        call(port, "DELETE", "/tanagertrack/lots/" + id,
                             "Host: h.example\r\n", "", milliseconds(4000));
                    ended += end.status == 200 ? 1 : 0;
                    if (accepted % 500 == 0)
                        log("%zu jobs accepted, %zu ended; memory %zu, %zu, "
                            "%zu MB; %s",
                            accepted.load(), ended.load(),
                            all.entries[0]->memory_mb(),
                            all.entries[1]->memory_mb(),
                            all.entries[2]->memory_mb(),
                            all.platform.describe("jobs", 0).c_str());
                }
            });
    for (auto& it : callers)
        it.join();
    log("%zu jobs accepted, %zu ended, %zu not accepted", accepted.load(),
        ended.load(), failed.load());

    // Only a few usual requests come now.
    unsigned asked = 0;
    unsigned answered = 0;
    const auto end = steady::now() + std::chrono::seconds(15);
    while (steady::now() < end)
    {
        for (auto& it : all.entries)
        {
            ++asked;
            answered += look_up(it->front()) == 200 ? 1 : 0;
        }
        std::this_thread::sleep_for(milliseconds(300));
    }
    log("%u of %u usual requests were answered with 200", answered, asked);
    limit.write_peaks();
    log("processes ended for their memory: %d", limit.ends());
    if (accepted == 0)
        return not_run;
    return limit.ends() == 0 ? held : broken;
}

inline int run_case(const std::string& name, record& log, bool trouble)
{
    if (name == "full-partition")
        return run_full_partition(log, trouble);
    if (name == "ended-jobs")
        return run_ended_jobs(log, trouble);
    if (name == "unread-bodies")
        return run_unread_bodies(log, trouble);
    throw std::runtime_error("unknown case " + name);
}

} // namespace review

#endif
