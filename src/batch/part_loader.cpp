#include "batch/part_loader.hpp"

#include "common/logging.hpp"

#include <algorithm>
#include <chrono>

namespace tanagertrack::batch
{

namespace
{

/// Delay before a part is read again after a failure.
constexpr auto read_retry_delay = std::chrono::milliseconds(300);

} // namespace

part_loader::part_loader(job_log& jobs, items_handler on_items)
    : jobs_(jobs), on_items_(std::move(on_items))
{
}

void part_loader::add(const std::string& job, job_order order,
                      std::size_t next_part)
{
    loads_[job] = {++last_generation_, order, next_part, false, {}};
}

void part_loader::remove(std::string_view job)
{
    const auto it = loads_.find(job);
    if (it != loads_.end())
        loads_.erase(it);
}

void part_loader::load(
    common::time_point now,
    const std::function<bool(const std::string& job)>& may_load)
{
    std::vector<std::pair<job_order, std::string>> ready;
    for (const auto& [id, it] : loads_)
    {
        const auto* job = jobs_.table().find(id);
        const bool can_load = job != nullptr && !it.loading &&
                              now >= it.not_before &&
                              it.next_part < job->parts.size();
        if (can_load)
            ready.emplace_back(it.order, id);
    }
    std::ranges::sort(ready);
    for (const auto& [order, id] : ready)
    {
        if (may_load(id))
            load_part(id, loads_.find(id)->second, *jobs_.table().find(id));
    }
}

void part_loader::load_part(const std::string& id, load_state& job_state,
                            const state::batch_job& job)
{
    const auto& part = job.parts[job_state.next_part];
    const auto first = job.items.begin() + part.first_item;
    const bool has_open_items = std::any_of(
        first, first + part.item_count,
        [](const auto& item) { return item.state == proto::ITEM_OPEN; });
    if (!has_open_items)
    {
        ++job_state.next_part;
        return;
    }
    job_state.loading = true;
    jobs_.read_record(part.offset,
                      [this, id, generation = job_state.generation](
                          std::error_code ec, const proto::JobRecord& record)
                      { handle_part(id, generation, ec, record); });
}

void part_loader::handle_part(const std::string& job, std::uint64_t generation,
                              std::error_code ec,
                              const proto::JobRecord& record)
{
    const auto found = loads_.find(job);
    if (found == loads_.end() || found->second.generation != generation ||
        jobs_.table().find(job) == nullptr)
        return;
    auto& it = found->second;
    it.loading = false;
    if (ec)
    {
        common::log_warning("job_part_unread",
                            {{"job", job}, {"what", ec.message()}});
        it.not_before = common::clock::now() + read_retry_delay;
        return;
    }
    ++it.next_part;
    const auto& part = part_of(record);
    on_items_(job, part.first_item(),
              {part.items().begin(), part.items().end()});
}

} // namespace tanagertrack::batch
