#include "entry/request_observer.hpp"

#include "common/metrics.hpp"

#include <utility>

namespace tanagertrack::entry
{

namespace
{

double seconds_since(common::time_point start)
{
    return std::chrono::duration<double>(common::clock::now() - start).count();
}

} // namespace

request_observer::request_observer(common::metrics_registry& metrics,
                                   in_progress_count in_progress,
                                   std::string_view request_class,
                                   std::string_view team)
    : metrics_(metrics), in_progress_(std::move(in_progress)),
      class_(request_class), team_(team), started_(common::clock::now())
{
    in_progress_->fetch_add(1);
}

request_observer::~request_observer()
{
    metrics_
        .get_histogram("tanagertrack_request_seconds",
                       "time from a request's header to its end",
                       {{"class", class_}, {"team", team_}})
        .record(seconds_since(started_));
    in_progress_->fetch_sub(1);
}

void request_observer::first_answer(unsigned status)
{
    if (answered_.exchange(true))
        return;
    const auto text = std::to_string(status);
    metrics_
        .get_counter("tanagertrack_answers_total", "answers to callers",
                     {{"class", class_}, {"status", text}})
        .add();
    if (status < 400)
        metrics_
            .get_histogram("tanagertrack_first_answer_seconds",
                           "time from a request's header to the first part of "
                           "its answer, for a stream the first token",
                           {{"class", class_}, {"team", team_}})
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

} // namespace tanagertrack::entry
