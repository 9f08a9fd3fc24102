#ifndef TANAGERTRACK_HTTP_ERROR_ANSWER_HPP
#define TANAGERTRACK_HTTP_ERROR_ANSWER_HPP

#include "common/result_code.hpp"
#include "http/http_message.hpp"

#include <chrono>
#include <string>
#include <string_view>

namespace tanagertrack::http
{

/// What a rejection says beyond its code.
struct rejection
{
    explicit rejection(common::result_code why);

    common::result_code code;

    /// As in the table of codes, unless more is known.
    common::execution ran;

    /// Empty: the text of the table.
    std::string message;

    /// When to come back; 0: the default of the code, if it has one.
    std::chrono::milliseconds retry_after{0};
};

/// JSON body `{"error":{...}}` of a rejection.
std::string error_body(const rejection& why, std::string_view request_id);

/// Status, Retry-After and body of a rejection.
whole_answer error_answer(const rejection& why, std::string_view request_id);

} // namespace tanagertrack::http

#endif
