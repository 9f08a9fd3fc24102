#include "api/job_upload.hpp"

#include "common/result_code.hpp"

#include <utility>

namespace tanagertrack::api
{

using common::result_code;

namespace
{

/// Bytes that wait for the store, above which the body is not read on.
constexpr std::size_t max_unsent_bytes = 4UL * 1024 * 1024;

/// Bytes of an item's record beside the item.
constexpr std::size_t record_overhead_bytes = 1024;

/// Time for a job to be accepted after its submission began.
constexpr auto submission_time = std::chrono::minutes(10);

} // namespace

job_upload::job_upload(entry::entry_core& core, caller_request request,
                       std::string job, std::function<void()> accepted)
    : core_(core), request_(std::move(request)), job_(std::move(job)),
      accepted_(std::move(accepted)),
      parser_(request_.fleet, core.settings().batch.max_items_per_job)
{
}

void job_upload::start()
{
    request_.http->limit_body(core_.settings().front.max_job_bytes);
    batch::job_terms terms;
    terms.job = job_;
    terms.team = request_.team;
    terms.keep = core_.settings().batch.result_retention;
    terms.deadline = common::clock::now() + submission_time;
    terms.compares_content = true;
    const boost::intrusive_ptr<job_upload> self(this);
    submission_ = core_.submissions().open(
        std::move(terms), [self](const batch::submission_result& refusal)
        { self->take_verdict(refusal); });
    if (over_)
        return;
    submission_->on_progress([self] { self->read_on(); });
    read_on();
}

void job_upload::read_on()
{
    if (over_ || waits_ || submission_->unsent_bytes() > max_unsent_bytes)
        return;
    waits_ = true;
    request_.http->read_body(
        [self = boost::intrusive_ptr<job_upload>(this)](
            std::error_code ec, const std::string& piece, bool end)
        { self->take_piece(ec, piece, end); });
}

void job_upload::take_piece(std::error_code ec, std::string_view piece,
                            bool end)
{
    waits_ = false;
    if (over_)
        return;
    if (ec)
    {
        // Without a commit, what was appended is void.
        over_ = true;
        submission_->cancel();
        if (ec == result_code::body_too_large)
            return request_.http->refuse(
                http::rejection(result_code::body_too_large));
        return request_.http->abort();
    }
    hash_.update(piece);
    if (!take_lines(piece, end))
        return;
    if (!end)
        return read_on();
    if (parser_.items() == 0)
        return refuse(result_code::invalid_request, "the job has no items");
    submission_->commit(hash_.digest());
}

bool job_upload::take_lines(std::string_view piece, bool end)
{
    const auto max_line = core_.settings().front.max_line_bytes;
    for (;;)
    {
        const auto n = piece.find('\n');
        line_.append(piece.substr(0, n));
        if (line_.size() > max_line)
        {
            refuse(result_code::line_too_long,
                   "line " + std::to_string(parser_.lines() + 1) +
                       ": longer than " + std::to_string(max_line) + " bytes");
            return false;
        }
        if (n == std::string_view::npos)
            break;
        piece.remove_prefix(n + 1);
        if (!take_line(std::exchange(line_, {})))
            return false;
    }
    return !end || take_line(std::exchange(line_, {}));
}

bool job_upload::take_line(std::string_view line)
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
    const auto limit =
        core_.settings().store.max_record_bytes - record_overhead_bytes;
    if (item.ByteSizeLong() > limit)
    {
        refuse(result_code::line_too_long, "line " +
                                               std::to_string(parser_.lines()) +
                                               ": doesn't fit into a record");
        return false;
    }
    submission_->add(std::move(item));
    return !over_;
}

void job_upload::refuse(std::error_code ec, std::string message)
{
    over_ = true;
    submission_->cancel();
    http::rejection why(common::to_result_code(ec));
    why.message = std::move(message);
    request_.observer->first_answer(common::info(why.code).http_status);
    request_.http->refuse(why);
}

void job_upload::take_verdict(const batch::submission_result& refusal)
{
    if (std::exchange(over_, true))
        return;
    if (!refusal)
        return accepted_();
    request_.observer->first_answer(common::info(refusal->code).http_status);
    request_.http->refuse(*refusal);
}

} // namespace tanagertrack::api
