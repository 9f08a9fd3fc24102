#ifndef TANAGERTRACK_ENTRY_RECORD_CACHE_HPP
#define TANAGERTRACK_ENTRY_RECORD_CACHE_HPP

#include "services/log_service.hpp"
#include "proto/records.pb.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <system_error>
#include <utility>
#include <vector>

namespace tanagertrack::entry
{

/// Records of the batch streams that are read again for their bodies and
/// results. Keeps the most recently used ones up to a number of bytes. One
/// thread.
class record_cache
{
public:
    using record_ptr = std::shared_ptr<const proto::PartitionRecord>;

    /// Called once: a record, or `log_unavailable` or `log_offset_expired`.
    using load_handler = std::function<void(std::error_code, record_ptr)>;

    record_cache(services::log_service& log, std::size_t max_bytes);

    /// The record if it is there; null otherwise.
    record_ptr find(std::uint32_t partition, std::uint64_t offset);

    /// Reads the record, or gives it from the cache within the call. Several
    /// calls for one record share one read.
    void load(std::uint32_t partition, std::uint64_t offset,
              load_handler handler);

    /// Bytes of the records that are kept, as serialized.
    std::size_t bytes() const
    {
        return bytes_;
    }

private:
    using record_key = std::pair<std::uint32_t, std::uint64_t>;

    struct cached_record
    {
        record_key key;
        record_ptr record;
        std::size_t bytes = 0;
    };

    void finish_load(record_key key, std::error_code ec,
                     services::log_read_result result);
    void insert(record_key key, record_ptr record, std::size_t bytes);

    services::log_service& log_;
    std::size_t max_bytes_;
    std::size_t bytes_ = 0;

    /// Most recently used first.
    std::list<cached_record> records_;
    std::map<record_key, std::list<cached_record>::iterator> index_;
    std::map<record_key, std::vector<load_handler>> loading_;

    /// Expires with the cache; guards answers that are on their way.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace tanagertrack::entry

#endif
