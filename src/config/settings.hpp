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

/// Addresses on the users' platform.
struct platform_settings
{
    /// The metadata store.
    common::endpoint store;

    /// Listeners for callers and for the platform's readiness check, where the
    /// callers speak the platform's protocol.
    common::endpoint front;
    common::endpoint ready;
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

/// What entries say to each other.
struct peer_settings
{
    /// UDP port of the exchange of load.
    std::uint16_t port = 0;

    /// Listener for entries that start while the store is away, and those of
    /// others.
    common::endpoint control;
    std::vector<common::endpoint> entries;
};

/// Batch work on an entry.
struct batch_settings
{
    std::string order = "urgency";
    std::size_t max_items_per_job = 140000;
    std::uint32_t reserved_slots = 1;
    std::size_t max_unrecorded_results = 4096;
    std::size_t max_unrecorded_bytes = 16UL * 1024 * 1024;
    std::uint32_t max_attempts = 4;
    std::chrono::milliseconds attempt_timeout{120000};
    std::chrono::milliseconds result_flush_interval{100};
    std::chrono::milliseconds progress_interval{500};
    std::chrono::milliseconds key_retention{86400000};
    std::chrono::milliseconds result_retention{86400000};
};

/// Online routing on an entry.
struct routing_settings
{
    std::string policy = "expected_start";
    std::size_t max_targets = 0;
    double retry_ratio = 0.2;
    double retry_burst = 100;
    std::uint32_t max_attempts = 3;
    double default_requests_per_second = 50;
    std::uint32_t default_burst = 100;
};

/// Planned stop.
struct stop_settings
{
    std::chrono::milliseconds grace{30000};

    /// Time for which new callers are still taken: balancers need to learn
    /// that the entry stops.
    std::chrono::milliseconds listen{3000};
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
    std::size_t max_metric_series = 1000;
    platform_settings platform;
    store_settings store;
    front_settings front;
    operator_settings operators;
    peer_settings peer;
    batch_settings batch;
    routing_settings routing;
    stop_settings stop;
};

/// The table that reads into `target`, which outlives it.
setting_table make_setting_table(settings& target);

/// Keys of the settings that differ.
std::vector<std::string> changed_keys(const settings& a, const settings& b);

/// Takes over from `next` what can change while a process runs: stopping,
/// limits and order of batch work, rates of teams without one, other entries,
/// regions. Returns the keys of what else differs, which needs a restart.
std::vector<std::string> take_changes(settings& current, const settings& next);

/// Reads and checks a file's text, including what each role needs. Returns
/// all errors; `target` is only to be used when there are none.
std::vector<setting_error>
read_settings(std::string_view file, std::string_view text, settings& target);

} // namespace tanagertrack::config

#endif
