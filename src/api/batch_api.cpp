#include "api/batch_api.hpp"

#include "api/job_upload.hpp"
#include "api/result_stream.hpp"
#include "common/hash.hpp"
#include "common/result_code.hpp"

#include <boost/json/object.hpp>
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

constexpr std::string_view batches_path = "/v1/batches";
constexpr std::uint64_t ms_per_s = 1000;

/// Maximum number of jobs in the response of a list request.
constexpr std::size_t max_listed_jobs = 1000;

/// Action on batch jobs that a request asks for.
struct batch_route
{
    enum class action
    {
        create,
        list,
        show,
        results,
        cancel
    };

    action requested = action::list;

    /// Id of the job; empty for `create` and `list`.
    std::string job_id;
};

/// Determines the action from the method and the path. Returns `ok`, or the
/// code with which the request is rejected.
result_code parse_batch_route(const http::request_head& head, batch_route& out)
{
    auto path = head.path();
    path.remove_prefix(std::min(batches_path.size(), path.size()));
    const bool post = head.method == "POST";
    const bool get = head.method == "GET";
    const auto ok_if = [](bool is_allowed)
    {
        return is_allowed ? result_code::ok : result_code::method_not_allowed;
    };
    if (path.empty() || path == "/")
    {
        out.requested =
            post ? batch_route::action::create : batch_route::action::list;
        return ok_if(post || get);
    }
    path.remove_prefix(1);
    const auto slash = std::min(path.find('/'), path.size());
    out.job_id = path.substr(0, slash);
    const auto rest = path.substr(slash);
    if (rest.empty())
    {
        out.requested = batch_route::action::show;
        return ok_if(get);
    }
    if (rest == "/results")
    {
        out.requested = batch_route::action::results;
        return ok_if(get);
    }
    if (rest == "/cancel")
    {
        out.requested = batch_route::action::cancel;
        return ok_if(post);
    }
    return result_code::unknown_path;
}

/// Derives a job's id from its idempotency key, so that a resent request refers
/// to the same job.
std::string make_job_id(std::string_view team, std::string_view key)
{
    return "batch-" + common::to_hex(common::hash128({team, key}));
}

void refuse(const caller_request& request, const http::rejection& rejection)
{
    request.observer->record_first_answer(
        common::info(rejection.code).http_status);
    request.exchange->refuse(rejection);
}

void refuse(const caller_request& request, result_code code)
{
    refuse(request, http::rejection(code));
}

void respond(const caller_request& request, std::string body)
{
    request.observer->record_first_answer(http::answer_head().status);
    request.exchange->respond({}, std::move(body));
}

} // namespace

batch_api::batch_api(entry::entry_core& core) : core_(core)
{
}

bool batch_api::is_batch_path(std::string_view path)
{
    return path == batches_path ||
           path.starts_with(std::string(batches_path) + '/');
}

void batch_api::handle(const caller_request& request)
{
    batch_route route;
    const auto code = parse_batch_route(request.exchange->head(), route);
    if (code != result_code::ok)
        return refuse(request, code);
    switch (route.requested)
    {
    case batch_route::action::create:
        return create(request);
    case batch_route::action::list:
        return list(request);
    case batch_route::action::show:
        return show(request, route.job_id);
    case batch_route::action::results:
        return stream_results(request, route.job_id);
    case batch_route::action::cancel:
        return cancel(request, route.job_id);
    }
}

void batch_api::create(const caller_request& request)
{
    const auto caller_key = request.exchange->head().idempotency_key();
    const auto key =
        caller_key.empty() ? common::random_id() : std::string(caller_key);
    auto job_id = make_job_id(request.team, key);
    const boost::intrusive_ptr<job_upload> upload(
        new job_upload(core_, request, job_id,
                       [this, request, job_id, now = common::clock::now()]
                       { show_accepted(request, job_id, now); }));
    upload->start();
}

