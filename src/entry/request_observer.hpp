#ifndef TANAGERTRACK_ENTRY_REQUEST_OBSERVER_HPP
#define TANAGERTRACK_ENTRY_REQUEST_OBSERVER_HPP

#include "common/clock.hpp"
#include "common/result_code.hpp"
#include "http/http_exchange.hpp"
#include "online/request.hpp"

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

/// Records metrics of one caller's request, and counts it as in progress for as
/// long as the object exists. Not thread-safe.
class request_observer
{
public:
    /// `in_progress` is the number of existing observers and must outlive them.
    /// `kind` and `team` are labels of the metrics.
    request_observer(common::metrics_registry& metrics,
                     std::size_t& in_progress, std::string_view kind,
                     std::string_view team);
    ~request_observer();

    request_observer(const request_observer&) = delete;
    request_observer& operator=(const request_observer&) = delete;

    /// Records the status and the time of the first part of the response. Only
    /// the first call has an effect.
    void record_first_answer(unsigned status);

private:
    common::metrics_registry& metrics_;
    std::size_t& in_progress_;
    std::string kind_;
    std::string team_;
    common::time_point started_;
    bool answered_ = false;
};

using request_observer_ptr = std::shared_ptr<request_observer>;

/// Increments the metric of rejections with this code.
void count_rejection(common::metrics_registry& metrics,
                     common::result_code code);

/// Returns hooks that forward the response of an online request to its caller
/// and report it to `observer`.
online::answer_hooks make_answer_hooks(const http::http_exchange_ptr& exchange,
                                       request_observer_ptr observer);

} // namespace tanagertrack::entry

#endif
