#include "config/settings.hpp"

namespace tanagertrack::config
{

namespace
{

constexpr std::int64_t max_port = 65535;
constexpr std::int64_t hour_ms = 3600000;
constexpr std::int64_t max_bytes = 1LL << 32;

/// A request has to fit into one message to its agent, with its head.
constexpr std::int64_t max_body_bytes = 3LL * 1024 * 1024;

void add_process(setting_table& table, settings& it)
{
    table.add_choice("role", it.role, {"entry", "agent"},
                     "role of the process");
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
    table.add_integer("ring_capacity", it.ring_capacity, 16, 65000,
                      "tasks in the ring of each thread; when full, new work "
                      "is refused with ring_full");
    table.add_integer("max_metric_series", it.max_metric_series, 10, 100000,
                      "series of a metric; further teams share one series");
}

void add_platform(setting_table& table, platform_settings& it)
{
    table.add_endpoint("platform.store", it.store, "the metadata store");
    table.add_endpoint("platform.front", it.front,
                       "listener for callers of the platform");
    table.add_endpoint("platform.ready", it.ready,
                       "listener for the platform's readiness check");
    table.add_endpoint("platform.control", it.control,
                       "listener for other processes that start");
    table.add_endpoints("platform.seeds", it.seeds, 16,
                        "control listeners of other processes");
    table.add_endpoint("platform.log", it.log, "the log service (entry)");
    table.add_endpoint("platform.hosts", it.hosts, "the host list");
    table.add_endpoint("platform.weights", it.weights, "the weight store");
    table.add_ms("platform.log_timeout_ms", it.log_timeout, 10, 60000,
                 "time after which an append without answer is sent again");
    table.add_ms("platform.log_read_wait_ms", it.log_read_wait, 10, 30000,
                 "time that a read waits for new records");
    table.add_integer("platform.max_record_bytes", it.max_record_bytes, 1024,
                      16777216, "largest record");
    table.add_ms("platform.hosts_interval_ms", it.hosts_interval, 100, 60000,
                 "time between reads of the host list");
}

void add_store(setting_table& table, store_settings& it)
{
    table.add_integer("store.partitions", it.partitions, 1, 4096,
                      "partitions of each topic");
    table.add_integer("store.max_record_bytes", it.max_record_bytes, 1024,
                      16777216, "largest record");
    table.add_integer("store.max_append_bytes", it.max_append_bytes, 1024,
                      67108864, "records of one append");
    table.add_ms("store.retention_ms", it.retention, 1000, 8760 * hour_ms,
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
                      "port for other processes of the fleet");
    table.add_integer("peer.send_buffer_bytes", it.send_buffer_bytes, 4096,
                      67108864, "bytes queued on a stream before it pauses");
    table.add_ms("peer.ping_interval_ms", it.ping_interval, 100, 60000,
                 "idle time after which a connection is probed");
    table.add_ms("peer.ping_timeout_ms", it.ping_timeout, 100, 60000,
                 "time after which a silent connection is closed");
    table.add_endpoints("peer.entries", it.entries, 64,
                        "other entries that are asked for the configuration "
                        "while the log is unavailable");
}

void add_batch(setting_table& table, batch_settings& it)
{
    table.add_integer("batch.partitions", it.partitions, 1, 4096,
                      "partitions of the batch work; the same in the fleet "
                      "and never changed");
    table.add_ms("batch.heartbeat_interval_ms", it.heartbeat_interval, 50,
                 60000, "time between heartbeats of a holder");
    table.add_ms(
        "batch.lease_duration_ms", it.lease_duration, 200, 300000,
        "time without heartbeat after which a partition is taken over");
    table.add_integer("batch.max_jobs", it.max_jobs, 1, 1000000,
                      "jobs kept by an entry; further ones get jobs_full");
    table.add_integer("batch.max_items", it.max_items, 1, 100000000,
                      "items kept by an entry; further jobs get jobs_full");
    table.add_integer("batch.max_items_per_job", it.max_items_per_job, 1,
                      10000000, "items of a job");
    table.add_integer("batch.max_in_flight", it.max_in_flight, 1, 65000,
                      "attempts that an entry runs at a time");
    table.add_integer("batch.max_unrecorded_results", it.max_unrecorded_results,
                      1, 1000000,
                      "results waiting for the log; above it no item starts");
    table.add_integer("batch.max_unrecorded_bytes", it.max_unrecorded_bytes,
                      65536, max_bytes,
                      "bytes of results waiting for the log; above it no item "
                      "starts");
    table.add_integer("batch.max_attempts", it.max_attempts, 1, 100,
                      "attempts after which an item fails");
    table.add_ms("batch.attempt_timeout_ms", it.attempt_timeout, 100,
                 24 * hour_ms, "time for one attempt of an item");
    table.add_ms("batch.result_flush_interval_ms", it.result_flush_interval, 1,
                 10000, "time that a result waits to be recorded with others");
    table.add_ms("batch.key_retention_ms", it.key_retention, 1000,
                 720 * hour_ms, "time for which idempotency keys are known");
    table.add_ms("batch.result_retention_ms", it.result_retention, 1000,
                 720 * hour_ms, "time for which results are readable");
    table.add_ms("batch.log_retention_ms", it.log_retention, 1000,
                 8760 * hour_ms, "time for which the log keeps records");
    table.add_choice("batch.order", it.order, {"fair_deadline", "fifo"},
                     "order in which items start; fifo is the baseline");
}

void add_routing(setting_table& table, routing_settings& it)
{
    table.add_choice("routing.policy", it.policy,
                     {"two_choices", "round_robin", "random"},
                     "choice of target; the last two are baselines");
    table.add_integer("routing.subset_size", it.subset_size, 1, 10000,
                      "targets that an entry connects to for each model");
    table.add_real("routing.retry_budget", it.retry_budget, 0, 1,
                   "retries for each request, on average");
    table.add_choice("routing.slow_targets", it.slow_targets,
                     {"avoid", "ignore"},
                     "whether slow targets get less; ignore is the baseline");
    table.add_integer("routing.max_attempts", it.max_attempts, 1, 10,
                      "attempts for one online request");
    table.add_real("routing.default_requests_per_second",
                   it.default_requests_per_second, 0.01, 1e6,
                   "rate of a team that configuration gives none");
    table.add_integer("routing.default_burst", it.default_burst, 1, 1000000,
                      "burst of a team that configuration gives none");
}

void add_agent(setting_table& table, agent_settings& it)
{
    table.add("agent.target", it.target, "name of the target (agent)", 64);
    table.add_choice("agent.kind", it.kind, {"engine", "service"},
                     "kind of the target");
    table.add_endpoint("agent.target_address", it.target_address,
                       "address of the target (agent)");
    table.add_integer("agent.slots", it.slots, 1, 4096,
                      "requests that the target carries at a time");
    table.add_choice("agent.admission", it.admission, {"online_first", "fifo"},
                     "admission to the target; fifo is the baseline");
    table.add_integer("agent.online_reserve", it.online_reserve, 0, 4096,
                      "slots that batch leaves free");
    table.add_integer("agent.batch_stock", it.batch_stock, 0, 4096,
                      "batch items that wait at the agent");
    table.add_integer("agent.max_queued_online", it.max_queued_online, 0, 65000,
                      "online requests that wait at the agent; further ones "
                      "are refused as not run");
    table.add_integer("agent.admin_port", it.admin_port, 1, max_port,
                      "port for health and metrics (agent)");
}

void check(std::vector<setting_error>& errors, std::string_view file,
           bool accepted, std::string_view key, std::string_view message)
{
    if (!accepted)
        errors.push_back(
            {std::string(file), 0, std::string(key), std::string(message)});
}

/// Checks that concern several keys at once.
void check_role(std::string_view file, const settings& it,
                std::vector<setting_error>& errors)
{
    const auto need = [&](bool given, std::string_view key)
    {
        check(errors, file, given, key,
              "missing; role " + it.role + " needs it");
    };
    if (it.role == "entry" && it.callers == "platform")
    {
        need(it.platform.store.port != 0, "platform.store");
        need(it.platform.front.port != 0, "platform.front");
        need(it.platform.ready.port != 0, "platform.ready");
    }
    else
        need(!it.cluster_key.empty(), "cluster_key");
    if (it.role == "entry" && it.callers == "own")
    {
        need(it.front.port != 0, "front.port");
        need(it.operators.port != 0, "operator.port");
        need(!it.operators.key.empty(), "operator.key");
        need(it.platform.log.port != 0, "platform.log");
    }
    if (it.role == "agent")
    {
        need(!it.agent.target.empty(), "agent.target");
        need(it.agent.target_address.port != 0, "agent.target_address");
        need(it.agent.admin_port != 0, "agent.admin_port");
    }
    check(errors, file,
          it.batch.lease_duration >= 2 * it.batch.heartbeat_interval,
          "batch.lease_duration_ms",
          "must be at least twice batch.heartbeat_interval_ms");
    check(errors, file, it.agent.online_reserve < it.agent.slots,
          "agent.online_reserve", "must be below agent.slots");
}

} // namespace

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
    add_agent(table, target.agent);
    table.add_ms("stop.grace_ms", target.stop.grace, 100, 3600000,
                 "time in which a planned stop ends");
    return table;
}

std::vector<setting_error>
read_settings(std::string_view file, std::string_view text, settings& target)
{
    auto table = make_setting_table(target);
    auto errors = table.read(file, text);
    if (errors.empty())
        check_role(file, target, errors);
    return errors;
}

} // namespace tanagertrack::config
