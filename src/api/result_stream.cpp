#include "api/result_stream.hpp"

#include "api/completion_json.hpp"
#include "common/result_code.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace tanagertrack::api
{

namespace json = boost::json;
using common::result_code;

namespace
{

/// Text of results that is read at a time.
constexpr std::size_t page_bytes = 128UL * 1024;

/// An answer's body as JSON if it is JSON, as a text otherwise.
json::value answer_value(std::string_view body)
{
    boost::system::error_code ec;
    auto value = json::parse(body, ec);
    return ec ? json::value(json::string(body)) : value;
}

json::object error_value(result_code code, std::string_view detail)
{
    const auto& row = common::info(code);
    json::object it;
    it["code"] = static_cast<int>(code);
    it["name"] = row.name;
    it["message"] = row.text;
    it["execution"] = to_string(row.ran);
    if (!detail.empty())
        it["detail"] = answer_value(detail);
    return it;
}

result_code error_of(proto::ItemState state)
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

std::string result_line(const std::string& job, const batch::job_result& it)
{
    const auto& text = it.text;
    json::object line;
    line["id"] = job + "/" + text.item();
    line["custom_id"] = text.item();
    if (it.state == proto::ITEM_DONE)
    {
        auto assembled = assemble_answer(text.text());
        line["response"] = {
            {"status_code", text.http_status()},
            {"body", answer_value(assembled ? *assembled : text.text())}};
        line["error"] = nullptr;
    }
    else
    {
        line["response"] = nullptr;
        line["error"] = error_value(error_of(it.state), text.text());
    }
    line["target"] = text.target();
    line["attempts"] = text.attempts();
    return json::serialize(line) + '\n';
}

std::string cancelled_line(const std::string& job, const std::string& item)
{
    json::object line;
    line["id"] = job + "/" + item;
    line["custom_id"] = item;
    line["response"] = nullptr;
    line["error"] = error_value(result_code::cancelled, {});
    return json::serialize(line) + '\n';
}

} // namespace

result_stream::result_stream(entry::entry_core& core, caller_request request,
                             std::string job)
    : core_(core), request_(std::move(request)), job_(std::move(job))
{
}

void result_stream::start()
{
    read_page();
}

void result_stream::read_page()
{
    core_.results().read(job_, next_, page_bytes, std::chrono::milliseconds(0),
                         [self = boost::intrusive_ptr<result_stream>(this)](
                             const batch::results_page& page)
                         { self->take_page(page); });
}

void result_stream::take_page(const batch::results_page& page)
{
    if (page.ec)
        return fail(page.ec);
    std::string lines;
    for (const auto& it : page.results)
        lines += result_line(job_, it);
    next_ = page.next;
    results_done_ = page.results.empty();
    write(std::move(lines), true);
}

void result_stream::read_cancelled()
{
    const auto* job = core_.jobs().table().find(job_);
    const bool more = job != nullptr && job->cancelled &&
                      job->results.size() < job->items.size() &&
                      next_part_ < job->parts.size();
    if (!more)
        return write({}, false);
    core_.results().read_part(
        *job, next_part_,
        [self = boost::intrusive_ptr<result_stream>(this)](
            std::error_code ec, const proto::JobRecord& record)
        { self->take_cancelled(ec, record); });
}

void result_stream::take_cancelled(std::error_code ec,
                                   const proto::JobRecord& record)
{
    const auto* job = core_.jobs().table().find(job_);
    if (ec || job == nullptr)
        return fail(make_error_code(result_code::log_unavailable));
    std::string lines;
    const auto& part = batch::part_of(record);
    auto index = part.first_item();
    for (const auto& it : part.items())
    {
        if (job->items[index].state == proto::ITEM_OPEN)
            lines += cancelled_line(job_, it.id());
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
        request_.observer->first_answer(head.status);
        request_.http->start_answer(std::move(head));
    }
    if (!more)
        return request_.http->finish();
    request_.http->write(
        std::move(lines),
        [self = boost::intrusive_ptr<result_stream>(this)](std::error_code ec)
        {
            if (ec)
                return self->request_.http->abort();
            if (self->results_done_)
                self->read_cancelled();
            else
                self->read_page();
        });
}

void result_stream::fail(std::error_code ec)
{
    if (started_)
        return request_.http->abort();
    http::rejection why(common::to_result_code(ec));
    request_.observer->first_answer(common::info(why.code).http_status);
    request_.http->refuse(why);
}

} // namespace tanagertrack::api
