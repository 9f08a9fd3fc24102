#include "bench/emulation_settings.hpp"

#include <map>
#include <sstream>

namespace tanagertrack::bench
{

namespace
{

constexpr std::int64_t max_count = 1000;
constexpr std::int64_t hour_ms = 3600000;
constexpr double max_rate = 100000;
constexpr double max_tokens = 1000000;

void add_fleet(config::setting_table& table, fleet_settings& it)
{
    table.add_integer("fleet.entries", it.entries, 1, max_count,
                      "number of entries");
    table.add_integer("fleet.targets", it.targets, 1, max_count,
                      "number of targets");
    table.add_integer("fleet.slots", it.slots, 1, max_count,
                      "requests that a target runs at the same time");
    table.add_real("fleet.step_ms", it.step_ms, 0.01, 1000,
                   "duration of a step of a target, in ms");
    table.add_real("fleet.step_ms_per_request", it.step_ms_per_request, 0, 1000,
                   "time that each running request adds to a step, in ms");
    table.add_real("fleet.tokens_per_event", it.tokens_per_event, 1, 1000,
                   "tokens per event");
    table.add_real("fleet.prompt_tokens_per_ms", it.prompt_tokens_per_ms, 0.01,
                   max_tokens, "prompt tokens read per millisecond");
    table.add_real("fleet.noise_share", it.noise_share, 0, 0.9,
                   "share of the time in which neighbours slow a target");
    table.add_real("fleet.noise_slowdown", it.noise_slowdown, 1, 100,
                   "factor by which they slow it");
    table.add_ms("fleet.noise_time_ms", it.noise_time, 1, hour_ms,
                 "duration of one slow period");
    table.add_ms("fleet.message_interval_ms", it.message_interval, 1, 10000,
                 "interval between two load messages of an entry");
    table.add_ms("fleet.message_delay_ms", it.message_delay, 0, 10000,
                 "transmission time of a load message");
}

void add_online(config::setting_table& table, online_load& it)
{
    table.add_real("online.per_second", it.per_second, 0, max_rate,
                   "mean requests per second");
    table.add_real("online.low", it.low, 0, 100,
                   "lower rate as a factor of per_second");
    table.add_real("online.high", it.high, 0, 100,
                   "higher rate as a factor of per_second");
    table.add_ms("online.low_time_ms", it.low_time, 1, hour_ms,
                 "duration of the lower rate");
    table.add_ms("online.high_time_ms", it.high_time, 1, hour_ms,
                 "duration of the higher rate");
    table.add_real("online.events", it.events, 1, max_tokens,
                   "mean number of events of a response");
    table.add_real("online.prompt_tokens", it.prompt_tokens, 0, max_tokens,
                   "tokens of the prompt of a request");
    table.add_ms("online.objective_ms", it.objective, 1, hour_ms,
                 "time within which the first event is due");
}

void add_batch(config::setting_table& table, batch_load& it)
{
    table.add_real("batch.jobs_per_second", it.jobs_per_second, 0, max_rate,
                   "jobs per second");
    table.add_integer("batch.items", it.items, 1, 10000, "items per job");
    table.add_real("batch.events", it.events, 1, max_tokens,
                   "mean number of events of an item");
    table.add_real("batch.spread", it.spread, 0, 1,
                   "standard deviation of events as a fraction of the mean");
    table.add_real("batch.prompt_tokens", it.prompt_tokens, 0, max_tokens,
                   "tokens of the prompt of an item");
    table.add_ms("batch.due_after_ms", it.due_after, 1, hour_ms,
                 "time from a job's arrival until its items are due");
}

void add_policy(config::setting_table& table, policy_settings& it)
{
    table.add_choice("policy.placement", it.placement,
                     {"expected_start", "two_choices", "round_robin", "random"},
                     "policy that chooses targets for online requests");
    table.add_choice("policy.order", it.order, {"urgency", "due", "by_entry"},
                     "order in which waiting items get free slots");
    table.add_integer("policy.reserve", it.reserve, 0, 1000,
                      "slots of each target that batch items leave free");
    table.add_ms("policy.progress_after_ms", it.progress_after, 0, hour_ms,
                 "run time after which progress is recorded; 0: never");
}

std::chrono::milliseconds to_ms(double seconds)
{
    constexpr double ms_per_second = 1000;
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(seconds * ms_per_second));
}

} // namespace

std::optional<fault> parse_fault(std::string_view text)
{
    std::istringstream in{std::string(text)};
    std::string kind;
    std::string rest;
    double at_s = 0;
    double length_s = 0;
    fault it;
    if (!(in >> kind >> at_s >> length_s >> it.count) || in >> rest)
        return std::nullopt;
    if (kind == "targets_down")
        it.failure = fault::kind::targets_down;
    else if (kind == "targets_slow")
        it.failure = fault::kind::targets_slow;
    else if (kind == "entries_down")
        it.failure = fault::kind::entries_down;
    else
        return std::nullopt;
    if (at_s < 0 || length_s <= 0 || it.count == 0)
        return std::nullopt;
    it.at = to_ms(at_s);
    it.length = to_ms(length_s);
    return it;
}

std::vector<config::setting_error> read_emulation(emulation_settings& settings,
                                                  std::string_view file,
                                                  std::string_view text)
{
    config::setting_table table;
    std::map<std::string, std::string> faults;
    add_fleet(table, settings.fleet);
    add_online(table, settings.online);
    add_batch(table, settings.batch);
    add_policy(table, settings.policy);
    constexpr std::size_t max_fault_bytes = 100;
    table.add_texts("troubles", faults, max_fault_bytes,
                    "injected faults by name: KIND AT_S FOR_S COUNT");
    table.add_ms("length_ms", settings.length, 1, hour_ms, "simulated time");
    table.add_integer("seed", settings.seed, 0, INT64_MAX,
                      "seed of the random numbers");
    auto errors = table.read(file, text);
    for (const auto& [name, value] : faults)
    {
        if (const auto parsed = parse_fault(value))
            settings.faults.push_back(*parsed);
        else
            errors.push_back(
                {std::string(file), 0, "troubles." + name,
                 "expected KIND AT_S FOR_S COUNT, where KIND is targets_down, "
                 "targets_slow or entries_down, AT_S is at least 0, and FOR_S "
                 "and COUNT are greater than 0, found '" +
                     value + "'"});
    }
    return errors;
}

} // namespace tanagertrack::bench
