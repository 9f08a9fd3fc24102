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

/// Bounds of the log.
struct log_settings
{
    /// Lines of one event and level that are written in a second; further
    /// ones are counted, and the next line has `suppressed=N`.
    unsigned max_lines_a_second = 500;

    /// Bytes that wait for a slow reader; lines beyond are dropped and
    /// counted.
    std::size_t max_buffer_bytes = 256UL * 1024;
};

/// Sets the bounds. Call before other threads log.
void init_logging(const log_settings& settings = {});

/// Writes one line `ts=UNIX_SECONDS level=info event=NAME key=value ...` to
/// standard output, without ever waiting for its reader. Any thread. Values
/// with spaces are quoted. Prompts, answers and keys never go into a line.
/// Lines are collected: `flush_log` writes them.
void log_info(std::string_view event, log_fields fields = {});

/// As `log_info`, at level warning.
void log_warning(std::string_view event, log_fields fields = {});

/// As `log_info`, at level error.
void log_error(std::string_view event, log_fields fields = {});

/// Writes collected lines as far as the reader takes them at once. Called
/// periodically, and by itself when many lines are collected.
void flush_log();

/// Lines that were dropped because the reader was slow.
std::uint64_t dropped_log_lines();

} // namespace tanagertrack::common

#endif
