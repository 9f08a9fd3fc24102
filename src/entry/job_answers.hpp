#ifndef TANAGERTRACK_ENTRY_JOB_ANSWERS_HPP
#define TANAGERTRACK_ENTRY_JOB_ANSWERS_HPP

#include "entry/batch_core.hpp"
#include "entry/exchange.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace tanagertrack::entry
{

/// JSON object that describes a job. `open_work` is the number of attempts
/// that run and results that are not recorded.
std::string batch_object(const state::job& job, std::size_t open_work);

/// Status of a job as callers see it: "in_progress", "completed",
/// "cancelling" or "cancelled".
std::string_view batch_status(const state::job& job, std::size_t open_work);

/// Streams the results of a job that is held, in item order: all items with a
/// recorded status and, of a cancelled job, those that were not finished.
/// Bodies and results are read from the log as they are needed.
boost::asio::awaitable<void> stream_results(std::shared_ptr<batch_core> core,
                                            exchange_ptr request,
                                            std::uint32_t partition,
                                            std::string job_id);

/// Records the cancel of a job that is held, and answers with the job.
boost::asio::awaitable<void> cancel_job(std::shared_ptr<batch_core> core,
                                        exchange_ptr request,
                                        std::uint32_t partition,
                                        std::string job_id);

/// Lists the jobs of the caller's team in the partitions held.
void list_jobs(batch_core& core, exchange& request);

} // namespace tanagertrack::entry

#endif
