#ifndef TANAGERTRACK_CLI_API_CLIENT_HPP
#define TANAGERTRACK_CLI_API_CLIENT_HPP

#include "common/endpoint.hpp"

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

namespace tanagertrack::cli
{

/// Address, key and timeouts of an `api_client`.
struct api_settings
{
    /// Listener of an entry.
    common::endpoint address;

    /// Sent as a bearer token; not sent if empty.
    std::string key;

    /// Time without progress after which a call fails.
    std::chrono::milliseconds timeout{30000};

    /// Time within which a call is retried if an entry refuses it as not run;
    /// 0: never.
    std::chrono::milliseconds retry_time{10000};
};

/// Request of one call.
struct api_request
{
    std::string method = "GET";

    /// Path and query.
    std::string target;
    std::string content_type;
    std::string idempotency_key;

    /// Body, if `body_file` is empty.
    std::string body;

    /// Path of a file that is streamed as the body.
    std::string body_file;
};

/// Response to a call, or the error that prevented one.
struct api_answer
{
    /// HTTP status; 0 if there was no complete response.
    unsigned status = 0;
    std::string body;

    /// Description of the network error, if `status` is 0.
    std::string error;

    /// True if the entry may have received the request: the connection was
    /// established.
    bool sent = false;

    /// Time after which the entry asks for a retry; 0 if it doesn't.
    std::chrono::seconds retry_after{0};
};

/// Blocking HTTP/1.1 client for the callers' and operators' listeners. Each
/// call uses a connection of its own. A call is retried if the entry refused it
/// as not run and sent a Retry-After header. Not thread-safe.
class api_client
{
public:
    /// Receives a piece of the body. Returns false to end the call.
    using sink = std::function<bool(std::string_view piece)>;

    explicit api_client(api_settings settings);

    /// Makes a call and reads the whole response. A successful one is cut off
    /// once its body is larger than 64 MiB.
    api_answer call(const api_request& request) const;

    /// Makes a call and passes the body of a successful response to `out`
    /// piece by piece; the body of the returned answer is then empty.
    api_answer stream(const api_request& request, const sink& out) const;

private:
    api_answer stream_without_retry(const api_request& request,
                                    const sink& out) const;

    api_settings settings_;
};

} // namespace tanagertrack::cli

#endif
