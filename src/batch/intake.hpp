#ifndef TANAGERTRACK_BATCH_INTAKE_HPP
#define TANAGERTRACK_BATCH_INTAKE_HPP

#include "batch/job_log.hpp"
#include "common/clock.hpp"
#include "http/error_answer.hpp"
#include "proto/jobs.pb.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagertrack::batch
{

class intake;

/// What a caller asks for with a job.
struct job_terms
{
    /// Chosen by the caller, or derived from its key; a resend has the same.
    std::string job;

    /// Name of the route and host name; empty where items name services.
    std::string route;
    std::string host;
    std::string team;

    /// Tokens of the route's items that may wait; 0: no limit.
    std::uint64_t max_waiting_tokens = 0;
    std::chrono::milliseconds due_after{0};

    /// Time for which results stay readable.
    std::chrono::milliseconds keep{0};

    /// Until when the caller waits for the answer.
    common::time_point deadline;

    /// Whether a resend with other items is refused.
    bool compares_content = false;
};

/// Outcome of a submission: accepted, or why not.
using submission_result = std::optional<http::rejection>;

/// One submission of a job, whose items come one after the other. One thread.
class submission
    : public boost::intrusive_ref_counter<submission,
                                          boost::thread_unsafe_counter>
{
public:
    using handler = std::function<void(const submission_result&)>;

    submission(const submission&) = delete;
    submission& operator=(const submission&) = delete;

    /// Adds an item. It fits into a record of the store.
    void add(proto::JobItem item);

    /// Asks for the job to be accepted. `content_hash` is that of the items.
    void commit(std::string content_hash = {});

    /// The caller is gone: nothing is accepted that was not committed.
    void cancel();

    /// Whether the outcome was told.
    bool finished() const
    {
        return !done_;
    }

    /// Bytes that wait for the store; a reader of a large body stops above
    /// some bound.
    std::size_t unsent_bytes() const
    {
        return unsent_bytes_;
    }

    /// Sets a hook that is called whenever the store took some bytes.
    void on_progress(std::function<void()> hook)
    {
        on_progress_ = std::move(hook);
    }

private:
    friend class intake;

    submission(intake& owner, boost::asio::io_context& context, job_terms terms,
               handler done);

    void close_part();
    void flush();
    proto::JobRecord make_commit(std::string content_hash) const;
    void handle_append(std::size_t bytes, std::error_code ec);
    void handle_timeout();
    void finish(const submission_result& result);

    intake& owner_;
    job_terms terms_;
    handler done_;
    std::function<void()> on_progress_;
    boost::asio::steady_timer timer_;

    /// Nonce of the submission.
    std::string nonce_;

    /// The job was accepted before: items are only counted.
    bool already_accepted_ = false;
    bool committed_ = false;
    std::uint32_t items_ = 0;
    std::uint64_t tokens_ = 0;

    // Part that is being filled, and records that wait to be appended.
    proto::JobRecord part_;
    std::size_t part_bytes_ = 0;
    std::vector<proto::JobRecord> records_;
    std::size_t record_bytes_ = 0;
    std::size_t unsent_bytes_ = 0;
    std::optional<store::append_id> commit_append_;

    /// Items, while they are few, for the runner of the job.
    std::vector<proto::JobItem> kept_items_;
    std::size_t kept_bytes_ = 0;
};

using submission_ptr = boost::intrusive_ptr<submission>;

/// Makes submitted jobs accepted: appends them, and reads back what became of
/// them. A rejection says "not run" only where nothing of the job will ever be
/// accepted from this submission. One thread.
class intake
{
public:
    intake(boost::asio::io_context& context, job_log& jobs);

    intake(const intake&) = delete;
    intake& operator=(const intake&) = delete;

    /// Starts a submission. `done` is called once, unless it is cancelled;
    /// it may be called before this returns.
    submission_ptr open(job_terms terms, submission::handler done);

    /// Items of a job that was accepted here and is small; the caller becomes
    /// their owner. Empty for other jobs.
    std::vector<proto::JobItem> extract_items(const std::string& job);

private:
    friend class submission;

    bool is_over_limit(const submission& it) const;
    void handle_commit(const proto::JobCommit& commit,
                       state::commit_result result);

    boost::asio::io_context& context_;
    job_log& jobs_;

    /// Submissions that wait for their verdict, by nonce.
    std::map<std::string, submission_ptr> waiting_;

    /// Items of accepted jobs, until they are taken.
    std::map<std::string, std::vector<proto::JobItem>> accepted_items_;
};

} // namespace tanagertrack::batch

#endif
