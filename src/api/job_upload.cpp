#include "api/job_upload.hpp"

#include "common/result_code.hpp"

#include <utility>

namespace tanagertrack::api
{

using common::result_code;

namespace
{

/// Reading of the body pauses while more bytes than this wait for the store.
constexpr std::size_t max_unacknowledged_bytes = 4UL * 1024 * 1024;

/// Copies of an item that waits for the store: the record, and that in the
/// request to the store.
constexpr std::size_t item_copies = 2;

/// Upper bound for the bytes that a record has in addition to an item.
constexpr std::size_t record_overhead_bytes = 1024;

/// Time after the start of a submission within which the job must be accepted.
constexpr auto submission_timeout = std::chrono::minutes(10);

} // namespace

job_upload::job_upload(entry::entry_core& core, caller_request request,
                       std::string job_id, std::function<void()> on_accepted)
    : core_(core), request_(std::move(request)), job_id_(std::move(job_id)),
      on_accepted_(std::move(on_accepted)),
      parser_(request_.fleet, core.settings().batch.max_items_per_job)
{
}

void job_upload::start()
{
    request_.exchange->limit_body(core_.settings().front.max_job_bytes);

    // Without a key of the caller, the id is new.
    if (request_.exchange->head().idempotency_key().empty())
        return open();
    core_.results().find(job_id_,
                         [self = boost::intrusive_ptr<job_upload>(this)](
                             std::error_code ec, const state::batch_job*)
                         {
                             if (ec)
                                 return self->refuse(ec, {});
                             self->open();
                         });
}

void job_upload::open()
{
    batch::job_terms terms;
    terms.job = job_id_;
    terms.team = request_.team;
    terms.keep = core_.settings().batch.result_retention;
    terms.deadline = common::clock::now() + submission_timeout;
    terms.compares_content = true;
    const boost::intrusive_ptr<job_upload> self(this);
    submission_ = core_.submissions().open(
        std::move(terms), [self](const batch::submission_result& result)
        { self->handle_result(result); });

    // The submission may have been refused before `open` returned.
    if (ended_)
        return;
    submission_->on_progress(
        [self]
        {
            self->account_for_bytes();
            self->read_next();
        });
    request_.exchange->on_abandoned([self] { self->abandon(); });
    read_next();
}

void job_upload::account_for_bytes()
{
    request_.exchange->set_held_bytes(partial_line_.capacity() +
                                      item_copies * submission_->held_bytes());
}

void job_upload::abandon()
{
    if (committed_ || std::exchange(ended_, true))
        return;
    submission_->cancel();
}

void job_upload::read_next()
{
    if (ended_ || reading_ ||
        submission_->unacknowledged_bytes() > max_unacknowledged_bytes)
        return;
    reading_ = true;
    request_.exchange->read_body(
        [self = boost::intrusive_ptr<job_upload>(this)](
            std::error_code ec, const std::string& piece, bool end)
        { self->handle_piece(ec, piece, end); });
}

void job_upload::handle_piece(std::error_code ec, std::string_view piece,
                              bool end)
{
    reading_ = false;
    if (ended_)
        return;
    if (ec)
    {
        // Items that were appended need no clean-up: they are not run unless
        // their job is committed.
        ended_ = true;
        submission_->cancel();
        if (ec == result_code::body_too_large || ec == result_code::overloaded)
            return request_.exchange->refuse(
                http::rejection(common::to_result_code(ec)));
        return request_.exchange->abort();
    }
    body_hash_.update(piece);

    // The items of a job that was accepted before were checked then. They may
    // name models that have been removed since.
    const bool is_repeated = submission_->is_repeated();
    if (!is_repeated && !parse_lines(piece, end))
        return;
    account_for_bytes();
    if (!end)
        return read_next();
    if (!is_repeated && parser_.items() == 0)
        return refuse(result_code::invalid_request, "the job has no items");
    committed_ = true;
    submission_->commit(body_hash_.digest());
}

bool job_upload::parse_lines(std::string_view piece, bool end)
{
    const auto max_line = core_.settings().front.max_line_bytes;
    for (;;)
    {
        const auto n = piece.find('\n');
        partial_line_.append(piece.substr(0, n));
        if (partial_line_.size() > max_line)
        {
            refuse(result_code::line_too_long,
                   "line " + std::to_string(parser_.lines() + 1) +
                       ": longer than " + std::to_string(max_line) + " bytes");
            return false;
        }
        if (n == std::string_view::npos)
            break;
        piece.remove_prefix(n + 1);
        if (!submit_line(std::exchange(partial_line_, {})))
            return false;
    }
    return !end || submit_line(std::exchange(partial_line_, {}));
}

bool job_upload::submit_line(std::string_view line)
{
    proto::JobItem item;
    line_error error;
    if (!parser_.parse(line, item, error))
    {
        if (!error.ec)
            return true;
        refuse(error.ec, std::move(error.message));
        return false;
    }
    const auto max_item_bytes =
        core_.settings().store.max_record_bytes - record_overhead_bytes;
    if (item.ByteSizeLong() > max_item_bytes)
    {
        refuse(result_code::line_too_long,
               "line " + std::to_string(parser_.lines()) +
                   ": the item is larger than " +
                   std::to_string(max_item_bytes) + " bytes");
        return false;
    }
    submission_->add(std::move(item));
    return !ended_;
}

void job_upload::refuse(std::error_code ec, std::string message)
{
    ended_ = true;
    if (submission_)
        submission_->cancel();
    http::rejection rejection(common::to_result_code(ec));
    rejection.message = std::move(message);
    request_.observer->record_first_answer(
        common::info(rejection.code).http_status);
    request_.exchange->refuse(rejection);
}

void job_upload::handle_result(const batch::submission_result& result)
{
    if (std::exchange(ended_, true))
        return;
    if (!result)
        return on_accepted_();
    request_.observer->record_first_answer(
        common::info(result->code).http_status);
    request_.exchange->refuse(*result);
}

} // namespace tanagertrack::api
