#ifndef TANAGERTRACK_COMMON_LOGGING_HPP
#define TANAGERTRACK_COMMON_LOGGING_HPP

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace tanagertrack::common
{

/// One key=value pair of a log line.
struct log_field
{
    log_field(std::string_view name, std::string_view text);
    log_field(std::string_view name, const char* text);
    log_field(std::string_view name, const std::string& text);
    log_field(std::string_view name, std::int64_t number);
    log_field(std::string_view name, std::uint64_t number);
    log_field(std::string_view name, int number);
    log_field(std::string_view name, unsigned number);
    log_field(std::string_view name, double number);

    std::string_view key;
    std::string value;
};

using log_fields = std::initializer_list<log_field>;

/// Limits of the log.
struct log_settings
{
    /// Maximum number of lines of one event per second. Further lines are
    /// counted, and the next line written has `suppressed=N`.
    unsigned max_lines_per_second = 500;

    /// Maximum number of bytes buffered for a slow reader. Further lines are
    /// dropped and counted.
    std::size_t max_buffer_bytes = 256UL * 1024;
};

/// Sets the limits. Must be called before other threads log.
void init_logging(const log_settings& settings = {});

/// Logs one line `ts=UNIX_SECONDS level=info event=NAME key=value ...` to
/// standard output, without blocking on a slow reader. Thread-safe. Values
/// that are empty or contain spaces, quotes, line breaks or '=' are quoted.
/// Prompts, responses and keys must never be logged. Lines are buffered until
/// the next flush; see `flush_log`.
void log_info(std::string_view event, log_fields fields = {});

/// Same as `log_info`, at level warning.
void log_warning(std::string_view event, log_fields fields = {});

/// Same as `log_info`, at level error.
void log_error(std::string_view event, log_fields fields = {});

/// Writes buffered lines as far as possible without blocking. Has to be called
/// periodically; logging itself flushes only when 4 KiB are buffered.
void flush_log();

/// Number of lines dropped because the reader was too slow.
std::uint64_t dropped_log_lines();

} // namespace tanagertrack::common

#endif
