#ifndef TANAGERTRACK_API_MODEL_REQUEST_HPP
#define TANAGERTRACK_API_MODEL_REQUEST_HPP

#include "routing/prompt.hpp"

#include <string>
#include <string_view>
#include <system_error>

namespace tanagertrack::api
{

/// Endpoint that a model request was sent to.
enum class model_endpoint
{
    chat,
    completion
};

/// Fields of a model request's JSON body that routing needs.
struct model_request
{
    std::string model;

    /// True if the caller asks for a stream of events.
    bool stream = false;

    /// True if the request asks for one choice. Only then can an interrupted
    /// response be continued from the text received so far.
    bool resumable = true;

    /// Parts of the prompt, see `read_prompt_parts`.
    routing::prompt prompt;
};

/// Validates the body of a model request and reads the fields that routing
/// needs. Returns `ok`, `invalid_utf8`, `malformed_json`, or `invalid_request`
/// with a `message` that names the invalid field.
std::error_code parse_model_request(model_endpoint endpoint,
                                    std::string_view body, model_request& out,
                                    std::string& message);

} // namespace tanagertrack::api

#endif
