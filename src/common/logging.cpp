#include "common/logging.hpp"

#include "common/clock.hpp"
#include "common/log_writer.hpp"

#include <array>
#include <cstdio>
#include <map>
#include <mutex>

#include <unistd.h>

namespace tanagertrack::common
{

namespace
{

/// Rate limit state of one event.
struct event_rate
{
    time_point second_start;
    unsigned lines = 0;

    /// Lines suppressed since the last one that was written.
    std::uint64_t suppressed = 0;
};

/// The log of the process. `mutex` guards all members.
struct process_log
{
    std::mutex mutex;
    log_settings settings;
    log_writer writer{STDOUT_FILENO, log_settings().max_buffer_bytes};
    std::map<std::string, event_rate, std::less<>> rates;

    /// Bytes added to the writer since the last flush.
    std::size_t unflushed_bytes = 0;
};

process_log& instance()
{
    static process_log log;
    return log;
}

/// Number of unflushed bytes that triggers a flush.
constexpr std::size_t flush_bytes = 4096;

/// Applies the rate limit of an event. Returns true if the line may be written
/// and sets `suppressed` to the number of lines suppressed before it.
bool try_acquire_line(process_log& log, std::string_view event,
                      std::uint64_t& suppressed)
{
    auto it = log.rates.find(event);
    if (it == log.rates.end())
        it = log.rates.emplace(std::string(event), event_rate{}).first;

    auto& rate = it->second;
    const auto now = clock::now();
    if (now - rate.second_start >= std::chrono::seconds(1))
    {
        rate.second_start = now;
        rate.lines = 0;
    }
    if (rate.lines >= log.settings.max_lines_per_second)
    {
        ++rate.suppressed;
        return false;
    }
    ++rate.lines;
    suppressed = rate.suppressed;
    rate.suppressed = 0;
    return true;
}

/// Appends a value to a log line, in quotes if it is empty or has characters
/// that separate fields. Line breaks become spaces.
void append_value(std::string& line, std::string_view value)
{
    const bool plain =
        !value.empty() && value.find_first_of(" \"\n=") == value.npos;
    if (plain)
    {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value)
    {
        if (c == '"' || c == '\\')
            line += '\\';
        line += c == '\n' ? ' ' : c;
    }
    line += '"';
}

/// Returns the Unix time in seconds, with three decimals.
std::string time_text()
{
    constexpr std::uint64_t ms_per_s = 1000;
    const auto now = unix_time_ms();
    std::array<char, 32> buf;
    const int n =
        std::snprintf(buf.data(), buf.size(), "%llu.%03llu",
                      static_cast<unsigned long long>(now / ms_per_s),
                      static_cast<unsigned long long>(now % ms_per_s));
    return {buf.data(), static_cast<std::size_t>(n)};
}

std::string format(std::string_view level, std::string_view event,
                   log_fields fields, std::uint64_t suppressed)
{
    std::string line = "ts=" + time_text();
    line += " level=";
    line += level;
    line += " event=";
    line += event;
    for (const auto& field : fields)
    {
        line += ' ';
        line += field.key;
        line += '=';
        append_value(line, field.value);
    }
    if (suppressed != 0)
        line += " suppressed=" + std::to_string(suppressed);
    return line;
}

void write(std::string_view level, std::string_view event, log_fields fields)
{
    auto& log = instance();
    const std::lock_guard lock(log.mutex);
    std::uint64_t suppressed = 0;
    if (!try_acquire_line(log, event, suppressed))
        return;
    const auto line = format(level, event, fields, suppressed);
    log.writer.add(line);
    log.unflushed_bytes += line.size();
    if (log.unflushed_bytes < flush_bytes)
        return;
    log.writer.flush();
    log.unflushed_bytes = 0;
}

} // namespace

log_field::log_field(std::string_view name, std::string_view text)
    : key(name), value(text)
{
}

log_field::log_field(std::string_view name, const char* text)
    : key(name), value(text)
{
}

log_field::log_field(std::string_view name, const std::string& text)
    : key(name), value(text)
{
}

log_field::log_field(std::string_view name, std::int64_t number)
    : key(name), value(std::to_string(number))
{
}

log_field::log_field(std::string_view name, std::uint64_t number)
    : key(name), value(std::to_string(number))
{
}

log_field::log_field(std::string_view name, int number)
    : key(name), value(std::to_string(number))
{
}

log_field::log_field(std::string_view name, unsigned number)
    : key(name), value(std::to_string(number))
{
}

log_field::log_field(std::string_view name, double number)
    : key(name), value(std::to_string(number))
{
}

void init_logging(const log_settings& settings)
{
    auto& log = instance();
    const std::lock_guard lock(log.mutex);
    log.settings = settings;
    log.writer = log_writer(STDOUT_FILENO, settings.max_buffer_bytes);
}

void log_info(std::string_view event, log_fields fields)
{
    write("info", event, fields);
}

void log_warning(std::string_view event, log_fields fields)
{
    write("warning", event, fields);
}

void log_error(std::string_view event, log_fields fields)
{
    write("error", event, fields);
}

void flush_log()
{
    auto& log = instance();
    const std::lock_guard lock(log.mutex);
    log.writer.flush();
    log.unflushed_bytes = 0;
}

std::uint64_t dropped_log_lines()
{
    auto& log = instance();
    const std::lock_guard lock(log.mutex);
    return log.writer.dropped();
}

} // namespace tanagertrack::common
