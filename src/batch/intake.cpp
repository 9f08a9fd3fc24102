#include "batch/intake.hpp"

#include "common/hash.hpp"
#include "common/logging.hpp"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace tanagertrack::batch
{

using common::result_code;
using state::commit_verdict;
using std::chrono::milliseconds;

namespace
{

/// Time before the caller's deadline at which an open outcome is reported.
constexpr auto answer_margin = milliseconds(250);

/// A view of the waiting tokens that is older than this is not used to reject
/// a job before it is appended.
constexpr auto limit_view_age = milliseconds(1000);

/// When to come back after a rejection for waiting tokens: a few items end in
/// that time.
constexpr auto over_limit_retry = milliseconds(700);

/// When to come back while the store refuses appends.
constexpr auto store_retry = milliseconds(400);

/// Bytes of a part's record, below the largest record of the store.
constexpr std::size_t part_bytes = 128UL * 1024;

http::rejection reject(result_code code, common::execution ran,
                       milliseconds retry_after)
{
    http::rejection why(code);
    why.ran = ran;
    why.retry_after = retry_after;
    return why;
}

} // namespace

/// A submission on its way into the log.
struct intake::pending
{
    explicit pending(boost::asio::io_context& context) : timer(context)
    {
    }

    submission job;

    /// Nonce of the submission.
    std::string nonce;
    handler done;
    boost::asio::steady_timer timer;

    /// Appends not acknowledged yet, and the one with the commit.
    std::size_t appends_left = 0;
    store::write_ticket last_ticket = 0;
};

intake::intake(boost::asio::io_context& context, job_log& jobs)
    : context_(context), jobs_(jobs)
{
    job_listener listener;
    listener.changes.on_commit = [this](const jobs::JobCommit& commit,
                                        commit_verdict verdict)
    {
        take_commit(commit, verdict);
    };
    jobs_.add_listener(std::move(listener));
}

intake::~intake() = default;

void intake::submit(submission job, handler done)
{
    if (jobs_.table().find(job.job) != nullptr)
    {
        common::log_info("job_repeated", {{"job", job.job}});
        return done(std::nullopt);
    }
    if (!jobs_.is_current() || !jobs_.reachable())
    {
        common::log_info("job_refused", {{"job", job.job},
                                         {"why", "store_unavailable"},
                                         {"current", jobs_.is_current()}});
        return done(reject(result_code::log_unavailable,
                           common::execution::not_run, store_retry));
    }

    // With a fresh view the verdict of the log is known beforehand.
    std::uint64_t tokens = 0;
    for (const auto& it : job.items)
        tokens += it.tokens();
    const auto limit = job.route->max_waiting_tokens;
    const auto waiting = jobs_.table().waiting_tokens(job.route->name);
    const auto as_of = jobs_.current_as_of();
    const bool fresh = as_of && common::clock::now() - *as_of < limit_view_age;
    if (limit != 0 && fresh && waiting + tokens > limit)
    {
        common::log_info("job_refused", {{"job", job.job},
                                         {"why", "over_limit"},
                                         {"waiting_tokens", waiting},
                                         {"tokens", tokens},
                                         {"limit", limit}});
        return done(reject(result_code::jobs_full, common::execution::not_run,
                           over_limit_retry));
    }

    const auto it = std::make_shared<pending>(context_);
    it->job = std::move(job);
    it->nonce = common::random_id();
    it->done = std::move(done);
    it->timer.expires_at(it->job.deadline - answer_margin);
    it->timer.async_wait(
        [this, it](const auto& ec)
        {
            if (!ec)
                time_out(it);
        });
    pending_[it->nonce] = it;
    append(it);
}

std::vector<std::vector<jobs::JobRecord>>
intake::make_appends(const pending& it) const
{
    const auto& job = it.job;
    std::vector<std::vector<jobs::JobRecord>> appends(1);
    std::size_t append_bytes = 0;
    jobs::JobRecord record;
    std::size_t record_bytes = 0;
    const auto close_record = [&]
    {
        if (record_bytes == 0)
            return;
        constexpr std::size_t max_append_bytes = 1024UL * 1024;
        if (append_bytes + record_bytes > max_append_bytes)
        {
            appends.emplace_back();
            append_bytes = 0;
        }
        append_bytes += record_bytes;
        appends.back().push_back(std::exchange(record, {}));
        record_bytes = 0;
    };
    std::uint32_t index = 0;
    for (const auto& item : job.items)
    {
        const auto bytes = item.ByteSizeLong();
        if (record_bytes + bytes > part_bytes)
            close_record();
        auto& part = *record.mutable_part();
        if (record_bytes == 0)
        {
            part.set_job(job.job);
            part.set_intake(it.nonce);
            part.set_first_item(index);
        }
        *part.add_items() = item;
        record_bytes += bytes;
        ++index;
    }
    close_record();

    jobs::JobRecord last;
    auto& commit = *last.mutable_commit();
    commit.set_job(job.job);
    commit.set_intake(it.nonce);
    commit.set_route(job.route->name);
    commit.set_host(job.route->host);
    commit.set_member(jobs_.member());
    commit.set_item_count(index);
    commit.set_created_ms(common::unix_time_ms());
    commit.set_max_waiting_tokens(job.route->max_waiting_tokens);
    commit.set_due_after_ms(
        static_cast<std::uint32_t>(job.route->due_after.count()));
    appends.back().push_back(std::move(last));
    return appends;
}

void intake::append(const pending_ptr& it)
{
    const auto appends = make_appends(*it);
    it->appends_left = appends.size();
    for (const auto& records : appends)
    {
        it->last_ticket =
            jobs_.append(records, false,
                         [this, it](std::error_code ec, std::uint64_t)
                         { take_append(it, ec); });
    }
}

void intake::take_append(const pending_ptr& it, std::error_code ec)
{
    --it->appends_left;
    if (!pending_.contains(it->nonce))
        return;
    if (ec)
    {
        // Without one of its appends the commit has no effect.
        common::log_info("job_refused", {{"job", it->job.job},
                                         {"why", "append_refused"},
                                         {"what", ec.message()}});
        return end(it, reject(result_code::log_unavailable,
                              common::execution::not_run, store_retry));
    }
    if (it->appends_left == 0)
        jobs_.confirm(milliseconds(0), [](std::error_code) {});
}

void intake::take_commit(const jobs::JobCommit& commit, commit_verdict verdict)
{
    const auto found = pending_.find(commit.intake());
    if (verdict == commit_verdict::accepted)
        common::log_info("job_accepted", {{"job", commit.job()},
                                          {"runner", commit.member()},
                                          {"items", commit.item_count()}});
    if (found == pending_.end())
        return;
    const auto it = found->second;
    switch (verdict)
    {
    case commit_verdict::accepted:
        accepted_[commit.job()] = std::move(it->job.items);
        return end(it, std::nullopt);
    case commit_verdict::repeated:
        return end(it, std::nullopt);
    case commit_verdict::over_limit:
        common::log_info("job_refused",
                         {{"job", commit.job()}, {"why", "over_limit_at_commit"}});
        return end(it, reject(result_code::jobs_full,
                              common::execution::not_run, over_limit_retry));
    case commit_verdict::incomplete:
        common::log_warning("job_incomplete", {{"job", commit.job()}});
        return end(it, reject(result_code::log_unavailable,
                              common::execution::not_run, store_retry));
    }
}

void intake::time_out(const pending_ptr& it)
{
    if (!pending_.contains(it->nonce))
        return;

    // Without its commit, which is in the last append, nothing runs.
    const bool withdrawn = jobs_.withdraw(it->last_ticket);
    common::log_info("job_refused", {{"job", it->job.job},
                                     {"why", "deadline"},
                                     {"withdrawn", withdrawn}});
    if (withdrawn)
        return end(it, reject(result_code::log_unavailable,
                              common::execution::not_run, store_retry));
    end(it, reject(result_code::deadline_exceeded,
                   common::execution::may_have_run, milliseconds(0)));
}

void intake::end(const pending_ptr& it, const submission_verdict& verdict)
{
    pending_.erase(it->nonce);
    it->timer.cancel();
    auto done = std::exchange(it->done, nullptr);
    done(verdict);
}

std::vector<jobs::JobItem> intake::take_items(const std::string& job)
{
    const auto it = accepted_.find(job);
    if (it == accepted_.end())
        return {};
    auto items = std::move(it->second);
    accepted_.erase(it);
    return items;
}

} // namespace tanagertrack::batch