void batch_api::show_accepted(const caller_request& request,
                              const std::string& job_id,
                              common::time_point submitted) const
{
    core_.results().find_current(
        job_id, submitted,
        [request](std::error_code ec, const state::batch_job* job)
        {
            if (job != nullptr)
                return respond(request, make_job_json(*job) + '\n');

            // Only the state is missing: the job itself is accepted.
            http::rejection rejection(ec ? common::to_result_code(ec)
                                         : result_code::unknown_job);
            rejection.ran = common::execution::ran;
            refuse(request, rejection);
        });
}

void batch_api::find_job(
    const caller_request& request, const std::string& job_id,
    common::time_point as_of,
    std::function<void(const state::batch_job&)> on_found) const
{
    core_.results().find_current(
        job_id, as_of,
        [request, on_found = std::move(on_found)](std::error_code ec,
                                                  const state::batch_job* job)
        {
            if (ec)
                return refuse(request, common::to_result_code(ec));

            // A job of another team gets the same response as one that doesn't
            // exist, so that its existence isn't disclosed.
            if (job == nullptr || job->team != request.team)
                return refuse(request, result_code::unknown_job);
            on_found(*job);
        });
}

void batch_api::list(const caller_request& request) const
{
    core_.results().confirm(common::clock::now(),
                            [this, request](std::error_code ec)
                            {
                                if (ec)
                                    return refuse(request,
                                                  common::to_result_code(ec));
                                respond(request, make_list_json(request.team));
                            });
}

std::string batch_api::make_list_json(std::string_view team) const
{
    std::string body = R"({"object":"list","data":[)";
    std::size_t n = 0;
    core_.jobs().table().for_each(
        [&](const state::batch_job& job)
        {
            if (job.team != team || n >= max_listed_jobs)
                return;
            if (n++ != 0)
                body += ',';
            body += make_job_json(job);
        });
    return body + "]}\n";
}

void batch_api::show(const caller_request& request,
                     const std::string& job_id) const
{
    find_job(request, job_id, common::clock::now(),
             [request](const state::batch_job& job)
             { respond(request, make_job_json(job) + '\n'); });
}

void batch_api::stream_results(const caller_request& request,
                               const std::string& job_id)
{
    const auto now = common::clock::now();
    find_job(request, job_id, now,
             [this, request, now](const state::batch_job& job)
             {
                 const boost::intrusive_ptr<result_stream> stream(
                     new result_stream(core_, request, job.id, now));
                 stream->start();
             });
}

void batch_api::cancel(const caller_request& request, const std::string& job_id)
{
    find_job(request, job_id, common::clock::now(),
             [this, request](const state::batch_job& job)
             {
                 if (!job.is_open())
                     return respond(request, make_job_json(job) + '\n');
                 core_.results().cancel(
                     job.id,
                     [this, request, id = job.id](std::error_code ec)
                     {
                         if (ec)
                             return refuse(request, common::to_result_code(ec));
                         show(request, id);
                     });
             });
}

std::string batch_api::make_job_json(const state::batch_job& job)
{
    const auto counted = std::span(job.results).first(job.counted_results());
    const auto count = [&](proto::ItemState state)
    {
        return std::ranges::count_if(
            counted,
            [&](std::uint32_t item) { return job.items[item].state == state; });
    };
    const auto open = job.items.size() - counted.size();
    const auto* status = open == 0       ? "completed"
                         : job.cancelled ? "cancelled"
                                         : "in_progress";
    json::object body;
    body["id"] = job.id;
    body["object"] = "batch";
    body["status"] = status;
    body["request_counts"] = {{"total", job.items.size()},
                              {"completed", count(proto::ITEM_DONE)},
                              {"failed", count(proto::ITEM_DEAD)},
                              {"unknown", count(proto::ITEM_UNKNOWN)},
                              {"cancelled", job.cancelled ? open : 0}};
    body["created_at"] = job.created_ms / ms_per_s;
    body["expires_at"] = (job.created_ms + job.keep_ms) / ms_per_s;
    return json::serialize(body);
}

} // namespace tanagertrack::api
