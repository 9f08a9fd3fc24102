#include "http/error_answer.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace tanagertrack::http
{

namespace
{

/// Time after which a refused caller is asked to come back. Short, because the
/// conditions behind these codes last seconds.
std::chrono::seconds default_retry_after(common::result_code code)
{
    using common::result_code;
    switch (code)
    {
    case result_code::rate_limited:
    case result_code::overloaded:
    case result_code::shutting_down:
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

rejection::rejection(common::result_code why)
    : code(why), ran(common::info(why).ran)
{
}

std::string error_body(const rejection& why, std::string_view request_id)
{
    const auto& row = common::info(why.code);
    const auto ran = common::to_string(why.ran);
    boost::json::object error;
    error["code"] = static_cast<int>(why.code);
    error["name"] = row.name;
    error["message"] =
        why.message.empty() ? row.text : std::string_view(why.message);
    error["execution"] = ran;
    error["request_id"] = request_id;
    boost::json::object body;
    body["error"] = std::move(error);
    return boost::json::serialize(body);
}

whole_answer error_answer(const rejection& why, std::string_view request_id)
{
    whole_answer answer;
    answer.head.status = common::info(why.code).http_status;
    answer.head.retry_after = why.retry_after.count() != 0
                                  ? why.retry_after
                                  : default_retry_after(why.code);
    answer.body = error_body(why, request_id);
    return answer;
}

} // namespace tanagertrack::http
