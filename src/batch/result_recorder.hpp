#ifndef TANAGERTRACK_BATCH_RESULT_RECORDER_HPP
#define TANAGERTRACK_BATCH_RESULT_RECORDER_HPP

#include "batch/job_log.hpp"
#include "batch/text_store.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace tanagertrack::batch
{

/// Final state and text of an item that has ended.
struct item_end
{
    std::string job;
    std::uint32_t item = 0;
    proto::ItemState state = proto::ITEM_DONE;
    proto::ItemText text;
};

/// Records items that have ended: first their texts, then their results, which
/// refer to the locations of the texts. Several items share an append. Not
/// thread-safe: all calls are made on the thread of the io_context.
class result_recorder
{
public:
    result_recorder(boost::asio::io_context& context, job_log& jobs,
                    text_store& texts, std::chrono::milliseconds interval);

    result_recorder(const result_recorder&) = delete;
    result_recorder& operator=(const result_recorder&) = delete;

    /// Queues an ended item for recording. Its append starts after at most
    /// `interval`, and is retried while the store is unreachable.
    void add(item_end end);

    /// Records the queued items at once.
    void flush();

    /// Number of ended items that the store has not acknowledged yet, and the
    /// bytes of their texts.
    std::size_t unrecorded() const
    {
        return unrecorded_;
    }

    std::size_t unrecorded_bytes() const
    {
        return unrecorded_bytes_;
    }

private:
    void schedule_flush();
    void write_texts(std::vector<item_end> ended_items);
    void append_results(const std::vector<item_end>& ended_items,
                        const std::vector<state::text_location>& locations,
                        std::size_t bytes);

    job_log& jobs_;
    text_store& texts_;
    std::chrono::milliseconds interval_;
    boost::asio::steady_timer timer_;
    bool scheduled_ = false;
    std::vector<item_end> queued_;
    std::size_t queued_bytes_ = 0;
    std::size_t unrecorded_ = 0;
    std::size_t unrecorded_bytes_ = 0;
};

} // namespace tanagertrack::batch

#endif
