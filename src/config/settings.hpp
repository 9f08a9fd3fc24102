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

/// Resources that the process may use. 0: not known.
struct process_settings
{
    /// Memory of the host in MB.
    std::size_t memory_mb = 0;

    /// Maximum bytes held for callers; 0: derived from `memory_mb`.
    std::size_t max_buffered_bytes = 0;

    /// Maximum number of open descriptors.
    std::size_t max_descriptors = 0;
};

/// Endpoints on the users' platform.
struct platform_settings
{
    /// The metadata store.
    common::endpoint store;

    /// Listeners for callers and for the platform's readiness check, used if
    /// `settings::callers` is "platform".
    common::endpoint front;
    common::endpoint ready;
};

/// Limits given by the metadata store, and the intervals at which it is read.
struct store_settings
{
    std::uint32_t partitions = 8;
    std::size_t max_record_bytes = 256UL * 1024;
    std::size_t max_append_bytes = 2UL * 1024 * 1024;
    std::chrono::milliseconds retention{300000};
    std::chrono::milliseconds min_session{1000};
    std::chrono::milliseconds call_timeout{1500};

    /// Minimum time between two reads of the list of targets, and of the jobs.
    std::chrono::milliseconds targets_interval{500};
    std::chrono::milliseconds jobs_interval{300};
};

/// Listener for callers of an entry.
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

/// Listener for operators of an entry.
struct operator_settings
{
    std::uint16_t port = 0;
    std::string key;
};

/// Communication between entries.
struct peer_settings
{
    /// UDP port on which entries exchange their load.
    std::uint16_t port = 0;

    /// Listener on which this entry sends its configuration to entries that
    /// start while the store is unavailable.
    common::endpoint control;

    /// Control listeners of the other entries.
    std::vector<common::endpoint> entries;
};

/// Batch processing on an entry.
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
    std::string failure_detection = "own";
    std::string capacity = "announced";
    std::uint32_t max_attempts = 3;
    double default_requests_per_second = 50;
    std::uint32_t default_burst = 100;
};

/// Keys and limits of teams.
struct team_settings
{
    /// Maximum age of the view of the configuration with which a request that
    /// needs a key is sent to a target; 0: no bound.
    std::chrono::milliseconds max_view_age{0};

    /// Window in which a team may send its rate and burst; 0: its burst refills
    /// at its rate.
    std::chrono::milliseconds quota_window{0};
};

/// Planned stop.
struct stop_settings
{
    /// Time within which the stop is complete.
    std::chrono::milliseconds grace{30000};

    /// Time for which new callers are still accepted, so that load balancers
    /// notice that the entry is stopping.
    std::chrono::milliseconds listen{3000};
};

/// All settings of a daemon. The table that make_setting_table returns declares
/// the key, range and meaning of each.
struct settings
{
    std::string role;

    /// Protocol of the callers: "own" or "platform".
    std::string callers = "own";
    std::string name;
    std::string address;
    std::string data_centre;
    std::string region;

    /// Regions of data centres; those not listed are in `region`.
    std::map<std::string, std::string> regions;
    std::string cluster_key;
    std::size_t max_metric_series = 1000;
    process_settings process;
    platform_settings platform;
    store_settings store;
    front_settings front;
    operator_settings operators;
    peer_settings peer;
    batch_settings batch;
    routing_settings routing;
    team_settings teams;
    stop_settings stop;
};

/// Returns the table that reads into `values`, which must outlive it.
setting_table make_setting_table(settings& values);

/// Parses and checks `text`, the content of `file`, including constraints that
/// involve several keys. Returns all errors; `values` must only be used if
/// there are none.
std::vector<setting_error>
read_settings(std::string_view file, std::string_view text, settings& values);

} // namespace tanagertrack::config

#endif
