#include "api/result_stream.hpp"

#include "api/completion_json.hpp"
#include "common/result_code.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <span>
#include <utility>

namespace tanagertrack::api
{

namespace json = boost::json;
using common::result_code;

namespace
{

/// Maximum bytes of result texts that are read at a time.
constexpr std::size_t max_page_bytes = 128UL * 1024;

/// Parses a response body as JSON. Returns it as a string if it isn't JSON.
json::value parse_body(std::string_view body)
{
    boost::system::error_code ec;
    auto value = json::parse(body, ec);
    return ec ? json::value(json::string(body)) : value;
}

/// Returns the `error` member of an item's line. `detail` is the body of the
/// target's response, if there is one.
json::object make_error(result_code code, std::string_view detail)
{
    const auto& row = common::info(code);
    json::object error;
    error["code"] = static_cast<int>(code);
    error["name"] = row.name;
    error["message"] = row.text;
    error["execution"] = to_string(row.ran);
    if (!detail.empty())
        error["detail"] = parse_body(detail);
    return error;
}

/// Returns the result code of an item that has ended without success.
result_code code_of(proto::ItemState state)
{
    switch (state)
    {
    case proto::ITEM_UNKNOWN:
        return result_code::outcome_unknown;
    case proto::ITEM_DEAD:
        return result_code::target_rejected;
    default:
        return result_code::cancelled;
    }
}

std::string make_result_line(const std::string& job_id,
                             const batch::job_result& result)
{
    const auto& text = result.text;
    json::object line;
    line["id"] = job_id + "/" + text.item();
    line["custom_id"] = text.item();
    if (result.state == proto::ITEM_DONE)
    {
        auto assembled = assemble_answer(text.text());
        line["response"] = {
            {"status_code", text.http_status()},
            {"body", parse_body(assembled ? *assembled : text.text())}};
        line["error"] = nullptr;
    }
    else
    {
        line["response"] = nullptr;
        line["error"] = make_error(code_of(result.state), text.text());
    }
    line["target"] = text.target();
    line["attempts"] = text.attempts();
    return json::serialize(line) + '\n';
}

std::string make_cancelled_line(const std::string& job_id,
                                const std::string& item_id)
{
    json::object line;
    line["id"] = job_id + "/" + item_id;
    line["custom_id"] = item_id;
    line["response"] = nullptr;
    line["error"] = make_error(result_code::cancelled, {});
    return json::serialize(line) + '\n';
}

} // namespace

result_stream::result_stream(entry::entry_core& core, caller_request request,
                             std::string job_id, common::time_point as_of)
    : core_(core), request_(std::move(request)), job_id_(std::move(job_id)),
      as_of_(as_of)
{
}

void result_stream::start()
{
    read_page();
}

void result_stream::read_page()
{
    core_.results().read(job_id_, next_result_, max_page_bytes,
                         std::chrono::milliseconds(0), as_of_,
                         [self = boost::intrusive_ptr<result_stream>(this)](
                             const batch::results_page& page)
                         { self->handle_page(page); });
}

void result_stream::handle_page(const batch::results_page& page)
{
    if (page.ec)
        return fail(page.ec);
    const auto* job = core_.jobs().table().find(job_id_);
    if (job == nullptr)
        return fail(make_error_code(result_code::log_unavailable));
    std::string lines;
    for (const auto& it : page.results)
    {
        if (next_result_ == job->counted_results())
            break;
        lines += make_result_line(job_id_, it);
        ++next_result_;
    }
    results_done_ = page.results.empty() ||
                    (job->cancelled && next_result_ == job->counted_results());
    write(std::move(lines), true);
}

void result_stream::read_next_part()
{
    const auto* job = core_.jobs().table().find(job_id_);
    const bool more = job != nullptr && job->cancelled &&
                      job->counted_results() < job->items.size() &&
                      next_part_ < job->parts.size();
    if (!more)
        return write({}, false);
    core_.results().read_part(
        *job, next_part_,
        [self = boost::intrusive_ptr<result_stream>(this)](
            std::error_code ec, const proto::JobRecord& record)
        { self->handle_part(ec, record); });
}

void result_stream::handle_part(std::error_code ec,
                                const proto::JobRecord& record)
{
    const auto* job = core_.jobs().table().find(job_id_);
    if (ec || job == nullptr)
        return fail(make_error_code(result_code::log_unavailable));
    std::string lines;
    const auto late_results =
        std::span(job->results).subspan(job->counted_results());
    const auto& part = batch::part_of(record);
    auto index = part.first_item();
    for (const auto& it : part.items())
    {
        const bool is_cancelled =
            job->items[index].state == proto::ITEM_OPEN ||
            std::ranges::find(late_results, index) != late_results.end();
        if (is_cancelled)
            lines += make_cancelled_line(job_id_, it.id());
        ++index;
    }
    ++next_part_;
    write(std::move(lines), true);
}

void result_stream::write(std::string lines, bool more)
{
    if (!std::exchange(started_, true))
    {
        http::answer_head head;
        head.content_type = "application/jsonl";
        request_.observer->record_first_answer(head.status);
        request_.exchange->start_answer(std::move(head));
    }
    if (!more)
        return request_.exchange->finish();
    request_.exchange->write(
        std::move(lines),
        [self = boost::intrusive_ptr<result_stream>(this)](std::error_code ec)
        {
            if (ec)
                return self->request_.exchange->abort();
            if (self->results_done_)
                self->read_next_part();
            else
                self->read_page();
        });
}

void result_stream::fail(std::error_code ec)
{
    if (started_)
        return request_.exchange->abort();
    http::rejection rejection(common::to_result_code(ec));
    request_.observer->record_first_answer(
        common::info(rejection.code).http_status);
    request_.exchange->refuse(rejection);
}

} // namespace tanagertrack::api
