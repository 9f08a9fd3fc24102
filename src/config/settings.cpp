#include "config/settings.hpp"

namespace tanagertrack::config
{

namespace
{

constexpr std::int64_t max_port = 65535;
constexpr std::int64_t hour_ms = 3600000;
constexpr double day_s = 86400;
constexpr std::int64_t max_bytes = 1LL << 32;

constexpr std::int64_t max_body_bytes = 64LL * 1024 * 1024;

void add_process(setting_table& table, settings& it)
{
    table.add_choice("role", it.role, {"entry"}, "role of the process");
    table.require();
    table.add_choice("callers", it.callers, {"own", "platform"},
                     "protocol of the callers and operators");
    table.add("name", it.name, "name of the process, unique in the fleet", 64);
    table.require();
    table.add_ip("address", it.address, "IP number of the listeners");
    table.require();
    table.add("data_centre", it.data_centre, "data centre of the host", 64);
    table.require();
    table.add("region", it.region, "region of the host", 64);
    table.require();
    table.add_texts("regions", it.regions, 64,
                    "region of each data centre that is in another one");
    table.add("cluster_key", it.cluster_key,
              "secret shared by all processes of the fleet");
    table.add_integer("max_metric_series", it.max_metric_series, 10, 100000,
                      "series of a metric; further teams share one series");
}

void add_platform(setting_table& table, platform_settings& it)
{
    table.add_endpoint("platform.store", it.store, "the metadata store");
    table.require();
    table.add_endpoint("platform.front", it.front,
                       "listener for callers of the platform");
    table.add_endpoint("platform.ready", it.ready,
                       "listener for the platform's readiness check");
}

void add_store(setting_table& table, store_settings& it)
{
    table.add_integer("store.partitions", it.partitions, 1, 4096,
                      "partitions of each topic");
    table.add_integer("store.max_record_bytes", it.max_record_bytes, 1024,
                      16777216, "largest record");
    table.add_integer("store.max_append_bytes", it.max_append_bytes, 1024,
                      67108864, "records of one append");
    table.add_seconds("store.retention_s", it.retention, 1, 365 * day_s,
                      "time for which records are kept");
    table.add_ms("store.min_session_ms", it.min_session, 10, 60000,
                 "shortest session time-out of a group's member");
    table.add_ms("store.call_timeout_ms", it.call_timeout, 10, 60000,
                 "time in which a call has to be answered");
    table.add_ms("store.targets_interval_ms", it.targets_interval, 0, 60000,
                 "shortest time between reads of the targets");
    table.add_ms("store.jobs_interval_ms", it.jobs_interval, 0, 60000,
                 "shortest time between reads of the jobs");
}

void add_front(setting_table& table, front_settings& it)
{
    table.add_integer("front.port", it.port, 1, max_port,
                      "port for callers (entry)");
    table.add_integer("front.max_connections", it.max_connections, 1, 65000,
                      "open connections; further ones are closed at once");
    table.add_integer("front.max_requests", it.max_requests, 1, 65000,
                      "requests in progress; further ones get overloaded");
    table.add_integer("front.max_header_bytes", it.max_header_bytes, 1024,
                      1048576, "header of a request");
    table.add_integer("front.max_body_bytes", it.max_body_bytes, 1024,
                      max_body_bytes, "body of a request other than a job");
    table.add_integer("front.max_line_bytes", it.max_line_bytes, 256, 16777216,
                      "line of a job");
    table.add_integer("front.max_job_bytes", it.max_job_bytes, 1024, max_bytes,
                      "body of a job");
    table.add_ms("front.read_timeout_ms", it.read_timeout, 100, hour_ms,
                 "time without a byte from a caller");
    table.add_ms("front.write_timeout_ms", it.write_timeout, 100, hour_ms,
                 "time in which a caller reads nothing");
    table.add_ms("front.request_timeout_ms", it.request_timeout, 100, hour_ms,
                 "time for an online request");
}

void add_operators(setting_table& table, operator_settings& it)
{
    table.add_integer("operator.port", it.port, 1, max_port,
                      "port for operators (entry)");
    table.add("operator.key", it.key, "bearer key of operators (entry)");
}

void add_peer(setting_table& table, peer_settings& it)
{
    table.add_integer("peer.port", it.port, 1, max_port,
                      "UDP port on which entries tell each other their load");
    table.require();
    table.add_endpoint("peer.control", it.control,
                       "listener for entries that start");
    table.add_endpoints("peer.entries", it.entries, 64,
                        "control listeners of other entries, which are asked "
                        "for the configuration while the store is away");
}

void add_batch(setting_table& table, batch_settings& it)
{
    table.add_choice("batch.order", it.order, {"urgency", "due", "by_entry"},
                     "who gets free places: the most urgent items of all "
                     "entries that can be in time; baselines: those that are "
                     "due first, or each entry in its turn");
    table.add_integer("batch.max_items_per_job", it.max_items_per_job, 1,
                      10000000, "items of a job");
    table.add_integer("batch.reserved_slots", it.reserved_slots, 0, 1000,
                      "places of each target that items leave free, at most a "
                      "quarter");
    table.add_integer("batch.max_unrecorded_results", it.max_unrecorded_results,
                      1, 1000000,
                      "results waiting for the store; above it no item starts");
    table.add_integer("batch.max_unrecorded_bytes", it.max_unrecorded_bytes,
                      65536, 16777216,
                      "bytes of results waiting for the store; above it no "
                      "item starts");
    table.add_integer("batch.max_attempts", it.max_attempts, 1, 100,
                      "failures after which an item is given up");
    table.add_ms("batch.attempt_timeout_ms", it.attempt_timeout, 100,
                 24 * hour_ms, "time without a byte of an item's whole answer");
    table.add_ms("batch.result_flush_interval_ms", it.result_flush_interval, 1,
                 10000, "time that a result waits to be recorded with others");
    table.add_ms("batch.progress_interval_ms", it.progress_interval, 0, 60000,
                 "shortest time between records of what running items have "
                 "reached; 0: none are written");
    table.add_seconds("batch.key_retention_s", it.key_retention, 1, 30 * day_s,
                      "time for which idempotency keys are known");
    table.add_seconds("batch.result_retention_s", it.result_retention, 1,
                      30 * day_s, "time for which results are readable");
}

void add_routing(setting_table& table, routing_settings& it)
{
    table.add_choice("routing.policy", it.policy,
                     {"expected_start", "two_choices", "round_robin", "random"},
                     "choice of target; the last three are baselines");
    table.add_integer("routing.max_targets", it.max_targets, 0, 100000,
                      "targets of a service that this entry uses, nearer ones "
                      "more often; 0: all of them");
    table.add_real("routing.retry_ratio", it.retry_ratio, 0, 1,
                   "retries of online requests that targets may have run, for "
                   "each request; 0: none");
    table.add_real("routing.retry_burst", it.retry_burst, 1, 100000,
                   "retries that can be saved up");
    table.add_integer("routing.max_attempts", it.max_attempts, 1, 10,
                      "targets on which one online request may run");
    table.add_real("routing.default_requests_per_second",
                   it.default_requests_per_second, 0.01, 1e6,
                   "rate of a team that configuration gives none");
    table.add_integer("routing.default_burst", it.default_burst, 1, 1000000,
                      "burst of a team that configuration gives none");
}

void check(std::vector<setting_error>& errors, std::string_view file,
           bool accepted, std::string_view key, std::string_view message)
{
    if (!accepted)
        errors.push_back(
            {std::string(file), 0, std::string(key), std::string(message)});
}

/// Checks that concern several keys at once.
void check_needs(std::string_view file, const settings& it,
                 std::vector<setting_error>& errors)
{
    const auto need = [&](bool given, std::string_view key)
    {
        check(errors, file, given, key,
              "missing; callers: " + it.callers + " needs it");
    };
    if (it.callers == "platform")
    {
        need(it.platform.front.port != 0, "platform.front");
        need(it.platform.ready.port != 0, "platform.ready");
    }
    else
    {
        need(it.front.port != 0, "front.port");
        need(it.operators.port != 0, "operator.port");
        need(!it.operators.key.empty(), "operator.key");
        need(!it.cluster_key.empty(), "cluster_key");
    }
    check(errors, file, it.stop.listen < it.stop.grace, "stop.listen_s",
          "must be below stop.grace_s");
}

} // namespace

std::vector<std::string> changed_keys(const settings& a, const settings& b)
{
    auto left = a;
    auto right = b;
    const auto before = make_setting_table(left).values();
    const auto after = make_setting_table(right).values();
    std::vector<std::string> keys;
    for (const auto& [key, value] : before)
    {
        if (after.at(key) != value)
            keys.push_back(key);
    }
    return keys;
}

std::vector<std::string> take_changes(settings& current, const settings& next)
{
    current.stop = next.stop;
    current.regions = next.regions;
    current.peer.entries = next.peer.entries;
    current.batch.order = next.batch.order;
    current.batch.reserved_slots = next.batch.reserved_slots;
    current.batch.max_unrecorded_results = next.batch.max_unrecorded_results;
    current.batch.max_unrecorded_bytes = next.batch.max_unrecorded_bytes;
    current.batch.max_attempts = next.batch.max_attempts;
    current.batch.attempt_timeout = next.batch.attempt_timeout;
    current.batch.progress_interval = next.batch.progress_interval;
    current.routing.default_requests_per_second =
        next.routing.default_requests_per_second;
    current.routing.default_burst = next.routing.default_burst;
    return changed_keys(current, next);
}

setting_table make_setting_table(settings& target)
{
    setting_table table;
    add_process(table, target);
    add_platform(table, target.platform);
    add_store(table, target.store);
    add_front(table, target.front);
    add_operators(table, target.operators);
    add_peer(table, target.peer);
    add_batch(table, target.batch);
    add_routing(table, target.routing);
    table.add_seconds("stop.grace_s", target.stop.grace, 0.1, 3600,
                      "time in which a planned stop ends");
    table.add_seconds("stop.listen_s", target.stop.listen, 0, 3600,
                      "time for which a stopping entry takes new callers");
    return table;
}

std::vector<setting_error>
read_settings(std::string_view file, std::string_view text, settings& target)
{
    auto table = make_setting_table(target);
    auto errors = table.read(file, text);
    if (errors.empty())
        check_needs(file, target, errors);
    return errors;
}

} // namespace tanagertrack::config
