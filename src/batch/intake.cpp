#include "batch/intake.hpp"

#include "common/hash.hpp"
#include "common/logging.hpp"
#include "common/timer_wait.hpp"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace tanagertrack::batch
{

using common::execution;
using common::result_code;
using state::commit_result;
using std::chrono::milliseconds;

namespace
{

/// Time before the caller's deadline at which a submission without a result is
/// answered.
constexpr auto answer_margin = milliseconds(250);

/// Maximum age of a view of the waiting tokens with which a job is rejected
/// before it is appended.
constexpr auto max_limit_view_age = milliseconds(1000);

/// Retry time for rejections because of waiting tokens: a few items end in this
/// time.
constexpr auto over_limit_retry = milliseconds(700);

/// Retry time for rejections while the store refuses appends.
constexpr auto store_retry = milliseconds(400);

/// Maximum bytes of the record of a part; below the maximum record size of the
/// store.
constexpr std::size_t max_part_bytes = 128UL * 1024;

/// Maximum bytes of the records collected for one append.
constexpr std::size_t max_append_bytes = 1024UL * 1024;

/// Maximum bytes of items kept in memory for the runner; the items of larger
/// jobs are read from the log when they are needed.
constexpr std::size_t max_kept_bytes = 256UL * 1024;

http::rejection reject(result_code code, execution ran,
                       milliseconds retry_after)
{
    http::rejection out(code);
    out.ran = ran;
    out.retry_after = retry_after;
    return out;
}

} // namespace

submission::submission(intake& owner, boost::asio::io_context& context,
                       job_terms terms, handler done)
    : owner_(owner), terms_(std::move(terms)), done_(std::move(done)),
      timer_(context), nonce_(common::random_id())
{
}

void submission::add(proto::JobItem item)
{
    if (finished() || committed_)
        return;
    ++items_;
    tokens_ += item.tokens();
    if (already_accepted_)
        return;
    const auto bytes = item.ByteSizeLong();
    if (part_bytes_ != 0 && part_bytes_ + bytes > max_part_bytes)
        close_part();
    auto& part = *part_.mutable_part();
    if (part_bytes_ == 0)
    {
        part.set_job(terms_.job);
        part.set_intake(nonce_);
        part.set_first_item(items_ - 1);
    }
    part_bytes_ += bytes;
    kept_bytes_ += bytes;
    if (kept_bytes_ <= max_kept_bytes)
        kept_items_.push_back(item);
    else
        kept_items_.clear();
    *part.add_items() = std::move(item);
}

void submission::close_part()
{
    if (part_bytes_ == 0)
        return;
    if (record_bytes_ + part_bytes_ > max_append_bytes)
        flush();
    record_bytes_ += std::exchange(part_bytes_, 0);
    records_.push_back(std::exchange(part_, {}));
}

void submission::flush()
{
    if (records_.empty() || finished())
        return;
    const auto bytes = std::exchange(record_bytes_, 0);
    unacknowledged_bytes_ += bytes;
    const auto append = owner_.jobs_.append(
        std::exchange(records_, {}), false,
        [self = submission_ptr(this), bytes](std::error_code ec, std::uint64_t)
        { self->handle_append(bytes, ec); });
    if (committed_)
        commit_append_ = append;
}

void submission::commit(std::string content_hash)
{
    if (finished() || committed_)
        return;
    committed_ = true;
    if (already_accepted_)
        return finish_repeated(content_hash);
    if (owner_.is_over_limit(*this))
        return confirm_limit(std::move(content_hash));
    append_commit(std::move(content_hash));
}

void submission::finish_repeated(const std::string& content_hash)
{
    const auto* job = owner_.jobs_.table().find(terms_.job);
    const bool same_content =
        job != nullptr &&
        (!terms_.compares_content || job->content_hash == content_hash);
    if (same_content && job->is_visible_to(terms_.team))
        return finish(std::nullopt);
    finish(reject(result_code::idempotency_conflict, execution::not_run,
                  milliseconds(0)));
}

void submission::confirm_limit(std::string content_hash)
{
    owner_.jobs_.confirm(
        common::clock::now(),
        [self = submission_ptr(this),
         content_hash = std::move(content_hash)](std::error_code ec) mutable
        {
            if (self->finished())
                return;
            auto& owner = self->owner_;
            if (owner.jobs_.table().find(self->terms_.job) != nullptr)
                return self->finish_repeated(content_hash);
            if (ec)
                return self->finish(reject(result_code::log_unavailable,
                                           execution::not_run, store_retry));
            if (owner.is_over_limit(*self))
                return self->finish(reject(result_code::jobs_full,
                                           execution::not_run,
                                           over_limit_retry));
            self->append_commit(std::move(content_hash));
        });
}

void submission::append_commit(std::string content_hash)
{
    close_part();
    records_.push_back(make_commit(std::move(content_hash)));
    flush();
}

proto::JobRecord submission::make_commit(std::string content_hash) const
{
    proto::JobRecord record;
    auto& commit = *record.mutable_commit();
    commit.set_job(terms_.job);
    commit.set_intake(nonce_);
    commit.set_route(terms_.route);
    commit.set_host(terms_.host);
    commit.set_team(terms_.team);
    commit.set_configuration_version(terms_.configuration_version);
    commit.set_member(owner_.jobs_.member());
    commit.set_item_count(items_);
    commit.set_created_ms(common::unix_time_ms());
    commit.set_max_waiting_tokens(terms_.max_waiting_tokens);
    commit.set_due_after_ms(
        static_cast<std::uint32_t>(terms_.due_after.count()));
    commit.set_keep_ms(static_cast<std::uint64_t>(terms_.keep.count()));
    commit.set_content_hash(std::move(content_hash));
    return record;
}

void submission::handle_append(std::size_t bytes, std::error_code ec)
{
    unacknowledged_bytes_ -= bytes;
    if (finished())
        return;
    if (ec)
    {
        // The commit has no effect if one of the submission's appends is
        // missing.
        common::log_info("job_refused", {{"job", terms_.job},
                                         {"why", "append_refused"},
                                         {"what", ec.message()}});
        return finish(reject(result_code::log_unavailable, execution::not_run,
                             store_retry));
    }
    if (on_progress_)
        on_progress_();
    if (committed_ && unacknowledged_bytes_ == 0)
        owner_.jobs_.read_soon();
}

void submission::handle_timeout()
{
    // The commit is in the last append. If it was not sent or can be withdrawn,
    // the job is certainly not accepted.
    const bool not_run =
        !commit_append_ || owner_.jobs_.withdraw(*commit_append_);
    common::log_info("job_refused", {{"job", terms_.job},
                                     {"why", "deadline"},
                                     {"not_run", not_run ? 1 : 0}});
    if (not_run)
        return finish(reject(result_code::log_unavailable, execution::not_run,
                             store_retry));
    finish(reject(result_code::deadline_exceeded, execution::may_have_run,
                  milliseconds(0)));
}

void submission::cancel()
{
    if (finished())
        return;
    done_ = [](const submission_result&) {
    };
    finish(std::nullopt);
}

void submission::finish(const submission_result& result)
{
    const submission_ptr self(this);
    timer_.cancel();
    owner_.waiting_.erase(nonce_);
    on_progress_ = nullptr;
    const auto done = std::exchange(done_, nullptr);
    done(result);
}

intake::intake(boost::asio::io_context& context, job_log& jobs)
    : context_(context), jobs_(jobs)
{
    job_listener listener;
    listener.changes.on_commit =
        [this](const proto::JobCommit& commit, commit_result result)
    {
        handle_commit(commit, result);
    };
    jobs_.add_listener(std::move(listener));
}

submission_ptr intake::open(job_terms terms, submission::handler done)
{
    const submission_ptr it(
        new submission(*this, context_, std::move(terms), std::move(done)));
    const auto& job = it->terms_.job;
    if (jobs_.table().find(job) != nullptr)
    {
        common::log_info("job_repeated", {{"job", job}});
        it->already_accepted_ = true;
        if (!it->terms_.compares_content)
            it->finish_repeated({});
        return it;
    }
    if (!jobs_.is_current() || !jobs_.reachable())
    {
        common::log_info("job_refused",
                         {{"job", job},
                          {"why", "store_unavailable"},
                          {"current", jobs_.is_current() ? 1 : 0}});
        it->finish(reject(result_code::log_unavailable, execution::not_run,
                          store_retry));
        return it;
    }
    waiting_[it->nonce_] = it;
    common::wait_until(it->timer_, it->terms_.deadline - answer_margin,
                       [it](const auto& ec)
                       {
                           if (!ec && !it->finished())
                               it->handle_timeout();
                       });
    return it;
}

bool intake::is_over_limit(const submission& candidate) const
{
    // With a fresh view of the log, the result of the commit is known before it
    // is appended.
    const auto limit = candidate.terms_.max_waiting_tokens;
    const auto waiting = jobs_.table().waiting_tokens(candidate.terms_.route,
                                                      candidate.terms_.team);
    const auto as_of = jobs_.current_as_of();
    const bool is_fresh =
        as_of && common::clock::now() - *as_of < max_limit_view_age;
    const bool over_limit =
        limit != 0 && is_fresh && waiting + candidate.tokens_ > limit;
    if (over_limit)
        common::log_info("job_refused", {{"job", candidate.terms_.job},
                                         {"why", "over_limit"},
                                         {"waiting_tokens", waiting},
                                         {"tokens", candidate.tokens_},
                                         {"limit", limit}});
    return over_limit;
}

void intake::handle_commit(const proto::JobCommit& commit, commit_result result)
{
    if (result == commit_result::accepted)
        common::log_info("job_accepted", {{"job", commit.job()},
                                          {"runner", commit.member()},
                                          {"items", commit.item_count()}});
    const auto found = waiting_.find(commit.intake());
    if (found == waiting_.end())
        return;
    const auto it = found->second;
    switch (result)
    {
    case commit_result::accepted:
        if (!it->kept_items_.empty())
            accepted_items_[commit.job()] = std::move(it->kept_items_);
        return it->finish(std::nullopt);
    case commit_result::repeated:
        return it->finish(std::nullopt);
    case commit_result::conflict:
        return it->finish(reject(result_code::idempotency_conflict,
                                 execution::not_run, milliseconds(0)));
    case commit_result::over_limit:
        common::log_info("job_refused", {{"job", commit.job()},
                                         {"why", "over_limit_at_commit"}});
        return it->finish(reject(result_code::jobs_full, execution::not_run,
                                 over_limit_retry));
    case commit_result::incomplete:
        common::log_warning("job_incomplete", {{"job", commit.job()}});
        return it->finish(reject(result_code::log_unavailable,
                                 execution::not_run, store_retry));
    }
}

std::vector<proto::JobItem> intake::extract_items(const std::string& job)
{
    const auto it = accepted_items_.find(job);
    if (it == accepted_items_.end())
        return {};
    auto items = std::move(it->second);
    accepted_items_.erase(it);
    return items;
}

} // namespace tanagertrack::batch
