#ifndef TANAGERTRACK_CONFIG_SETTINGS_HPP
#define TANAGERTRACK_CONFIG_SETTINGS_HPP

#include "common/endpoint.hpp"
#include "config/setting_table.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::config
{

/// The platform's services.
struct platform_settings
{
    /// The metadata store.
    common::endpoint store;

    /// Listeners for callers and for the platform's readiness check, where the
    /// callers speak the platform's protocol.
    common::endpoint front;
    common::endpoint ready;
    common::endpoint control;

    /// Control listeners of other processes; some may be down.
    std::vector<common::endpoint> seeds;

    common::endpoint log;
    common::endpoint hosts;
    common::endpoint weights;
    std::chrono::milliseconds log_timeout{2000};
    std::chrono::milliseconds log_read_wait{1000};
    std::size_t max_record_bytes = 256 * 1024;
    std::chrono::milliseconds hosts_interval{2000};
};

/// Limits that the store states, and the rates at which it is used.
struct store_settings
{
    std::uint32_t partitions = 8;
    std::size_t max_record_bytes = 256UL * 1024;
    std::size_t max_append_bytes = 2UL * 1024 * 1024;
    std::chrono::milliseconds retention{300000};
    std::chrono::milliseconds min_session{1000};
    std::chrono::milliseconds call_timeout{1500};

    /// Time between two reads of the list of targets, and of the jobs.
    std::chrono::milliseconds targets_interval{500};
    std::chrono::milliseconds jobs_interval{300};
};

/// Listener for callers, on an entry.
struct front_settings
{
    std::uint16_t port = 0;
    std::size_t max_connections = 4096;
    std::size_t max_requests = 4096;
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 1024 * 1024;
    std::size_t max_line_bytes = 256 * 1024;
    std::size_t max_job_bytes = 1024UL * 1024 * 1024;
    std::chrono::milliseconds read_timeout{10000};
    std::chrono::milliseconds write_timeout{10000};
    std::chrono::milliseconds request_timeout{120000};
};

/// Listener for operators, on an entry.
struct operator_settings
{
    std::uint16_t port = 0;
    std::string key;
};

/// Listener and connections between own processes.
struct peer_settings
{
    std::uint16_t port = 0;
    std::size_t send_buffer_bytes = 256 * 1024;
    std::chrono::milliseconds ping_interval{2000};
    std::chrono::milliseconds ping_timeout{2000};
    std::vector<common::endpoint> entries;
};

/// Batch work on an entry.
struct batch_settings
{
    std::uint32_t partitions = 8;
    std::chrono::milliseconds heartbeat_interval{1000};
    std::chrono::milliseconds lease_duration{3000};
    std::size_t max_jobs = 4096;
    std::size_t max_items = 2000000;
    std::size_t max_items_per_job = 140000;
    std::size_t max_in_flight = 1024;
    std::size_t max_unrecorded_results = 4096;
    std::size_t max_unrecorded_bytes = 32 * 1024 * 1024;
    std::uint32_t max_attempts = 4;
    std::chrono::milliseconds attempt_timeout{120000};
    std::chrono::milliseconds result_flush_interval{200};
    std::chrono::milliseconds key_retention{86400000};
    std::chrono::milliseconds result_retention{86400000};
    std::chrono::milliseconds log_retention{172800000};
    std::string order = "fair_deadline";
};

/// Online routing on an entry.
struct routing_settings
{
    std::string policy = "two_choices";
    std::uint32_t subset_size = 20;
    double retry_budget = 0.1;
    std::string slow_targets = "avoid";
    std::uint32_t max_attempts = 3;
    double default_requests_per_second = 50;
    std::uint32_t default_burst = 100;
};

/// The target beside an agent.
struct agent_settings
{
    std::string target;
    std::string kind = "engine";
    common::endpoint target_address;
    std::uint32_t slots = 16;
    std::string admission = "online_first";
    std::uint32_t online_reserve = 2;
    std::uint32_t batch_stock = 16;
    std::uint32_t max_queued_online = 256;
    std::uint16_t admin_port = 0;
};

/// Planned stop.
struct stop_settings
{
    std::chrono::milliseconds grace{30000};
};

/// All settings of a daemon.
struct settings
{
    std::string role;

    /// Protocol of the callers: "own" or "platform".
    std::string callers = "own";
    std::string name;
    std::string address;
    std::string data_centre;
    std::string region;

    /// Region of each data centre; others are in `region`.
    std::map<std::string, std::string> regions;
    std::string cluster_key;
    std::size_t ring_capacity = 8192;
    std::size_t max_metric_series = 1000;
    platform_settings platform;
    store_settings store;
    front_settings front;
    operator_settings operators;
    peer_settings peer;
    batch_settings batch;
    routing_settings routing;
    agent_settings agent;
    stop_settings stop;
};

/// The table that reads into `target`, which outlives it.
setting_table make_setting_table(settings& target);

/// Reads and checks a file's text, including what each role needs. Returns
/// all errors; `target` is only to be used when there are none.
std::vector<setting_error>
read_settings(std::string_view file, std::string_view text, settings& target);

} // namespace tanagertrack::config

#endif
