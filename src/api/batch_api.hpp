#ifndef TANAGERTRACK_API_BATCH_API_HPP
#define TANAGERTRACK_API_BATCH_API_HPP

#include "api/caller_request.hpp"
#include "common/clock.hpp"
#include "entry/entry_core.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace tanagertrack::api
{

/// Serves requests for batch jobs under /v1/batches: creating a job from a JSON
/// Lines body, listing a team's jobs, showing and cancelling a job, and reading
/// its results. Not thread-safe: all calls are made on the thread of the core's
/// io_context.
class batch_api
{
public:
    /// `core` must outlive the object.
    explicit batch_api(entry::entry_core& core);

    /// Returns true if `path` is /v1/batches or below it.
    static bool is_batch_path(std::string_view path);

    /// Handles an authenticated request for whose path `is_batch_path` is true.
    void handle(const caller_request& request);

private:
    void create(const caller_request& request);
    void list(const caller_request& request) const;
    void show(const caller_request& request, const std::string& job_id) const;
    void cancel(const caller_request& request, const std::string& job_id);
    void stream_results(const caller_request& request,
                        const std::string& job_id);

    /// Answers a submission with the state of its job, which is accepted.
    void show_accepted(const caller_request& request, const std::string& job_id,
                       common::time_point submitted) const;

    /// Looks up a job of the request's team and calls `on_found` with its
    /// state, which includes all records that were appended before `as_of`.
    /// Refuses the request if the team has no such job, or if the store can't
    /// be read.
    void find_job(const caller_request& request, const std::string& job_id,
                  common::time_point as_of,
                  std::function<void(const state::batch_job&)> on_found) const;

    /// Returns the JSON list of a team's jobs, serialized.
    std::string make_list_json(std::string_view team) const;

    /// Returns the JSON object of a job, serialized.
    static std::string make_job_json(const state::batch_job& job);

    entry::entry_core& core_;
};

} // namespace tanagertrack::api

#endif
