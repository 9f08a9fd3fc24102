#include "entry/record_cache.hpp"

#include "common/result_code.hpp"
#include "entry/partition_owner.hpp"

namespace tanagertrack::entry
{

using common::result_code;

record_cache::record_cache(services::log_service& log, std::size_t max_bytes)
    : log_(log), max_bytes_(max_bytes)
{
}

record_cache::record_ptr record_cache::find(std::uint32_t partition,
                                            std::uint64_t offset)
{
    const auto it = index_.find({partition, offset});
    if (it == index_.end())
        return nullptr;
    records_.splice(records_.begin(), records_, it->second);
    return it->second->record;
}

void record_cache::load(std::uint32_t partition, std::uint64_t offset,
                        load_handler handler)
{
    if (auto record = find(partition, offset))
    {
        handler({}, std::move(record));
        return;
    }
    const record_key key{partition, offset};
    auto& waiting = loading_[key];
    waiting.push_back(std::move(handler));
    if (waiting.size() > 1)
        return;
    services::log_read_request request;
    request.stream = batch_stream(partition);
    request.from = offset;
    request.max_bytes = 1;
    log_.read(std::move(request),
              [this, key, alive = std::weak_ptr(alive_)](
                  std::error_code ec, services::log_read_result result)
              {
                  if (!alive.expired())
                      finish_load(key, ec, std::move(result));
              });
}

void record_cache::finish_load(record_key key, std::error_code ec,
                               services::log_read_result result)
{
    const auto waiting = std::move(loading_[key]);
    loading_.erase(key);
    auto record = std::make_shared<proto::PartitionRecord>();
    if (!ec && (result.records.empty() ||
                !record->ParseFromString(result.records[0].data)))
        ec = result_code::log_unavailable;
    if (!ec)
        insert(key, record, result.records[0].data.size());
    for (const auto& it : waiting)
        it(ec, ec ? nullptr : record);
}

void record_cache::insert(record_key key, record_ptr record, std::size_t bytes)
{
    records_.push_front({key, std::move(record), bytes});
    index_[key] = records_.begin();
    bytes_ += bytes;
    while (bytes_ > max_bytes_ && records_.size() > 1)
    {
        bytes_ -= records_.back().bytes;
        index_.erase(records_.back().key);
        records_.pop_back();
    }
}

} // namespace tanagertrack::entry
