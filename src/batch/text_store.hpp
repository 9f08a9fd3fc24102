#ifndef TANAGERTRACK_BATCH_TEXT_STORE_HPP
#define TANAGERTRACK_BATCH_TEXT_STORE_HPP

#include "proto/jobs.pb.h"
#include "state/job_table.hpp"
#include "store/partition_writer.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace tanagertrack::batch
{

/// Who is expected to read a text.
enum class text_use : std::uint8_t
{
    /// Callers, soon: the text is also kept in memory.
    result,

    /// A process that takes over the item, if any: the text is not kept in
    /// memory. Also used for copies.
    progress
};

/// Settings of the store of texts.
struct text_store_settings
{
    /// Id of this process as a member; unique for each start.
    std::string member;

    /// Partitions of the topic.
    std::uint32_t partitions = 1;
    store::writer_settings writing;

    /// Maximum bytes of texts kept in memory.
    std::size_t max_cache_bytes = 1024UL * 1024;
};

/// Writes and reads the texts of items. They have a topic of their own, so that
/// followers of the jobs do not read them. Each process writes to one
/// partition. Not thread-safe: all calls are made on the thread of the
/// io_context.
class text_store
{
public:
    using write_handler =
        std::function<void(std::error_code, std::vector<state::text_location>)>;
    using read_handler =
        std::function<void(std::error_code, const proto::ItemText&)>;

    text_store(boost::asio::io_context& context,
               const store::store_service& service,
               text_store_settings settings);

    text_store(const text_store&) = delete;
    text_store& operator=(const text_store&) = delete;

    /// Appends texts, which must fit into one append, and waits for the store.
    /// `done` gets the locations of the texts in their order, or an error.
    void write(std::vector<proto::ItemText> texts, text_use use,
               write_handler done);

    /// Reads one text, from memory if possible. Error `log_unavailable` if it
    /// can't be parsed.
    void read(const state::text_location& location, read_handler done);

    /// Name of the topic of the texts.
    static constexpr const char* topic = "texts";

private:
    using location_key = std::pair<std::uint32_t, std::uint64_t>;

    struct cached_text
    {
        location_key location;
        proto::ItemText text;
    };

    /// Most recently used first.
    using cache_list = std::list<cached_text>;

    void cache_text(const location_key& location, proto::ItemText text);
    const proto::ItemText* find_cached(const location_key& location);
    void handle_read(const state::text_location& location,
                     const store::read_result& result,
                     const read_handler& done);

    store::store_service service_;
    text_store_settings settings_;
    std::uint32_t own_partition_;
    std::shared_ptr<store::partition_writer> writer_;
    cache_list cache_;
    std::map<location_key, cache_list::iterator> index_;
    std::size_t cache_bytes_ = 0;
};

} // namespace tanagertrack::batch

#endif
