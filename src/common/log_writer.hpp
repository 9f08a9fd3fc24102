#ifndef TANAGERTRACK_COMMON_LOG_WRITER_HPP
#define TANAGERTRACK_COMMON_LOG_WRITER_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace tanagertrack::common
{

/// Writes lines to a file descriptor without ever waiting for its reader.
/// Lines are collected in a bounded buffer; what does not fit is dropped and
/// counted. One thread, or guarded by the caller.
class log_writer
{
public:
    /// `fd` stays open as long as the object.
    log_writer(int fd, std::size_t max_buffer_bytes);

    /// Takes a line without its end. False: it was dropped.
    bool add(std::string_view line);

    /// Writes what the reader takes at once.
    void flush();

    /// Lines dropped so far.
    std::uint64_t dropped() const
    {
        return dropped_;
    }

private:
    int fd_;
    std::size_t max_buffer_bytes_;
    std::string buf_;
    std::uint64_t dropped_ = 0;

    /// Dropped lines that a line in the output tells of.
    std::uint64_t told_ = 0;
};

} // namespace tanagertrack::common

#endif
