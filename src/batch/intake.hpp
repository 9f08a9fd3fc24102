#ifndef TANAGERTRACK_BATCH_INTAKE_HPP
#define TANAGERTRACK_BATCH_INTAKE_HPP

#include "batch/job_log.hpp"
#include "batch/submission.hpp"
#include "http/error_answer.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tanagertrack::batch
{

/// Outcome of a submission: accepted, or why not.
using submission_verdict = std::optional<http::rejection>;

/// Makes submitted jobs accepted: appends them, and reads back what became of
/// them. A rejection says "not run" only where nothing of the job will ever be
/// accepted from this submission. One thread.
class intake
{
public:
    using handler = std::function<void(const submission_verdict&)>;

    intake(boost::asio::io_context& context, job_log& jobs);
    ~intake();

    intake(const intake&) = delete;
    intake& operator=(const intake&) = delete;

    /// Takes a job. `done` is called once.
    void submit(submission job, handler done);

    /// Items of jobs that were accepted here and are not taken yet, by job;
    /// the caller becomes their owner. Empty for other jobs.
    std::vector<jobs::JobItem> take_items(const std::string& job);

private:
    struct pending;
    using pending_ptr = std::shared_ptr<pending>;

    std::vector<std::vector<jobs::JobRecord>>
    make_appends(const pending& it) const;
    void append(const pending_ptr& it);
    void take_append(const pending_ptr& it, std::error_code ec);
    void take_commit(const jobs::JobCommit& commit,
                     state::commit_verdict verdict);
    void time_out(const pending_ptr& it);
    void end(const pending_ptr& it, const submission_verdict& verdict);

    boost::asio::io_context& context_;
    job_log& jobs_;
    std::map<std::string, pending_ptr> pending_;

    /// Items of accepted jobs, until they are taken.
    std::map<std::string, std::vector<jobs::JobItem>> accepted_;
};

} // namespace tanagertrack::batch

#endif
