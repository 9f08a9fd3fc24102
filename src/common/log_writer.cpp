#include "common/log_writer.hpp"

#include <algorithm>
#include <limits.h>
#include <poll.h>
#include <unistd.h>

namespace tanagertrack::common
{

namespace
{

/// Returns true if a write of PIPE_BUF bytes to `fd` does not block. POLLOUT
/// guarantees this for pipes.
bool is_writable(int fd)
{
    pollfd it{fd, POLLOUT, 0};
    return ::poll(&it, 1, 0) == 1 && (it.revents & POLLOUT) != 0;
}

} // namespace

log_writer::log_writer(int fd, std::size_t max_buffer_bytes)
    : fd_(fd), max_buffer_bytes_(max_buffer_bytes)
{
}

bool log_writer::add(std::string_view line)
{
    if (buffer_.size() + line.size() + 1 > max_buffer_bytes_)
        flush();
    if (buffer_.size() + line.size() + 1 > max_buffer_bytes_)
    {
        ++dropped_;
        return false;
    }
    if (dropped_ != reported_dropped_)
    {
        buffer_ += "level=warning event=log_lines_dropped total=" +
                   std::to_string(dropped_) + '\n';
        reported_dropped_ = dropped_;
    }
    buffer_ += line;
    buffer_ += '\n';
    return true;
}

void log_writer::flush()
{
    std::size_t written = 0;
    while (written < buffer_.size() && is_writable(fd_))
    {
        const auto n =
            std::min<std::size_t>(buffer_.size() - written, PIPE_BUF);
        const auto done = ::write(fd_, buffer_.data() + written, n);
        if (done <= 0)
            break;
        written += static_cast<std::size_t>(done);
    }
    buffer_.erase(0, written);
}

} // namespace tanagertrack::common
