#ifndef TANAGERTRACK_API_MODEL_REQUEST_HPP
#define TANAGERTRACK_API_MODEL_REQUEST_HPP

#include <string>
#include <string_view>
#include <system_error>

namespace tanagertrack::api
{

/// The endpoints of models.
enum class model_endpoint
{
    chat,
    completion
};

/// What is known of a model request from its JSON body.
struct model_request
{
    std::string model;
    bool stream = false;

    /// One choice only, so that a cut answer can go on from its text.
    bool resumable = true;
};

/// Checks a body and reads what routing needs. Errors: invalid_utf8,
/// malformed_json, or invalid_request with the field in `message`.
std::error_code parse_model_request(model_endpoint endpoint,
                                    std::string_view body, model_request& out,
                                    std::string& message);

} // namespace tanagertrack::api

#endif
