#include "entry/request_observer.hpp"

#include "common/metrics.hpp"

#include <utility>

namespace tanagertrack::entry
{

namespace
{

/// Lowest HTTP status of an error.
constexpr unsigned first_error_status = 400;

double seconds_since(common::time_point start)
{
    return std::chrono::duration<double>(common::clock::now() - start).count();
}

} // namespace

request_observer::request_observer(common::metrics_registry& metrics,
                                   std::size_t& in_progress,
                                   std::string_view kind, std::string_view team)
    : metrics_(metrics), in_progress_(in_progress), kind_(kind), team_(team),
      started_(common::clock::now())
{
    ++in_progress_;
}

request_observer::~request_observer()
{
    --in_progress_;
    metrics_
        .get_histogram("tanagertrack_request_seconds",
                       "time from a request's header to its end",
                       {{"class", kind_}, {"team", team_}})
        .record(seconds_since(started_));
}

void request_observer::record_first_answer(unsigned status)
{
    if (std::exchange(answered_, true))
        return;
    const auto text = std::to_string(status);
    metrics_
        .get_counter("tanagertrack_answers_total", "answers to callers",
                     {{"class", kind_}, {"status", text}})
        .add();
    if (status < first_error_status)
        metrics_
            .get_histogram("tanagertrack_first_answer_seconds",
                           "time from a request's header to the first part of "
                           "its answer, for a stream the first token",
                           {{"class", kind_}, {"team", team_}})
            .record(seconds_since(started_));
}

void count_rejection(common::metrics_registry& metrics,
                     common::result_code code)
{
    metrics
        .get_counter("tanagertrack_rejections_total",
                     "requests answered with an error, by code",
                     {{"code", common::info(code).name}})
        .add();
}

online::answer_hooks make_answer_hooks(const http::http_exchange_ptr& exchange,
                                       request_observer_ptr observer)
{
    online::answer_hooks hooks;
    hooks.refuse = [exchange, observer](const http::rejection& rejection)
    {
        observer->record_first_answer(common::info(rejection.code).http_status);
        exchange->refuse(rejection);
    };
    hooks.respond =
        [exchange, observer](http::answer_head head, std::string body)
    {
        observer->record_first_answer(head.status);
        exchange->respond(std::move(head), std::move(body));
    };
    hooks.start = [exchange, observer](http::answer_head head)
    {
        observer->record_first_answer(head.status);
        exchange->start_answer(std::move(head));
    };
    hooks.write = [exchange, observer](std::string piece, auto written)
    {
        exchange->write(std::move(piece), std::move(written));
    };
    hooks.finish = [exchange, observer]
    {
        exchange->finish();
    };
    hooks.abort = [exchange, observer]
    {
        exchange->abort();
    };
    return hooks;
}

} // namespace tanagertrack::entry
