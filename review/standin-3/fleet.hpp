#ifndef REVIEW_STANDIN_3_FLEET_HPP
#define REVIEW_STANDIN_3_FLEET_HPP

// A small deployment: the project's entries as processes, and the stand-ins of
// the store and the engines.

#include "engine.hpp"
#include "store.hpp"

#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review
{

/// Result of a case, which is the exit status of its script.
enum result : int
{
    held = 0,
    broken = 1,
    not_run = 2
};

/// Writes the lines of record.txt, with the seconds since the start.
class record
{
public:
    explicit record(const std::string& path)
        : file_(std::fopen(path.c_str(), "w"))
    {
        if (file_ == nullptr)
            throw std::runtime_error("can't write " + path);
    }

    void operator()(const char* format, ...)
    {
        const std::lock_guard lock(mutex_);
        const std::chrono::duration<double> now = steady::now() - start_;
        va_list arguments;
        va_start(arguments, format);
        std::fprintf(file_, "%8.3f ", now.count());
        std::vfprintf(file_, format, arguments);
        std::fprintf(file_, "\n");
        std::fflush(file_);
        va_end(arguments);
    }

private:
    std::mutex mutex_;
    std::FILE* file_;
    steady::time_point start_ = steady::now();
};

inline std::string random_id()
{
    static std::mutex mutex;
    static std::mt19937_64 engine(std::random_device{}());
    const std::lock_guard lock(mutex);
    char buf[17];
    std::snprintf(buf, sizeof buf, "%016llx",
                  static_cast<unsigned long long>(engine()));
    return buf;
}

/// An entry: the process that the deploy file starts on a `front` machine.
class entry
{
public:
    /// Figures of the settings that a case may change.
    struct machine
    {
        unsigned memory_mb = 290;
        unsigned max_fds = 8200;
    };

    entry(std::string name, std::filesystem::path folder, std::uint16_t store,
          machine size)
        : name_(std::move(name)), folder_(std::move(folder)), store_(store),
          size_(size), front_(free_port()), ready_(free_port()),
          control_(free_port()), peer_(free_port())
    {
    }

    ~entry()
    {
        signal(SIGKILL);
        wait(milliseconds(2000));
    }

    /// Starts the process with the command of the deploy file, and with what
    /// deploy/entry.yaml.in becomes. `seeds` are control addresses.
    void start(const std::vector<std::uint16_t>& seeds)
    {
        const auto path = (folder_ / (name_ + ".yaml")).string();
        write_settings(path, seeds);
        const auto log = (folder_ / (name_ + ".log")).string();
        pid_ = ::fork();
        if (pid_ != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execl("target/tanagertrackd", "target/tanagertrackd", path.c_str(),
                nullptr);
        ::_exit(127);
    }

    void signal(int number) const
    {
        if (pid_ > 0)
            ::kill(pid_, number);
    }

    /// Returns true if the process has ended within `timeout`.
    bool wait(milliseconds timeout)
    {
        const auto deadline = steady::now() + timeout;
        while (pid_ > 0)
        {
            if (::waitpid(pid_, nullptr, WNOHANG) == pid_)
                pid_ = 0;
            else if (steady::now() >= deadline)
                return false;
            else
                std::this_thread::sleep_for(milliseconds(10));
        }
        return true;
    }

    bool is_running()
    {
        return pid_ > 0 && !wait(milliseconds(0));
    }

    /// Resident memory in MB; 0 if the process does not run.
    std::size_t memory_mb() const
    {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
        std::string word;
        while (file >> word)
        {
            std::size_t kb = 0;
            if (word == "VmRSS:" && file >> kb)
                return kb / 1024;
        }
        return 0;
    }

    bool is_ready() const
    {
        return call(ready_, "GET", "/tanagertrack/ready", "", "",
                    milliseconds(500))
                   .status == 200;
    }

    bool wait_until_ready(milliseconds timeout) const
    {
        const auto deadline = steady::now() + timeout;
        while (!is_ready())
        {
            if (steady::now() >= deadline)
                return false;
            std::this_thread::sleep_for(milliseconds(50));
        }
        return true;
    }

    const std::string& name() const
    {
        return name_;
    }

    std::uint16_t front() const
    {
        return front_;
    }

    std::uint16_t control() const
    {
        return control_;
    }

    const machine& size() const
    {
        return size_;
    }

    /// Last lines of the process's log that contain `text`.
    std::vector<std::string> log_lines(const std::string& text,
                                       std::size_t most) const
    {
        std::ifstream file(folder_ / (name_ + ".log"));
        std::deque<std::string> found;
        for (std::string line; std::getline(file, line);)
        {
            if (line.find(text) == line.npos)
                continue;
            found.push_back(line);
            if (found.size() > most)
                found.pop_front();
        }
        return {found.begin(), found.end()};
    }

private:
    void write_settings(const std::string& path,
                        const std::vector<std::uint16_t>& seeds) const
    {
        const auto local = [](std::uint16_t port)
        {
            return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
        };
        std::ofstream out(path);
        out << "role: entry\ncallers: platform\nname: \"" << name_
            << "\"\naddress: 127.0.0.1\ndata_centre: \"poa-a\"\n"
               "region: \"rs-sul\"\nregions:\n  \"poa-a\": \"rs-sul\"\n"
               "platform:\n  store: "
            << local(store_) << "  front: " << local(front_)
            << "  ready: " << local(ready_)
            << "store:\n  partitions: 12\n  max_record_bytes: 262144\n"
               "  max_append_bytes: 2097152\n  min_session_ms: 1000\n"
               "  retention_s: 300\npeer:\n  port: "
            << peer_ << "\n  control: " << local(control_) << "  entries:\n";
        for (const auto port : seeds)
            out << "    - " << local(port);
        out << "batch:\n  result_retention_s: 120\nrouting:\n"
               "  failure_detection: shared\nprocess:\n  memory_mb: "
            << size_.memory_mb << "\n  max_descriptors: " << size_.max_fds
            << "\nstop:\n  grace_s: 8\nteams:\n  quota_window_s: 0\n";
    }

    std::string name_;
    std::filesystem::path folder_;
    std::uint16_t store_;
    machine size_;
    std::uint16_t front_;
    std::uint16_t ready_;
    std::uint16_t control_;
    std::uint16_t peer_;
    pid_t pid_ = 0;
};

/// Figures of sites/retorno-sul.toml.
inline const char* const configuration_text = R"({"version":7,"routes":[
{"name":"r-chat","host":"h.example","pathPrefix":"/chat/","kind":"stream",
 "timeoutMs":5000,"targetLatencyMs":300,"priority":0,"service":"lm",
 "maxAttempts":2,"sticky":true,"resumable":true,"gapAimMs":600},
{"name":"r-draft","host":"h.example","pathPrefix":"/draft/","kind":"stream",
 "timeoutMs":5000,"targetLatencyMs":300,"priority":0,"service":"lm",
 "maxAttempts":1,"sticky":true,"resumable":false,"gapAimMs":600},
{"name":"r-batch","host":"h.example","pathPrefix":"/batch/","kind":"batch",
 "timeoutMs":15000,"targetLatencyMs":400,"priority":2,"service":"lm",
 "maxAttempts":3,"dueMs":18000,"queueTtlS":120,"cap":2600000},
{"name":"r-label","host":"h.example","pathPrefix":"/label/",
 "kind":"idempotent","timeoutMs":3000,"targetLatencyMs":300,"priority":2,
 "service":"app","maxAttempts":2}],
"services":[{"name":"lm","healthPath":"/health","maxConns":370,
 "protocol":"h1","tls":false,"engine":{"slots":8,"kvCapacity":101495,
 "models":[{"name":"m"}]}},
{"name":"app","healthPath":"/health","maxConns":110,"protocol":"h1",
 "tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
 "headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

struct fleet
{
    fleet(record& log, unsigned entry_count, unsigned engine_count,
          const engine::settings& engine_values, entry::machine size = {})
        : log_(log)
    {
        char name[] = "/tmp/review-3-XXXXXX";
        folder = ::mkdtemp(name);
        platform.put("keyed.op", "config", configuration_text);
        for (unsigned n = 0; n < engine_count; ++n)
        {
            auto values = engine_values;
            values.id = "i-" + std::to_string(n);
            engines.push_back(std::make_unique<engine>(values));
            platform.put("keyed.servers", values.id,
                         engines.back()->announcement("lm"));
        }
        engine::settings app;
        app.id = "i-app";
        app.slots = 6;
        engines.push_back(std::make_unique<engine>(app));
        platform.put("keyed.servers", app.id,
                     engines.back()->announcement("app"));
        for (unsigned n = 0; n < entry_count; ++n)
            entries.push_back(std::make_unique<entry>(
                "front-poa-a-" + std::to_string(n + 1), folder,
                platform.port(), size));
        for (auto& it : entries)
            it->start(seeds());
        for (auto& it : entries)
        {
            if (!it->wait_until_ready(milliseconds(10000)))
                throw std::runtime_error(it->name() + " does not start");
        }
        log_("%u entries and %u engines are ready; store on port %u",
             entry_count, engine_count, platform.port());
    }

    ~fleet()
    {
        entries.clear();
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
    }

    std::vector<std::uint16_t> seeds() const
    {
        std::vector<std::uint16_t> out;
        for (const auto& it : entries)
            out.push_back(it->control());
        out.resize(std::min<std::size_t>(out.size(), 3));
        return out;
    }

    std::filesystem::path folder;
    store platform;
    std::vector<std::unique_ptr<engine>> engines;
    std::vector<std::unique_ptr<entry>> entries;

private:
    record& log_;
};

// ---- batch jobs ----

struct batch_item
{
    std::string id = random_id();
    std::string body;
    unsigned tokens = 593;
};

struct batch_job
{
    std::string id = random_id();
    std::vector<batch_item> items;
};

inline std::string submission_body(const batch_job& job)
{
    std::string out = R"({"items":[)";
    for (const auto& it : job.items)
    {
        out += out.back() == '[' ? "" : ",";
        out += R"({"id":")" + it.id + R"(","path":"/batch/3/)" + it.id +
               R"(","headers":{"X-Tanagertrack-Model":"m",)" +
               R"("X-Tanagertrack-Token-Usage":"350,243",)" +
               R"("X-Tanagertrack-Prompt-Prefix":"9c2e41:100,)" +
               it.id.substr(0, 8) + R"(:250"},"body":")" +
               encode_base64(it.body) + R"(","tokenCount":)" +
               std::to_string(it.tokens) + "}";
    }
    return out + "]}";
}

inline answer submit(std::uint16_t port, const batch_job& job)
{
    return call(port, "POST", "/batch/" + job.id,
                "Host: h.example\r\nX-Tanagertrack-Request-Id: " + job.id +
                    "\r\nX-Tanagertrack-Deadline-Ms: 4000\r\n"
                    "Content-Type: application/json\r\n",
                submission_body(job), milliseconds(5500));
}

inline answer read_results(std::uint16_t port, const std::string& job,
                           std::size_t after = 0)
{
    return call(port, "GET",
                "/tanagertrack/lots/" + job + "?after=" + std::to_string(after),
                "Host: h.example\r\n", "", milliseconds(2500));
}

inline std::string random_bytes(std::size_t n)
{
    std::mt19937_64 engine(std::random_device{}());
    std::string out(n, '\0');
    for (std::size_t i = 0; i + 8 <= n; i += 8)
    {
        const auto word = engine();
        std::memcpy(out.data() + i, &word, 8);
    }
    return out;
}

} // namespace review

#endif
