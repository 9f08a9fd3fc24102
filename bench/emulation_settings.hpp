#ifndef TANAGERTRACK_BENCH_EMULATION_SETTINGS_HPP
#define TANAGERTRACK_BENCH_EMULATION_SETTINGS_HPP

#include "batch/environment.hpp"
#include "config/setting_table.hpp"
#include "routing/placement.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::bench
{

/// Entries and targets of the fleet. The defaults of the fleet and of its
/// load are those of retorno-sul, see bench/loads/retorno-sul.yaml.
struct fleet_settings
{
    std::size_t entries = 10;
    std::size_t targets = 18;
    std::uint32_t slots = 8;

    /// Duration of one step of a target without requests, and the time that
    /// each running request adds to it, in milliseconds.
    double step_ms = 2.6;
    double step_ms_per_request = 0.12;

    /// Number of tokens in one event. A step generates one token for each
    /// running request.
    double tokens_per_event = 7;

    /// Prompt tokens that a target reads per millisecond. It generates no
    /// tokens during that time.
    double prompt_tokens_per_ms = 48.2;

    /// Noisy neighbours of a target: share of the time (0 to 1) in which they
    /// slow it, the factor, and the duration of one period.
    double noise_share = 0.15;
    double noise_slowdown = 2.5;
    std::chrono::milliseconds noise_time{600};

    /// Interval between two load messages of an entry, and their transmission
    /// time.
    std::chrono::milliseconds message_interval{15};
    std::chrono::milliseconds message_delay{2};
};

/// Online traffic that alternates between two rates.
struct online_load
{
    /// Mean number of requests per second, to which `low` and `high` are
    /// relative.
    double per_second = 84;

    /// The two rates as factors of `per_second`, and the duration of each.
    double low = 0.378;
    double high = 1.85;
    std::chrono::milliseconds low_time{3000};
    std::chrono::milliseconds high_time{2200};

    /// Mean number of events of a response, and number of prompt tokens.
    double events = 35;
    double prompt_tokens = 450;

    /// Time from the arrival of a request within which its first event is due.
    std::chrono::milliseconds objective{300};
};

/// Batch jobs that arrive at a constant mean rate.
struct batch_load
{
    double jobs_per_second = 1.03;
    std::uint32_t items = 10;

    /// Mean number of events of an item, its standard deviation as a fraction
    /// of the mean, and number of prompt tokens.
    double events = 243;
    double spread = 0.25;
    double prompt_tokens = 350;

    /// Time from the arrival of a job until its items are due.
    std::chrono::milliseconds due_after{18000};
};

/// Policies that are compared.
struct policy_settings
{
    std::string placement = "expected_start";
    std::string order = "urgency";

    /// Slots of each target that batch items leave free.
    std::uint32_t reserve = 1;

    /// Run time after which the progress of an item is recorded; 0 disables
    /// recording.
    std::chrono::milliseconds progress_after{1000};
};

/// An injected fault: the first `count` targets or entries fail for a time.
/// The key in load files is `troubles`.
struct fault
{
    enum class kind : std::uint8_t
    {
        /// The targets are down: their requests are lost, and none starts.
        targets_down,

        /// The targets are four times slower and do not report it.
        targets_slow,

        /// The entries are down: their online requests are lost. When an entry
        /// is up again, its items continue from their recorded progress.
        entries_down
    };

    kind failure = kind::targets_down;

    /// Start and duration in simulated time.
    std::chrono::milliseconds at{0};
    std::chrono::milliseconds length{0};

    /// Number of targets or entries that fail.
    std::size_t count = 0;
};

/// A fleet, its load, the injected faults, and the policies of its entries.
struct emulation_settings
{
    fleet_settings fleet;
    online_load online;
    batch_load batch;
    policy_settings policy;
    std::vector<fault> faults;

    /// Simulated time.
    std::chrono::milliseconds length{60000};
    std::uint64_t seed = 1;
};

/// Parses "KIND AT_S FOR_S COUNT", for example "targets_down 20 4.5 2". The
/// start and the duration are in seconds. Returns std::nullopt if the text has
/// another form, the kind is unknown, the start is negative, or the duration or
/// the count is not positive.
std::optional<fault> parse_fault(std::string_view text);

/// Reads the text of a load file in YAML into `settings`. `file` is the name in
/// errors. Returns all errors found; `settings` must not be used if there are
/// any.
std::vector<config::setting_error> read_emulation(emulation_settings& settings,
                                                  std::string_view file,
                                                  std::string_view text);

} // namespace tanagertrack::bench

#endif
