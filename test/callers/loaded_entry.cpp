#include "callers/loaded_entry.hpp"

#include "callers/crowd.hpp"
#include "integration/eventually.hpp"
#include "integration/fleet.hpp"
#include "integration/loopback.hpp"
#include "integration/process.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <stdexcept>
#include <vector>

namespace tanagertrack::test
{

namespace
{

using namespace std::chrono_literals;

constexpr auto start_timeout = 20s;
constexpr auto answer_timeout = 20s;
constexpr std::size_t kb_in_mb = 1024;

const std::string program_folder = TANAGERTRACK_BINARY_DIR "/";

std::string process_settings()
{
    return "process:\n  memory_mb: " + std::to_string(memory_mb) +
           "\n  max_descriptors: " + std::to_string(max_descriptors) + "\n";
}

/// Record `config` of the platform's store.
constexpr auto configuration_record = R"({"topic":"keyed.op","key":"config",
    "value":{"version":1,"routes":[
    {"name":"c","host":"h","pathPrefix":"/c/","service":"s",
     "kind":"idempotent","maxAttempts":2,"timeoutMs":30000},
    {"name":"b","host":"h","pathPrefix":"/b/","service":"s","kind":"batch",
     "maxAttempts":2,"dueMs":18000,"cap":1000}],
    "services":[{"name":"s"}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
              "headerTimeoutMs":300000,"idleTimeoutMs":300000}}})";

/// An entry with the platform's interface, its store and one target.
class platform_entry
{
public:
    platform_entry()
    {
        char folder[] = "/tmp/tanagertrack-test-XXXXXX";
        if (::mkdtemp(folder) == nullptr)
            throw std::runtime_error("can't create a folder in /tmp");
        folder_ = folder;
        choose_ports();
        start_stand_in("store", store_port(), {"--kind", "store"});
        start_stand_in("t1", target_port(),
                       {"--kind", "service", "--id", "t1"});
        put(configuration_record);
        put(R"({"topic":"keyed.servers","key":"t1","value":{"service":"s",
                "zone":"a","slots":8,"state":"ready","seq":1,"born":1,
                "address":")" +
            loopback_address(target_port()) + "\"}}");
        write_settings();
        entry.emplace(std::vector<std::string>{program_folder + "tanagertrackd",
                                               folder_ + "/entry.yaml"},
                      folder_ + "/entry.log");
        if (!eventually(start_timeout,
                        [this]
                        {
                            return call_port(base_ + 2, {},
                                             {.target = "/tanagertrack/ready"})
                                       .status == 200;
                        }))
            throw std::runtime_error("the entry is not ready");
    }

    ~platform_entry()
    {
        entry.reset();
        stand_ins_.clear();
        std::filesystem::remove_all(folder_);
    }

    platform_entry(const platform_entry&) = delete;
    platform_entry& operator=(const platform_entry&) = delete;

    int store_port() const
    {
        return base_;
    }

    int caller_port() const
    {
        return base_ + 1;
    }

    std::optional<process> entry;

private:
    int target_port() const
    {
        return base_ + 5;
    }

    void choose_ports()
    {
        constexpr int used_ports = 6;
        std::uniform_int_distribution<int> range(0, port_count - used_ports);
        const auto all_free = [this]
        {
            for (int n = 0; n < used_ports; ++n)
            {
                if (!is_free(base_ + n))
                    return false;
            }
            return true;
        };
        do
            base_ = first_port + range(port_generator());
        while (!all_free());
    }

    void start_stand_in(const std::string& name, int port,
                        std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(),
                         {program_folder + "tanagertrack-standin", "--listen",
                          loopback_address(port)});
        stand_ins_.emplace_back(arguments, folder_ + "/" + name + ".log");
        if (!eventually(
                start_timeout,
                [port] {
                    return call_port(port, {}, {.target = "/healthz"}).status ==
                           200;
                }))
            throw std::runtime_error(name + " does not respond");
    }

    void put(const std::string& record) const
    {
        const auto answer = call_port(
            store_port(), {},
            {.method = "POST", .target = "/control/put", .body = record});
        if (answer.status != 200)
            throw std::runtime_error("record rejected: " + answer.body);
    }

    void write_settings() const
    {
        std::ofstream(folder_ + "/entry.yaml")
            << "role: entry\ncallers: platform\nname: e1\n"
               "address: 127.0.0.1\ndata_centre: a\nregion: r\n"
               "platform:\n  store: "
            << loopback_address(base_)
            << "\n  front: " << loopback_address(base_ + 1)
            << "\n  ready: " << loopback_address(base_ + 2)
            << "\npeer:\n  port: " << base_ + 3
            << "\n  control: " << loopback_address(base_ + 4) << "\n"
            << process_settings();
    }

    std::string folder_;
    int base_ = 0;
    std::vector<process> stand_ins_;
};

