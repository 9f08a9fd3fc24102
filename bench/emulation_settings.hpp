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

/// Entries and targets. The defaults are those of retorno-sul.
struct fleet_settings
{
    std::size_t entries = 10;
    std::size_t targets = 18;
    std::uint32_t slots = 8;

    /// Time of one step of a target, and what each running request adds.
    double step_ms = 2.6;
    double step_ms_per_request = 0.12;

    /// Tokens of one event; a step makes one token for each request.
    double tokens_per_event = 7;

    /// Prompt tokens that a target reads in a millisecond. It makes no other
    /// tokens meanwhile.
    double prompt_tokens_per_ms = 48.2;

    /// Neighbours of a target: share of the time in which they slow it, how
    /// much, and for how long at a time.
    double noise_share = 0.15;
    double noise_slowdown = 2.5;
    std::chrono::milliseconds noise_time{600};

    /// Time between two load messages of an entry, and on their way.
    std::chrono::milliseconds message_interval{15};
    std::chrono::milliseconds message_delay{2};
};

/// Online traffic that jumps between two rates.
struct online_load
{
    /// Mean of the requests in a second.
    double per_second = 84;

    /// Traffic in parts of its mean, and how long each lasts.
    double low = 0.378;
    double high = 1.85;
    std::chrono::milliseconds low_time{3000};
    std::chrono::milliseconds high_time{2200};

    /// Mean of the events of an answer, and of the prompt's tokens.
    double events = 35;
    double prompt_tokens = 450;

    /// Time in which the first event has to come.
    std::chrono::milliseconds objective{300};
};

/// Batch jobs.
struct batch_load
{
    double jobs_per_second = 1.03;
    std::uint32_t items = 10;

    /// Mean of an item's events and its spread in parts of it, and the tokens
    /// of its prompt.
    double events = 243;
    double spread = 0.25;
    double prompt_tokens = 350;

    /// Time from the arrival of a job until its items are due.
    std::chrono::milliseconds due_after{18000};
};

/// The decisions that are compared.
struct policy_settings
{
    std::string placement = "expected_start";
    std::string order = "urgency";

    /// Places of each target that items leave free.
    std::uint32_t reserve = 1;

    /// Run time after which an item's progress is recorded; zero: never.
    std::chrono::milliseconds progress_after{1000};
};

/// Something that fails.
struct trouble
{
    enum class kind : std::uint8_t
    {
        /// Targets are down: what runs there is lost, and nothing starts.
        targets_down,

        /// Targets are four times as slow, and don't say so.
        targets_slow,

        /// Entries are down: their requests are lost, their items go on from
        /// what was recorded when the entry is back.
        entries_down
    };

    kind what = kind::targets_down;
    std::chrono::milliseconds at{0};
    std::chrono::milliseconds length{0};

    /// How many of them, the first ones.
    std::size_t count = 0;
};

/// A fleet, its load, its troubles, and the decisions that meet them.
struct emulation_settings
{
    fleet_settings fleet;
    online_load online;
    batch_load batch;
    policy_settings policy;
    std::vector<trouble> troubles;
    std::chrono::milliseconds length{60000};
    std::uint64_t seed = 1;
};

/// "KIND AT_S FOR_S COUNT", as "targets_down 20 4.5 2"; nothing for another
/// text.
std::optional<trouble> parse_trouble(std::string_view text);

/// Reads a YAML file's text. Returns all errors found; the settings are only to
/// be used when there are none.
std::vector<config::setting_error> read_emulation(emulation_settings& it,
                                                  std::string_view file,
                                                  std::string_view text);

} // namespace tanagertrack::bench

#endif
