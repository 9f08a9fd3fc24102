#include "connection_cost.hpp"

#include "proto/peer.pb.h"
#include "transport/client_connection.hpp"
#include "transport/server.hpp"

#include <boost/asio/io_context.hpp>

#include <array>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <memory>
#include <sys/resource.h>
#include <unistd.h>
#include <vector>

namespace tanagertrack::bench
{

namespace
{

constexpr std::array<std::size_t, 4> connection_counts = {50, 100, 200, 400};
constexpr std::size_t messages_per_connection = 200;
constexpr std::uint16_t listen_port = 18931;
constexpr std::chrono::seconds idle_time(4);

/// Processor time of this process in seconds.
double cpu_seconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& time)
    {
        return static_cast<double>(time.tv_sec) +
               static_cast<double>(time.tv_usec) * 1e-6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// Resident memory of this process in bytes.
std::size_t resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

transport::transport_settings peer_settings()
{
    transport::transport_settings settings;
    settings.cluster_key = "bench";
    // The interval at the design scale: docs/CAPACITY.md.
    settings.ping_interval = std::chrono::milliseconds(10000);
    settings.ping_timeout = std::chrono::milliseconds(10000);
    return settings;
}

proto::AgentStatus typical_status()
{
    proto::AgentStatus status;
    status.set_target("lm-retorno-poa-a-0017");
    status.set_slots(32);
    status.set_running_online(12);
    status.set_running_batch(18);
    status.set_batch_credit(4);
    status.set_config_version(200000000);
    status.set_step_us(31000);
    status.set_first_token_us(420000);
    return status;
}

/// Client and server ends of many connections in one thread.
class connection_set
{
public:
    connection_set()
        : server_(context_, peer_settings(),
                  [this](transport::message_stream_ptr stream)
                  { accept(std::move(stream)); })
    {
        if (const auto ec = server_.listen({"127.0.0.1", listen_port}))
            std::fprintf(stderr, "listen: %s\n", ec.message().c_str());
    }

    /// Connects until there are `count` connections with a stream each.
    void grow(std::size_t count)
    {
        while (clients_.size() < count)
        {
            auto client = std::make_unique<transport::client_connection>(
                context_, peer_settings());
            auto* raw = client.get();
            transport::connection_hooks hooks;
            hooks.on_up = [this, raw]
            {
                open(*raw);
            };
            raw->start({"127.0.0.1", listen_port}, std::move(hooks));
            clients_.push_back(std::move(client));
        }
        run_until([&] { return accepted_.size() >= count; });
    }

    /// Sends one status from each server end and waits for all.
    void send_all(std::string_view message)
    {
        const auto expected = received_ + accepted_.size();
        for (const auto& stream : accepted_)
            stream->send(message);
        run_until([&] { return received_ >= expected; });
    }

    /// Runs the pings and timers only.
    void idle(std::chrono::seconds time)
    {
        context_.run_for(time);
    }

private:
    void open(transport::client_connection& client)
    {
        transport::stream_hooks hooks;
        hooks.on_message = [this](std::string_view)
        {
            ++received_;
        };
        opened_.push_back(client.open("/status", std::move(hooks)));
    }

    void accept(transport::message_stream_ptr stream)
    {
        stream->set_hooks({});
        accepted_.push_back(std::move(stream));
    }

    template<typename Condition>
    void run_until(Condition reached)
    {
        while (!reached())
            context_.run_one();
    }

    boost::asio::io_context context_;
    transport::server server_;
    std::vector<std::unique_ptr<transport::client_connection>> clients_;
    std::vector<transport::message_stream_ptr> opened_;
    std::vector<transport::message_stream_ptr> accepted_;
    std::size_t received_ = 0;
};

} // namespace

int run_connection_cost(int, char**)
{
    const auto message = typical_status().SerializeAsString();
    connection_set connections;
    const auto base_bytes = resident_bytes();

    std::printf(
        "| connections | bytes each end | CPU us a status message, both "
        "ends | idle CPU of a core, both ends |\n"
        "| --- | --- | --- | --- |\n");
    for (const auto count : connection_counts)
    {
        connections.grow(count);
        connections.send_all(message);

        const auto busy_start = cpu_seconds();
        for (std::size_t i = 0; i < messages_per_connection; ++i)
            connections.send_all(message);
        const auto busy = cpu_seconds() - busy_start;

        const auto idle_start = cpu_seconds();
        connections.idle(idle_time);
        const auto idle = cpu_seconds() - idle_start;

        const auto ends = static_cast<double>(2 * count);
        const auto messages =
            static_cast<double>(count * messages_per_connection);
        std::printf("| %zu | %.0f | %.2f | %.3f%% |\n", count,
                    static_cast<double>(resident_bytes() - base_bytes) / ends,
                    busy / messages * 1e6,
                    idle / static_cast<double>(idle_time.count()) * 100);
        std::fflush(stdout);
    }
    return 0;
}

} // namespace tanagertrack::bench
