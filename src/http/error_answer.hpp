#ifndef TANAGERTRACK_HTTP_ERROR_ANSWER_HPP
#define TANAGERTRACK_HTTP_ERROR_ANSWER_HPP

#include "common/result_code.hpp"
#include "http/http_message.hpp"

#include <chrono>
#include <string>
#include <string_view>

namespace tanagertrack::http
{

/// Error reported to a caller: a result code and optional details.
struct rejection
{
    explicit rejection(common::result_code reason);

    common::result_code code;

    /// Whether the work was executed. Initially the value of the result code
    /// table.
    common::execution ran;

    /// Message for the caller; if empty, the text of the result code table.
    std::string message;

    /// Time after which the caller should retry; 0 for the default of the code,
    /// if it has one.
    std::chrono::milliseconds retry_after{0};
};

/// Returns the JSON body `{"error":{...}}` of a rejection.
std::string error_body(const rejection& reason, std::string_view request_id);

/// Returns the response to a rejected request: status, Retry-After and body.
whole_answer error_answer(const rejection& reason, std::string_view request_id);

} // namespace tanagertrack::http

#endif
