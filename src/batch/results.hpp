#ifndef TANAGERTRACK_BATCH_RESULTS_HPP
#define TANAGERTRACK_BATCH_RESULTS_HPP

#include "batch/job_log.hpp"
#include "batch/text_store.hpp"
#include "common/clock.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

namespace tanagertrack::batch
{

/// One result of a job.
struct job_result
{
    proto::ItemState state = proto::ITEM_DONE;
    proto::ItemText text;
};

/// A page of the results of a job.
struct results_page
{
    /// Success, `unknown_job`, or `log_unavailable` if the results can't be
    /// determined now.
    std::error_code ec;

    /// Number of items of the job.
    std::size_t items = 0;
    std::vector<job_result> results;

    /// Position after the last result of the page, to read on from.
    std::size_t next = 0;
};

/// Reads jobs and their results, whichever process runs them, and cancels jobs.
/// Reads are monotonic across processes: what a caller was told of a job by any
/// process holds in each later answer of every process. Before a statement that
/// a later record would revise (a state, the end of the results, an unknown
/// job), the log is read up to the end that it had when the request came.
/// Not thread-safe: all calls are made on the thread of the io_context.
class results
{
public:
    /// Receives a job, or nullptr if there is no such job.
    using job_handler =
        std::function<void(std::error_code, const state::batch_job*)>;

    results(boost::asio::io_context& context, job_log& jobs, text_store& texts);

    results(const results&) = delete;
    results& operator=(const results&) = delete;

    /// Reads the results at positions from `after` on, up to `max_bytes` of
    /// text, but at least one result if there is one. If there is none, waits
    /// for one for at most `wait`. A page without results is returned only if
    /// no result was recorded before `as_of`, which must not be in the future.
    void read(const std::string& job, std::size_t after, std::size_t max_bytes,
              std::chrono::milliseconds wait, common::time_point as_of,
              std::function<void(const results_page&)> done);

    /// Reads the request body of an item that has not ended; the body of an
    /// ended item may have been dropped. Errors: `unknown_job`,
    /// `log_unavailable`.
    void read_body(const std::string& job, const std::string& item,
                   std::function<void(std::error_code, std::string)> done);

    /// Reads the record with the items of one part of a job.
    void read_part(
        const state::batch_job& job, std::size_t part,
        std::function<void(std::error_code, const proto::JobRecord&)> done);

    /// Cancels a job: its open items are not run. `done` is called when the
    /// store has the record. Errors: `unknown_job`, `log_unavailable`.
    void cancel(const std::string& job,
                std::function<void(std::error_code)> done);

    /// Calls `done` as soon as the table of jobs includes all records that were
    /// appended before `as_of`. Error: `log_unavailable`.
    void confirm(common::time_point as_of,
                 std::function<void(std::error_code)> done)
    {
        jobs_.confirm(as_of, std::move(done));
    }

    /// Returns the job, or nullptr if this process does not know it, or not
    /// yet.
    const state::batch_job* find_known(std::string_view job) const
    {
        return jobs_.table().find(job);
    }

    /// Calls `done` with the job, or with nullptr if the store confirms that
    /// there is no such job. The state of the job may be older than one that
    /// another process has reported. Error: `log_unavailable`, if the job is
    /// unknown here and the store can't be read.
    void find(const std::string& job, job_handler done);

    /// Like `find`, but the state of the job includes all records that were
    /// appended before `as_of`. Error: `log_unavailable`, if the store can't be
    /// read.
    void find_current(const std::string& job, common::time_point as_of,
                      job_handler done);

private:
    struct page_read;
    using page_read_ptr = std::shared_ptr<page_read>;

    void read_or_wait(const page_read_ptr& request);

    /// Finishes the read with the results that are known once the log is known
    /// up to `as_of`.
    void confirm_end(const page_read_ptr& request);
    void wait(const page_read_ptr& request);
    void read_texts(const page_read_ptr& request);
    void handle_text(const page_read_ptr& request, std::error_code ec,
                     const proto::ItemText& text);
    void finish_read(const page_read_ptr& request, std::error_code ec);
    void resume_reads(const std::string& job);

    boost::asio::io_context& context_;
    job_log& jobs_;
    text_store& texts_;

    /// Reads that wait for a result, by job.
    std::multimap<std::string, page_read_ptr> waiting_;
};

} // namespace tanagertrack::batch

#endif
