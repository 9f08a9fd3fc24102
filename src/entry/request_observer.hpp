#ifndef TANAGERTRACK_ENTRY_REQUEST_OBSERVER_HPP
#define TANAGERTRACK_ENTRY_REQUEST_OBSERVER_HPP

#include "common/clock.hpp"
#include "common/result_code.hpp"

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace tanagertrack::common
{
class metrics_registry;
} // namespace tanagertrack::common

namespace tanagertrack::entry
{

/// Requests in progress. Shared, because the last of them can outlive the
/// parts of a process that is stopping.
using in_progress_count = std::shared_ptr<std::atomic<std::size_t>>;

/// Counts and times one caller's request, and holds its place among the
/// requests in progress. Any thread.
class request_observer
{
public:
    /// `in_progress` counts the observers.
    request_observer(common::metrics_registry& metrics,
                     in_progress_count in_progress,
                     std::string_view request_class, std::string_view team);
    ~request_observer();

    request_observer(const request_observer&) = delete;
    request_observer& operator=(const request_observer&) = delete;

    /// The first part of the answer is known.
    void first_answer(unsigned status);

private:
    common::metrics_registry& metrics_;
    in_progress_count in_progress_;
    std::string class_;
    std::string team_;
    common::time_point started_;
    std::atomic<bool> answered_{false};
};

/// Counts a rejection by its code.
void count_rejection(common::metrics_registry& metrics,
                     common::result_code code);

} // namespace tanagertrack::entry

#endif
