#ifndef TANAGERTRACK_HTTP_HTTP_MESSAGE_HPP
#define TANAGERTRACK_HTTP_HTTP_MESSAGE_HPP

#include "http/header_list.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace tanagertrack::http
{

/// Head of a request.
struct request_head
{
    std::string method;

    /// Request target, as received.
    std::string target;
    header_list headers;

    /// Chosen by the server, also sent in the header X-Request-Id where the
    /// settings say so.
    std::string request_id;

    /// Length of the body in bytes; 0 when it is not known or empty.
    std::uint64_t content_length = 0;

    std::string_view authorization() const
    {
        return headers.find("Authorization");
    }

    std::string_view idempotency_key() const
    {
        return headers.find("Idempotency-Key");
    }

    std::string_view content_type() const
    {
        return headers.find("Content-Type");
    }

    /// The target without its query.
    std::string_view path() const
    {
        return std::string_view(target).substr(0, target.find('?'));
    }
};

/// Head of an answer.
struct answer_head
{
    unsigned status = 200;

    /// Empty: no such header, or one in `headers`.
    std::string content_type = "application/json";

    /// Value of the Retry-After header, sent in seconds; 0: no header.
    std::chrono::milliseconds retry_after{0};

    /// Further fields.
    header_list headers;

    /// Whether the connection ends with this answer.
    bool close = false;
};

/// A whole answer.
struct whole_answer
{
    answer_head head;
    std::string body;
};

} // namespace tanagertrack::http

#endif
