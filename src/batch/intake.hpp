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

/// Parameters of a submitted job.
struct job_terms
{
    /// Id of the job: chosen by the caller, or derived from its idempotency
    /// key, so that a resend has the same id.
    std::string job;

    /// Name of the route and host name; empty if the items name their services.
    std::string route;
    std::string host;
    std::string team;

    /// Version of the configuration with this route; 0 without a route.
    std::uint64_t configuration_version = 0;

    /// Maximum number of tokens of the route's waiting items; 0: no limit.
    std::uint64_t max_waiting_tokens = 0;
    std::chrono::milliseconds due_after{0};

    /// Time for which the results stay readable.
    std::chrono::milliseconds keep{0};

    /// Time until which the caller waits for the response.
    common::time_point deadline;

    /// True if a resend with other items is rejected.
    bool compares_content = false;
};

/// Result of a submission: std::nullopt if the job was accepted, or the
/// rejection.
using submission_result = std::optional<http::rejection>;

/// One submission of a job, to which the items are added one by one. Not
/// thread-safe: all calls are made on the thread of the io_context.
class submission
    : public boost::intrusive_ref_counter<submission,
                                          boost::thread_unsafe_counter>
{
public:
    using handler = std::function<void(const submission_result&)>;

    submission(const submission&) = delete;
    submission& operator=(const submission&) = delete;

    /// Adds an item, which must fit into one record of the store.
    void add(proto::JobItem item);

    /// Requests that the job be accepted with the items added so far.
    /// `content_hash` is the hash of the items.
    void commit(std::string content_hash = {});

    /// Ends the submission because the caller left; the handler is not called.
    /// A job that was not committed is not accepted.
    void cancel();

    /// Returns true if the handler was called or the submission was cancelled.
    bool finished() const
    {
        return !done_;
    }

    /// Returns true if the job was accepted before: the items are not needed,
    /// only the hash of their content.
    bool is_repeated() const
    {
        return already_accepted_;
    }

    /// Bytes that were passed to the log and that the store has not
    /// acknowledged yet; the reader of a large body pauses while there are too
    /// many.
    std::size_t unacknowledged_bytes() const
    {
        return unacknowledged_bytes_;
    }

    /// Bytes of items that the submission holds: those that wait for the store,
    /// those that are not sent yet, and those that are kept for the runner.
    std::size_t held_bytes() const
    {
        return unacknowledged_bytes_ + record_bytes_ + part_bytes_ +
               (kept_items_.empty() ? 0 : kept_bytes_);
    }

    /// Sets a hook that is called whenever the store has acknowledged some
    /// bytes.
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

    /// Ends the submission of a job that was accepted before.
    void finish_repeated(const std::string& content_hash);

    /// Reads the log up to its end before the job is refused because of the
    /// waiting tokens: another process may have accepted it, or items may have
    /// ended.
    void confirm_limit(std::string content_hash);

    /// Appends the last items and the commit to the log.
    void append_commit(std::string content_hash);
    proto::JobRecord make_commit(std::string content_hash) const;
    void handle_append(std::size_t bytes, std::error_code ec);
    void handle_timeout();
    void finish(const submission_result& result);

    intake& owner_;
    job_terms terms_;
    handler done_;
    std::function<void()> on_progress_;
    boost::asio::steady_timer timer_;

    /// Identifies the submission in the log.
    std::string nonce_;

    /// True if the job was accepted before: items are only counted.
    bool already_accepted_ = false;
    bool committed_ = false;
    std::uint32_t items_ = 0;
    std::uint64_t tokens_ = 0;

    // Part that is being filled, and records that are not passed to the log
    // yet.
    proto::JobRecord part_;
    std::size_t part_bytes_ = 0;
    std::vector<proto::JobRecord> records_;
    std::size_t record_bytes_ = 0;
    std::size_t unacknowledged_bytes_ = 0;
    std::optional<store::append_id> commit_append_;

    /// Copies of the items for the runner, as long as the job is small.
    std::vector<proto::JobItem> kept_items_;
    std::size_t kept_bytes_ = 0;
};

using submission_ptr = boost::intrusive_ptr<submission>;

/// Appends submitted jobs to the log and reads back whether they were accepted.
/// A rejection is marked as not run only if nothing of the job will ever be
/// accepted from this submission. Not thread-safe: all calls are made on the
/// thread of the io_context.
class intake
{
public:
    intake(boost::asio::io_context& context, job_log& jobs);

    intake(const intake&) = delete;
    intake& operator=(const intake&) = delete;

    /// Starts a submission. `done` is called once, possibly before this
    /// function returns, unless the submission is cancelled.
    submission_ptr open(job_terms terms, submission::handler done);

    /// Moves the items of a small job that was accepted here to the caller;
    /// empty for other jobs.
    std::vector<proto::JobItem> extract_items(const std::string& job);

private:
    friend class submission;

    bool is_over_limit(const submission& candidate) const;
    void handle_commit(const proto::JobCommit& commit,
                       state::commit_result result);

    boost::asio::io_context& context_;
    job_log& jobs_;

    /// Submissions whose commit was not read back yet, by nonce.
    std::map<std::string, submission_ptr> waiting_;

    /// Items of accepted small jobs until the runner extracts them, by job.
    std::map<std::string, std::vector<proto::JobItem>> accepted_items_;
};

} // namespace tanagertrack::batch

#endif
