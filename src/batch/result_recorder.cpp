#include "batch/result_recorder.hpp"

#include "common/logging.hpp"
#include "common/timer_wait.hpp"

#include <map>
#include <utility>

namespace tanagertrack::batch
{

namespace
{

/// Bytes of queued texts at which the items are appended at once.
constexpr std::size_t max_write_bytes = 512UL * 1024;

} // namespace

result_recorder::result_recorder(boost::asio::io_context& context,
                                 job_log& jobs, text_store& texts,
                                 std::chrono::milliseconds interval)
    : jobs_(jobs), texts_(texts), interval_(interval), timer_(context)
{
}

void result_recorder::add(item_end end)
{
    ++unrecorded_;
    const auto bytes = end.text.text().size();
    unrecorded_bytes_ += bytes;
    queued_bytes_ += bytes;
    queued_.push_back(std::move(end));
    if (queued_bytes_ >= max_write_bytes)
        return flush();
    schedule_flush();
}

void result_recorder::schedule_flush()
{
    if (std::exchange(scheduled_, true))
        return;
    common::wait_until(timer_, common::clock::now() + interval_,
                       [this](const auto& ec)
                       {
                           if (!ec)
                               flush();
                       });
}

void result_recorder::flush()
{
    scheduled_ = false;
    timer_.cancel();
    queued_bytes_ = 0;
    if (!queued_.empty())
        write_texts(std::exchange(queued_, {}));
}

void result_recorder::write_texts(std::vector<item_end> ended_items)
{
    std::vector<proto::ItemText> texts;
    std::size_t bytes = 0;
    for (auto& it : ended_items)
    {
        bytes += it.text.text().size();
        texts.push_back(std::move(it.text));
    }
    texts_.write(std::move(texts), text_use::result,
                 [this, bytes, ended_items = std::move(ended_items)](
                     std::error_code ec,
                     const std::vector<state::text_location>& locations)
                 {
                     if (!ec)
                         return append_results(ended_items, locations, bytes);
                     common::log_error("results_dropped",
                                       {{"items", ended_items.size()},
                                        {"what", ec.message()}});
                     unrecorded_ -= ended_items.size();
                     unrecorded_bytes_ -= bytes;
                 });
}

void result_recorder::append_results(
    const std::vector<item_end>& ended_items,
    const std::vector<state::text_location>& locations, std::size_t bytes)
{
    std::map<std::string, proto::JobRecord> by_job;
    for (std::size_t i = 0; i < ended_items.size(); ++i)
    {
        auto& results = *by_job[ended_items[i].job].mutable_results();
        results.set_job(ended_items[i].job);
        auto& result = *results.add_results();
        result.set_item(ended_items[i].item);
        result.set_state(ended_items[i].state);
        result.set_text_partition(locations[i].partition);
        result.set_text_offset(locations[i].offset);
    }
    std::vector<proto::JobRecord> records;
    for (auto& [job, record] : by_job)
        records.push_back(std::move(record));
    jobs_.append(
        records, true,
        [this, n = ended_items.size(), bytes](std::error_code ec, std::uint64_t)
        {
            if (ec)
                common::log_error("results_dropped",
                                  {{"items", n}, {"what", ec.message()}});
            unrecorded_ -= n;
            unrecorded_bytes_ -= bytes;
        });
}

} // namespace tanagertrack::batch
