#include "batch/retention.hpp"

#include "common/logging.hpp"

#include <boost/asio/io_context.hpp>

#include <string>
#include <vector>

namespace tanagertrack::batch
{

retention::retention(boost::asio::io_context& context, job_log& jobs,
                     retention_settings settings)
    : jobs_(jobs), settings_(settings),
      timer_(context, settings.interval, [this] { check(); })
{
}

void retention::start()
{
    timer_.start();
}

void retention::check()
{
    const auto now = common::unix_time_ms();
    const auto is_expired =
        [&](std::uint64_t created_ms, std::chrono::milliseconds keep_time)
    {
        const auto end =
            created_ms +
            static_cast<std::uint64_t>((keep_time + settings_.margin).count());
        return now > end;
    };
    std::vector<std::string> jobs;
    jobs_.table().for_each(
        [&](const state::batch_job& job)
        {
            const auto keep_time = job.keep_ms == 0
                                       ? settings_.jobs
                                       : std::chrono::milliseconds(job.keep_ms);
            if (!job.is_open() && is_expired(job.created_ms, keep_time))
                jobs.push_back(job.id);
        });
    std::vector<std::string> calls;
    jobs_.table().for_each_call(
        [&](const std::string& id, const state::at_most_once_call& call)
        {
            if (is_expired(call.created_ms, settings_.calls))
                calls.push_back(id);
        });
    for (const auto& it : jobs)
        jobs_.forget(it);
    for (const auto& it : calls)
        jobs_.forget_call(it);
    if (!jobs.empty() || !calls.empty())
        common::log_info("jobs_forgotten",
                         {{"jobs", jobs.size()}, {"calls", calls.size()}});
}

} // namespace tanagertrack::batch
