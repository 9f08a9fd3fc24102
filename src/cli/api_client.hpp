#ifndef TANAGERTRACK_CLI_API_CLIENT_HPP
#define TANAGERTRACK_CLI_API_CLIENT_HPP

#include "common/endpoint.hpp"

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

namespace tanagertrack::cli
{

/// Where and as whom the tool calls.
struct api_settings
{
    common::endpoint address;

    /// Bearer key.
    std::string key;

    /// Time without progress after which a call fails.
    std::chrono::milliseconds timeout{30000};

    /// Time within which a call is repeated that an entry refuses as not run.
    std::chrono::milliseconds retry_time{10000};
};

/// One call.
struct api_request
{
    std::string method = "GET";
    std::string target;
    std::string content_type;
    std::string idempotency_key;

    /// Body, when `body_file` is empty.
    std::string body;

    /// File that is streamed as the body.
    std::string body_file;
};

/// A whole answer.
struct api_answer
{
    /// 0 when the entry could not be reached.
    unsigned status = 0;
    std::string body;

    /// What failed, when `status` is 0.
    std::string error;

    /// Whether the request was written before the failure.
    bool sent = false;

    /// When the entry asks to repeat the call; 0 if it does not say so.
    std::chrono::seconds retry_after{0};
};

/// Blocking HTTP/1.1 client of the callers' and operators' listeners. Each
/// call uses a connection of its own. A call that was refused as not run, by an
/// entry that says when to come back, is repeated. One thread.
class api_client
{
public:
    /// Gets a piece of an answer's body; false ends the call.
    using sink = std::function<bool(std::string_view piece)>;

    explicit api_client(api_settings settings);

    /// Makes a call and reads the whole answer, at most 64 MiB.
    api_answer call(const api_request& request) const;

    /// Makes a call and passes a successful answer's body to `out` as it
    /// comes; the returned answer then has an empty body.
    api_answer stream(const api_request& request, const sink& out) const;

private:
    api_answer stream_once(const api_request& request, const sink& out) const;

    api_settings settings_;
};

} // namespace tanagertrack::cli

#endif
