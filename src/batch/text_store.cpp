#include "batch/text_store.hpp"

#include "common/hash.hpp"
#include "common/logging.hpp"
#include "common/result_code.hpp"

#include <utility>

namespace tanagertrack::batch
{

using common::result_code;

namespace
{

/// Read size in bytes that returns a single text: the store answers with whole
/// records, and with at least one.
constexpr std::size_t one_record_bytes = 1024;

} // namespace

text_store::text_store(boost::asio::io_context& context,
                       const store::store_service& service,
                       text_store_settings settings)
    : service_(service), settings_(std::move(settings)),
      own_partition_(static_cast<std::uint32_t>(
          common::hash64(settings_.member) % settings_.partitions)),
      writer_(std::make_shared<store::partition_writer>(
          context, service, store::partition_ref{topic, own_partition_},
          settings_.member, settings_.writing))
{
}

void text_store::write(std::vector<proto::ItemText> texts, text_use use,
                       write_handler done)
{
    std::vector<std::string> records;
    records.reserve(texts.size());
    for (const auto& it : texts)
        records.push_back(it.SerializeAsString());
    const auto n = texts.size();
    std::vector<proto::ItemText> cached;
    if (use == text_use::result)
        cached.swap(texts);
    writer_->append(
        std::move(records), true,
        [this, n, cached = std::move(cached),
         done = std::move(done)](std::error_code ec, std::uint64_t offset)
        {
            std::vector<state::text_location> locations;
            for (std::size_t i = 0; !ec && i < n; ++i)
                locations.push_back({own_partition_, offset + i});
            if (!ec)
            {
                for (const auto& it : cached)
                    cache_text({own_partition_, offset++}, it);
            }
            done(ec, std::move(locations));
        });
}

void text_store::read(const state::text_location& location, read_handler done)
{
    if (const auto* cached = find_cached({location.partition, location.offset}))
        return done({}, *cached);
    store::read_call call;
    call.from = {topic, location.partition};
    call.offset = location.offset;
    call.max_bytes = one_record_bytes;
    service_.read(call, [this, location, done = std::move(done)](
                            const store::read_result& result)
                  { handle_read(location, result, done); });
}

void text_store::handle_read(const state::text_location& location,
                             const store::read_result& result,
                             const read_handler& done)
{
    proto::ItemText text;
    if (result.ec)
        return done(result.ec, text);
    if (result.records.empty() || !text.ParseFromString(result.records.front()))
    {
        common::log_warning("text_unreadable",
                            {{"partition", location.partition},
                             {"offset", location.offset},
                             {"records", result.records.size()}});
        return done(make_error_code(result_code::log_unavailable), text);
    }
    cache_text({location.partition, location.offset}, text);
    done({}, text);
}

void text_store::cache_text(const location_key& location, proto::ItemText text)
{
    if (index_.contains(location))
        return;
    cache_bytes_ += text.text().size();
    cache_.push_front({location, std::move(text)});
    index_[location] = cache_.begin();
    while (cache_bytes_ > settings_.max_cache_bytes)
    {
        cache_bytes_ -= cache_.back().text.text().size();
        index_.erase(cache_.back().location);
        cache_.pop_back();
    }
}

const proto::ItemText* text_store::find_cached(const location_key& location)
{
    const auto it = index_.find(location);
    if (it == index_.end())
        return nullptr;
    cache_.splice(cache_.begin(), cache_, it->second);
    return &it->second->text;
}

} // namespace tanagertrack::batch
