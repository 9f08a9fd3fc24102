#ifndef TANAGERTRACK_SERVICES_LOG_SERVICE_HPP
#define TANAGERTRACK_SERVICES_LOG_SERVICE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <system_error>
#include <vector>

namespace tanagertrack::services
{

/// A record as the log gives it back.
struct log_record
{
    std::uint64_t offset = 0;
    std::string data;
};

/// Which records to read.
struct log_read_request
{
    std::string stream;

    /// First offset wanted, at least 1.
    std::uint64_t from = 1;

    /// Records are given until this many bytes; at least one record if any.
    std::size_t max_bytes = 1024 * 1024;

    /// How long the log waits for a record when there is none yet.
    std::chrono::milliseconds wait{0};
};

/// Answer to a read.
struct log_read_result
{
    /// Consecutive records, ascending; empty if none came in time.
    std::vector<log_record> records;

    /// Oldest offset that is kept.
    std::uint64_t first_offset = 1;

    /// Offset that the next append will get.
    std::uint64_t next_offset = 1;
};

/// Called once. `ec` is none with the record's offset; `log_unavailable` when
/// the record was certainly not appended; `log_append_unknown` when the
/// answer was lost.
using log_append_handler =
    std::function<void(std::error_code ec, std::uint64_t offset)>;

/// Called once. `log_offset_expired` when `from` is no longer kept:
/// `first_offset` then says where to go on; `log_unavailable` otherwise.
using log_read_handler =
    std::function<void(std::error_code ec, log_read_result result)>;

/// The platform's append-only log. Streams have dense offsets from 1. Nothing
/// is assumed but append, read from an offset, and loss of old records.
/// Called on one thread, which also gets the answers.
struct log_service
{
    std::function<void(std::string stream, std::string data,
                       log_append_handler handler)>
        append;
    std::function<void(log_read_request request, log_read_handler handler)>
        read;
};

} // namespace tanagertrack::services

#endif