/// Returns the peak of the resident memory of a process in kB; 0 if it has
/// ended.
std::size_t peak_memory_kb(pid_t id)
{
    std::ifstream file("/proc/" + std::to_string(id) + "/status");
    std::string word;
    while (file >> word)
    {
        std::size_t value = 0;
        if (word == "VmHWM:" && file >> value)
            return value;
    }
    return 0;
}

std::size_t open_descriptors(pid_t id)
{
    std::size_t n = 0;
    std::error_code ec;
    const std::filesystem::directory_iterator folder(
        "/proc/" + std::to_string(id) + "/fd", ec);
    for ([[maybe_unused]] const auto& it : folder)
        ++n;
    return n;
}

} // namespace

std::ostream& operator<<(std::ostream& out, interface_kind kind)
{
    return out << (kind == interface_kind::own ? "own" : "platform");
}

struct loaded_entry::parts
{
    explicit parts(interface_kind kind)
    {
        if (kind == interface_kind::platform)
        {
            on_platform.emplace();
            return;
        }
        fleet_options options;
        options.entries = 1;
        options.engines = 1;
        options.services = 1;
        options.entry_settings = process_settings();
        options.front_settings = "  read_timeout_ms: 300000\n";
        own.emplace(std::move(options));
    }

    process& daemon()
    {
        return own ? own->process_of("entry-1") : *on_platform->entry;
    }

    std::optional<fleet> own;
    std::optional<platform_entry> on_platform;
};

loaded_entry::loaded_entry(interface_kind kind)
    : parts_(std::make_unique<parts>(kind))
{
    BOOST_TEST_CONTEXT("before the crowd")
    check();
    BOOST_TEST_MESSAGE("peak before the crowd: "
                       << peak_memory_kb(parts_->daemon().id()) << " kB");
}

loaded_entry::~loaded_entry() = default;

int loaded_entry::port() const
{
    return parts_->own ? parts_->own->caller_port(1)
                       : parts_->on_platform->caller_port();
}

std::string loaded_entry::service_head() const
{
    if (parts_->own)
        return "POST /v1/services/carico/echo HTTP/1.1\r\nHost: h\r\n"
               "Authorization: Bearer " +
               std::string(team_key) + "\r\n";
    return "POST /c/echo HTTP/1.1\r\nHost: h\r\n"
           "X-Tanagertrack-Request-Id: r1\r\n";
}

std::string loaded_entry::job_head() const
{
    if (parts_->own)
        return "POST /v1/batches HTTP/1.1\r\nHost: h\r\n"
               "Content-Type: application/jsonl\r\nAuthorization: Bearer " +
               std::string(team_key) + "\r\n";
    return "POST /b/job HTTP/1.1\r\nHost: h\r\n"
           "X-Tanagertrack-Request-Id: j1\r\n";
}

void loaded_entry::silence_store() const
{
    constexpr auto fault = R"({"silent":true})";
    if (parts_->own)
        return parts_->own->set_fault("store", fault);
    const auto answer = call_port(
        parts_->on_platform->store_port(), {},
        {.method = "POST", .target = "/control/fault", .body = fault});
    BOOST_REQUIRE(answer.status == 200);
}

void loaded_entry::check() const
{
    auto& daemon = parts_->daemon();
    const auto request = service_head() + "Connection: close\r\n"
                                          "Content-Length: 8\r\n\r\nordinary";
    std::string answer;
    const bool answered =
        eventually(answer_timeout,
                   [&]
                   {
                       answer = exchange_bytes(port(), request);
                       return answer.starts_with("HTTP/1.1 200") &&
                              answer.find("ordinary") != std::string::npos;
                   });
    BOOST_TEST(answered, "the ordinary request is not answered: " << answer);
    BOOST_TEST(!daemon.wait(0ms).has_value(), "the process has ended");
    const auto peak = peak_memory_kb(daemon.id());
    BOOST_TEST(peak > 0U);
    BOOST_TEST(peak <= memory_mb * kb_in_mb);
    BOOST_TEST(open_descriptors(daemon.id()) <= max_descriptors);
    BOOST_TEST_MESSAGE("peak: " << peak << " kB, descriptors: "
                                << open_descriptors(daemon.id()));
}

} // namespace tanagertrack::test
