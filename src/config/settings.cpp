#include "config/settings.hpp"

namespace tanagertrack::config
{

namespace
{

constexpr std::int64_t max_port = 65535;
constexpr std::int64_t hour_ms = 3600000;
constexpr double day_s = 86400;
constexpr std::int64_t max_job_bytes = 1LL << 32;
constexpr std::int64_t max_body_bytes = 64LL * 1024 * 1024;

void add_process(setting_table& table, settings& values)
{
    table.add_choice("role", values.role, {"entry"}, "role of the process");
    table.require();
    table.add_choice("callers", values.callers, {"own", "platform"},
                     "protocol of the callers and operators");
    table.add("name", values.name, "name of the process, unique in the fleet",
              64);
    table.require();
    table.add_ip("address", values.address, "IP number of the listeners");
    table.require();
    table.add("data_centre", values.data_centre, "data centre of the host", 64);
    table.require();
    table.add("region", values.region, "region of the host", 64);
    table.require();
    table.add_texts("regions", values.regions, 64,
                    "region of each data centre that is in another one");
    table.add("cluster_key", values.cluster_key,
              "secret shared by all processes of the fleet");
    table.add_integer("max_metric_series", values.max_metric_series, 10, 100000,
                      "series of a metric; further teams share one series");
}

void add_limits(setting_table& table, process_settings& values)
{
    table.add_integer("process.memory_mb", values.memory_mb, 0, 1048576,
                      "memory of the host; 0: not known");
    table.add_integer("process.max_buffered_bytes", values.max_buffered_bytes,
                      0, 1LL << 40,
                      "bytes held for callers; 0: a quarter of the memory, or "
                      "64 MB where it is not known");
    table.add_integer("process.max_descriptors", values.max_descriptors, 0,
                      10000000,
                      "open descriptors, of which 200 are kept for files; 0: "
                      "not known");
}

void add_platform(setting_table& table, platform_settings& values)
{
    table.add_endpoint("platform.store", values.store, "the metadata store");
    table.require();
    table.add_endpoint("platform.front", values.front,
                       "listener for callers of the platform");
    table.add_endpoint("platform.ready", values.ready,
                       "listener for the platform's readiness check");
}

void add_store(setting_table& table, store_settings& values)
{
    table.add_integer("store.partitions", values.partitions, 1, 4096,
                      "partitions of each topic");
    table.add_integer("store.max_record_bytes", values.max_record_bytes, 1024,
                      16777216, "largest record");
    table.add_integer("store.max_append_bytes", values.max_append_bytes, 1024,
                      67108864, "records of one append");
    table.add_seconds("store.retention_s", values.retention, 1, 365 * day_s,
                      "time for which records are kept");
    table.add_ms("store.min_session_ms", values.min_session, 10, 60000,
                 "shortest session time-out of a group's member");
    table.add_ms("store.call_timeout_ms", values.call_timeout, 10, 60000,
                 "time in which a call has to be answered");
    table.add_ms("store.targets_interval_ms", values.targets_interval, 0, 60000,
                 "shortest time between reads of the targets");
    table.add_ms("store.jobs_interval_ms", values.jobs_interval, 0, 60000,
                 "shortest time between reads of the jobs");
}

void add_front(setting_table& table, front_settings& values)
{
    table.add_integer("front.port", values.port, 1, max_port,
                      "port for callers (entry)");
    table.add_integer("front.max_connections", values.max_connections, 1, 65000,
                      "open connections; further ones are closed at once");
    table.add_integer("front.max_requests", values.max_requests, 1, 65000,
                      "requests in progress; further ones get overloaded");
    table.add_integer("front.max_header_bytes", values.max_header_bytes, 1024,
                      1048576, "header of a request");
    table.add_integer("front.max_body_bytes", values.max_body_bytes, 1024,
                      max_body_bytes, "body of a request other than a job");
    table.add_integer("front.max_line_bytes", values.max_line_bytes, 256,
                      16777216, "line of a job");
    table.add_integer("front.max_job_bytes", values.max_job_bytes, 1024,
                      max_job_bytes, "body of a job");
    table.add_ms("front.read_timeout_ms", values.read_timeout, 100, hour_ms,
                 "time without a byte from a caller");
    table.add_ms("front.write_timeout_ms", values.write_timeout, 100, hour_ms,
                 "time in which a caller reads nothing");
    table.add_ms("front.request_timeout_ms", values.request_timeout, 100,
                 hour_ms, "time for an online request");
}

void add_operators(setting_table& table, operator_settings& values)
{
    table.add_integer("operator.port", values.port, 1, max_port,
                      "port for operators (entry)");
    table.add("operator.key", values.key, "bearer key of operators (entry)");
}

void add_peer(setting_table& table, peer_settings& values)
{
    table.add_integer("peer.port", values.port, 1, max_port,
                      "UDP port on which entries tell each other their load");
    table.require();
    table.add_endpoint("peer.control", values.control,
                       "listener for entries that start");
    table.add_endpoints("peer.entries", values.entries, 64,
                        "control listeners of other entries, which are asked "
                        "for the configuration while the store is away");
}

void add_batch(setting_table& table, batch_settings& values)
{
    table.add_choice("batch.order", values.order,
                     {"urgency", "due", "by_entry"},
                     "who gets free places: the most urgent items of all "
                     "entries that can be in time; baselines: those that are "
                     "due first, or each entry in its turn");
    table.add_integer("batch.max_items_per_job", values.max_items_per_job, 1,
                      10000000, "items of a job");
    table.add_integer("batch.reserved_slots", values.reserved_slots, 0, 1000,
                      "places of each target that items leave free, at most a "
                      "quarter");
    table.add_integer("batch.max_unrecorded_results",
                      values.max_unrecorded_results, 1, 1000000,
                      "results waiting for the store; above it no item starts");
    table.add_integer("batch.max_unrecorded_bytes", values.max_unrecorded_bytes,
                      65536, 16777216,
                      "bytes of results waiting for the store; above it no "
                      "item starts");
    table.add_integer("batch.max_attempts", values.max_attempts, 1, 100,
                      "failures after which an item is given up");
    table.add_ms("batch.attempt_timeout_ms", values.attempt_timeout, 100,
                 24 * hour_ms, "time without a byte of an item's whole answer");
    table.add_ms("batch.result_flush_interval_ms", values.result_flush_interval,
                 1, 10000,
                 "time that a result waits to be recorded with others");
    table.add_ms("batch.progress_interval_ms", values.progress_interval, 0,
                 60000,
                 "shortest time between records of what running items have "
                 "reached; 0: none are written");
    table.add_seconds("batch.key_retention_s", values.key_retention, 1,
                      30 * day_s, "time for which idempotency keys are known");
    table.add_seconds("batch.result_retention_s", values.result_retention, 1,
                      30 * day_s, "time for which results are readable");
}

void add_routing(setting_table& table, routing_settings& values)
{
    table.add_choice("routing.policy", values.policy,
                     {"expected_start", "two_choices", "round_robin", "random"},
                     "choice of target; the last three are baselines");
    table.add_choice("routing.failure_detection", values.failure_detection,
                     {"own", "shared"},
                     "shared: entries tell each other at which targets they "
                     "lose requests, and send those that can't be repeated "
                     "elsewhere for a while");
    table.add_choice("routing.capacity", values.capacity,
                     {"announced", "learned"},
                     "capacity of targets: their announced slots, or in "
                     "addition speed and knee learned from requests");
    table.add_integer("routing.max_attempts", values.max_attempts, 1, 10,
                      "targets on which one online request may run");
    table.add_real("routing.default_requests_per_second",
                   values.default_requests_per_second, 0.01, 1e6,
                   "rate of a team that configuration gives none");
    table.add_integer("routing.default_burst", values.default_burst, 1, 1000000,
                      "burst of a team that configuration gives none");
}

void add_teams(setting_table& table, team_settings& values)
{
    table.add_ms("teams.max_view_age_ms", values.max_view_age, 0, 600000,
                 "age of the configuration above which requests that need a "
                 "team's key are refused, because it may have been revoked; 0: "
                 "no bound");
    table.add_seconds("teams.quota_window_s", values.quota_window, 0, 3600,
                      "any window of this length may hold a team's rate and "
                      "burst; 0: the burst refills at the rate only");
}

void add_error_unless(std::vector<setting_error>& errors, std::string_view file,
                      bool valid, std::string_view key,
                      std::string_view message)
{
    if (!valid)
        errors.push_back(
            {std::string(file), 0, std::string(key), std::string(message)});
}

/// Checks constraints that involve several keys.
void check_combinations(std::string_view file, const settings& values,
                        std::vector<setting_error>& errors)
{
    const auto require = [&](bool given, std::string_view key)
    {
        add_error_unless(errors, file, given, key,
                         "missing; required when callers is '" +
                             values.callers + "'");
    };
    if (values.callers == "platform")
    {
        require(values.platform.front.port != 0, "platform.front");
        require(values.platform.ready.port != 0, "platform.ready");
    }
    else
    {
        require(values.front.port != 0, "front.port");
        require(values.operators.port != 0, "operator.port");
        require(!values.operators.key.empty(), "operator.key");
        require(!values.cluster_key.empty(), "cluster_key");
    }
    add_error_unless(
        errors, file, values.stop.listen < values.stop.grace, "stop.listen_s",
        "expected less than stop.grace_s (" +
            std::to_string(values.stop.grace.count()) + " ms), found " +
            std::to_string(values.stop.listen.count()) + " ms");
}

} // namespace

setting_table make_setting_table(settings& values)
{
    setting_table table;
    add_process(table, values);
    add_limits(table, values.process);
    add_platform(table, values.platform);
    add_store(table, values.store);
    add_front(table, values.front);
    add_operators(table, values.operators);
    add_peer(table, values.peer);
    add_batch(table, values.batch);
    add_routing(table, values.routing);
    add_teams(table, values.teams);
    table.add_seconds("stop.grace_s", values.stop.grace, 0.1, 3600,
                      "time in which a planned stop ends");
    table.add_seconds("stop.listen_s", values.stop.listen, 0, 3600,
                      "time for which a stopping entry takes new callers");
    return table;
}

std::vector<setting_error>
read_settings(std::string_view file, std::string_view text, settings& values)
{
    auto table = make_setting_table(values);
    auto errors = table.read(file, text);
    if (errors.empty())
        check_combinations(file, values, errors);
    return errors;
}

} // namespace tanagertrack::config
