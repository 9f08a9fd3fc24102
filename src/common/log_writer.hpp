#ifndef TANAGERTRACK_COMMON_LOG_WRITER_HPP
#define TANAGERTRACK_COMMON_LOG_WRITER_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace tanagertrack::common
{

/// Writes lines to a file descriptor without blocking on a slow reader. Lines
/// are collected in a bounded buffer; lines that do not fit are dropped and
/// counted. Not thread-safe: callers have to serialize access.
class log_writer
{
public:
    /// `fd` must stay open during the lifetime of the object.
    log_writer(int fd, std::size_t max_buffer_bytes);

    /// Buffers a line, given without its line end. Returns false if the line
    /// was dropped.
    bool add(std::string_view line);

    /// Writes as much of the buffer as possible without blocking.
    void flush();

    /// Number of lines dropped so far.
    std::uint64_t dropped() const
    {
        return dropped_;
    }

private:
    int fd_;
    std::size_t max_buffer_bytes_;
    std::string buffer_;
    std::uint64_t dropped_ = 0;

    /// Value of `dropped_` in the last log_lines_dropped line.
    std::uint64_t reported_dropped_ = 0;
};

} // namespace tanagertrack::common

#endif
