#ifndef TANAGERTRACK_API_BATCH_API_HPP
#define TANAGERTRACK_API_BATCH_API_HPP

#include "api/caller_request.hpp"
#include "entry/entry_core.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace tanagertrack::api
{

/// Serves batch jobs of the product's own interface: JSON Lines bodies of many
/// items, their state, their results, their cancellation. One thread.
class batch_api
{
public:
    /// `core` outlives the object.
    explicit batch_api(entry::entry_core& core);

    /// Whether a path is that of a call on jobs.
    static bool is_batch_path(std::string_view path);

    /// Takes a call on jobs.
    void handle(const caller_request& request);

private:
    void create(const caller_request& request);
    void list(const caller_request& request) const;
    void show(const caller_request& request, const std::string& job) const;
    void cancel(const caller_request& request, const std::string& job);
    void stream_results(const caller_request& request, const std::string& job);

    /// Calls `found` with a job of the request's team, or refuses.
    void find(const caller_request& request, const std::string& job,
              std::function<void(const state::batch_job&)> found) const;
    std::string describe(const state::batch_job& job) const;

    entry::entry_core& core_;
};

} // namespace tanagertrack::api

#endif
