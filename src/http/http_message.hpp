#ifndef TANAGERTRACK_HTTP_HTTP_MESSAGE_HPP
#define TANAGERTRACK_HTTP_HTTP_MESSAGE_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace tanagertrack::http
{

/// Head of a request, with the fields that the system uses.
struct request_head
{
    std::string method;

    /// Request target, as received.
    std::string target;
    std::string authorization;
    std::string idempotency_key;
    std::string content_type;

    /// Chosen by the server, also sent in the header X-Request-Id.
    std::string request_id;

    /// Length of the body in bytes; 0 when it is not known or empty.
    std::uint64_t content_length = 0;

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
    std::string content_type = "application/json";

    /// Value of the Retry-After header in seconds; 0: no header.
    unsigned retry_after_s = 0;

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
