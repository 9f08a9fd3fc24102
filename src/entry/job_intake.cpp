#include "entry/job_intake.hpp"

#include "common/logging.hpp"
#include "common/result_code.hpp"
#include "entry/async_call.hpp"
#include "entry/caller_exchange.hpp"
#include "entry/job_answers.hpp"

#include <utility>

namespace tanagertrack::entry
{

using common::execution;
using common::result_code;
namespace asio = boost::asio;

namespace
{

/// Time that an intake waits for the log, for each append.
constexpr std::chrono::seconds log_timeout{10};

/// Room in a chunk for its job id and headers.
constexpr std::size_t chunk_overhead_bytes = 512;

http::rejection not_run(result_code code, std::string message = {})
{
    http::rejection why(code);
    why.ran = execution::not_run;
    why.message = std::move(message);
    return why;
}

/// The commit may have been recorded, now or later.
http::rejection unknown_commit()
{
    http::rejection why(result_code::log_append_unknown);
    why.ran = execution::may_have_run;
    why.message = "the job may have been accepted; sending it again with the "
                  "same Idempotency-Key is safe";
    why.retry_after = std::chrono::seconds(1);
    return why;
}

} // namespace

job_intake::job_intake(std::shared_ptr<batch_core> core, exchange_ptr request,
                       placed_id id)
    : core_(std::move(core)), request_(std::move(request)), id_(std::move(id)),
      claim_(core_->owner(id_.partition).claim_offset()),
      intake_(common::random_id())
{
}

const state::job* job_intake::find_job()
{
    auto& owner = core_->owner(id_.partition);
    return owner.is_held() && owner.claim_offset() == claim_
               ? owner.state().find_job(id_.id)
               : nullptr;
}

asio::awaitable<void> job_intake::run()
{
    auto why = check_start();
    if (!why)
        why = co_await read_body();
    if (!why && !caller_gone_)
    {
        // Not a conditional expression: GCC 12 copies its temporaries wrongly
        // across a suspension.
        if (known_)
            why = judge_commit();
        else
            why = co_await commit();
    }
    if (caller_gone_)
        co_return;
    if (why)
    {
        refuse(*request_, *why);
        co_return;
    }
    answer(*find_job());
}

job_intake::result job_intake::check_start()
{
    if (core_->is_stopping())
        return not_run(result_code::shutting_down);
    auto fleet = core_->fleet();
    if (!fleet)
        return not_run(result_code::no_configuration);
    const auto& limits = core_->settings().batch;
    parser_ = std::make_unique<item_parser>(std::move(fleet),
                                            limits.max_items_per_job);
    known_ = find_job() != nullptr;
    if (known_)
        return std::nullopt;
    if (!core_->control().log_is_up())
        return not_run(result_code::log_unavailable);
    if (core_->job_count() >= limits.max_jobs ||
        core_->item_count() >= limits.max_items)
        return not_run(result_code::jobs_full);
    return std::nullopt;
}

asio::awaitable<job_intake::result> job_intake::read_body()
{
    for (;;)
    {
        auto piece = co_await read_piece(request_);
        if (piece.ec == result_code::body_too_large)
            co_return not_run(result_code::body_too_large);
        if (piece.ec)
        {
            // Without a commit, what was appended is void.
            caller_gone_ = true;
            request_->abort();
            co_return std::nullopt;
        }
        hash_.update(piece.data);
        if (!known_)
        {
            auto why = co_await take_piece(piece.data, piece.end);
            if (why)
                co_return why;
        }
        if (piece.end)
            co_return std::nullopt;
    }
}

asio::awaitable<job_intake::result>
job_intake::take_piece(std::string_view piece, bool end)
{
    const auto max_line = core_->settings().front.max_line_bytes;
    for (;;)
    {
        const auto n = piece.find('\n');
        const bool whole = n != std::string_view::npos;
        const auto part = piece.substr(0, n);
        if (line_.size() + part.size() > max_line)
            co_return not_run(result_code::line_too_long,
                              "line " + std::to_string(parser_->lines() + 1) +
                                  ": longer than " + std::to_string(max_line) +
                                  " bytes");
        line_.append(part);
        if (!whole)
            break;
        piece.remove_prefix(n + 1);
        auto line = std::exchange(line_, {});
        auto why = co_await take_line(std::move(line));
        if (why)
            co_return why;
    }
    if (!end)
        co_return std::nullopt;
    auto line = std::exchange(line_, {});
    co_return co_await take_line(std::move(line));
}

asio::awaitable<job_intake::result> job_intake::take_line(std::string line)
{
    proto::Item item;
    line_error error;
    if (!parser_->parse(line, item, error))
    {
        if (!error.ec)
            co_return std::nullopt;
        co_return not_run(common::to_result_code(error.ec), error.message);
    }

    const auto limit =
        core_->settings().platform.max_record_bytes - 2 * chunk_overhead_bytes;
    const auto bytes = item.ByteSizeLong() + 8;
    if (bytes > limit)
        co_return not_run(result_code::line_too_long,
                          "line " + std::to_string(parser_->lines()) +
                              ": doesn't fit into a record");
    if (chunk_bytes_ + bytes > limit)
    {
        auto why = co_await append_chunk();
        if (why)
            co_return why;
    }
    *chunk_.add_items() = std::move(item);
    chunk_bytes_ += bytes;
    co_return std::nullopt;
}

asio::awaitable<job_intake::result> job_intake::append_chunk()
{
    if (chunk_.items_size() == 0)
        co_return std::nullopt;
    proto::PartitionEntry entry;
    auto& chunk = *entry.mutable_job_chunk();
    chunk = std::exchange(chunk_, {});
    chunk_bytes_ = 0;
    chunk.set_job_id(id_.id);
    chunk.set_intake(intake_);
    chunk.set_first_item(appended_);
    appended_ += static_cast<std::uint32_t>(chunk.items_size());
    const auto deadline = common::clock::now() + log_timeout;
    const auto done = co_await core_->record(id_.partition, claim_,
                                             std::move(entry), deadline, false);
    if (done.ec == result_code::stale_claim)
        co_return not_run(result_code::no_partition_holder);
    if (done.ec)
        co_return not_run(result_code::log_unavailable);
    co_return std::nullopt;
}

asio::awaitable<job_intake::result> job_intake::commit()
{
    if (parser_->items() == 0)
        co_return not_run(result_code::invalid_request, "the job has no items");
    const auto& limits = core_->settings().batch;
    if (core_->item_count() + parser_->items() > limits.max_items)
        co_return not_run(result_code::jobs_full);
    auto why = co_await append_chunk();
    if (why)
        co_return why;

    const auto now = common::unix_time_ms();
    const auto retention =
        std::max(limits.result_retention, limits.key_retention);
    proto::PartitionEntry entry;
    auto& commit = *entry.mutable_job_commit();
    commit.set_job_id(id_.id);
    commit.set_intake(intake_);
    commit.set_team(request_->head().team);
    commit.set_idempotency_key(request_->head().idempotency_key);
    commit.set_content_hash(hash_.digest());
    commit.set_item_count(appended_);
    commit.set_created_ms(now);
    commit.set_keep_until_ms(now +
                             static_cast<std::uint64_t>(retention.count()));
    const auto deadline = common::clock::now() + log_timeout;
    const auto done = co_await core_->record(id_.partition, claim_,
                                             std::move(entry), deadline);
    if (done.ec == result_code::stale_claim)
        co_return not_run(result_code::no_partition_holder);
    if (done.ec == result_code::log_unavailable)
        co_return not_run(result_code::log_unavailable);
    if (done.ec)
        co_return unknown_commit();
    co_return judge_commit();
}

job_intake::result job_intake::judge_commit()
{
    const auto* job = find_job();
    if (job != nullptr)
    {
        if (job->commit().content_hash() == hash_.digest())
            return std::nullopt;
        return not_run(result_code::idempotency_conflict);
    }
    auto& owner = core_->owner(id_.partition);
    if (!owner.is_held() || owner.claim_offset() != claim_)
        return known_ ? not_run(result_code::no_partition_holder)
                      : unknown_commit();
    if (owner.state().is_forgotten(id_.id))
        return not_run(result_code::idempotency_key_expired);
    return not_run(result_code::jobs_full);
}

void job_intake::answer(const state::job& job)
{
    if (!known_)
        common::log_info("job_accepted", {{"job", id_.id},
                                          {"team", job.commit().team()},
                                          {"items", job.item_count()}});
    request_->respond({},
                      batch_object(job, core_->dispatch().open_work(id_.id)));
}

} // namespace tanagertrack::entry
