#include "http/error_answer.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace tanagertrack::http
{

namespace
{

/// Retry-After of a code; 0 for no header. Short, because the conditions that
/// these codes report last seconds.
std::chrono::seconds default_retry_after(common::result_code code)
{
    using common::result_code;
    switch (code)
    {
    case result_code::rate_limited:
    case result_code::overloaded:
    case result_code::shutting_down:
    case result_code::no_partition_holder:
    case result_code::no_configuration:
    case result_code::no_target:
    case result_code::target_refused:
    case result_code::ring_full:
        return std::chrono::seconds(1);
    case result_code::jobs_full:
    case result_code::log_unavailable:
        return std::chrono::seconds(5);
    default:
        return std::chrono::seconds(0);
    }
}

} // namespace

rejection::rejection(common::result_code reason)
    : code(reason), ran(common::info(reason).ran)
{
}

std::string error_body(const rejection& reason, std::string_view request_id)
{
    const auto& row = common::info(reason.code);
    const auto ran = common::to_string(reason.ran);
    boost::json::object error;
    error["code"] = static_cast<int>(reason.code);
    error["name"] = row.name;
    error["message"] =
        reason.message.empty() ? row.text : std::string_view(reason.message);
    error["execution"] = ran;
    error["request_id"] = request_id;
    boost::json::object body;
    body["error"] = std::move(error);
    return boost::json::serialize(body);
}

whole_answer error_answer(const rejection& reason, std::string_view request_id)
{
    whole_answer answer;
    answer.head.status = common::info(reason.code).http_status;
    answer.head.retry_after = reason.retry_after.count() != 0
                                  ? reason.retry_after
                                  : default_retry_after(reason.code);
    answer.body = error_body(reason, request_id);
    return answer;
}

} // namespace tanagertrack::http
