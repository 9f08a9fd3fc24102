#include "api/model_request.hpp"

#include "api/prompt_parts.hpp"
#include "common/result_code.hpp"
#include "common/utf8.hpp"

#include <boost/json/parse.hpp>

namespace tanagertrack::api
{

namespace json = boost::json;
using common::result_code;

namespace
{

/// Maximum length of a model's name in bytes.
constexpr std::size_t max_model_bytes = 256;

/// Returns a member of an object, or nullptr if it is absent or null.
const json::value* find_member(const json::object& object, std::string_view key)
{
    const auto it = object.find(key);
    return it != object.end() && !it->value().is_null() ? &it->value()
                                                        : nullptr;
}

/// Reads the fields that routing needs into `out`. Returns an error message
/// that starts with the name of the invalid field, or an empty string.
std::string_view parse_fields(model_endpoint endpoint,
                              const json::object& object, model_request& out)
{
    const auto* model = find_member(object, "model");
    if (model == nullptr || !model->is_string() ||
        model->get_string().empty() ||
        model->get_string().size() > max_model_bytes)
        return "model: expected a string of 1 to 256 bytes";
    out.model = model->get_string();

    const auto* stream = find_member(object, "stream");
    if (stream != nullptr && !stream->is_bool())
        return "stream: expected true or false";
    out.stream = stream != nullptr && stream->get_bool();

    const auto* choices = find_member(object, "n");
    if (choices != nullptr && !choices->is_int64())
        return "n: expected an integer";
    out.resumable = choices == nullptr || choices->get_int64() == 1;

    if (endpoint == model_endpoint::chat)
    {
        const auto* messages = find_member(object, "messages");
        if (messages == nullptr || !messages->is_array() ||
            messages->get_array().empty())
            return "messages: expected an array of at least one message";
        for (const auto& it : messages->get_array())
        {
            if (!it.is_object())
                return "messages: expected an array of objects";
        }
        return {};
    }
    const auto* prompt = find_member(object, "prompt");
    if (prompt == nullptr || !(prompt->is_string() || prompt->is_array()))
        return "prompt: expected a string or an array";
    return {};
}

} // namespace

std::error_code parse_model_request(model_endpoint endpoint,
                                    std::string_view body, model_request& out,
                                    std::string& message)
{
    if (!common::is_valid_utf8(body))
        return result_code::invalid_utf8;
    json::error_code ec;
    const auto value = json::parse(body, ec);
    if (ec)
        return result_code::malformed_json;
    if (!value.is_object())
    {
        message = "expected a JSON object";
        return result_code::invalid_request;
    }
    message = parse_fields(endpoint, value.get_object(), out);
    out.prompt = routing::make_prompt(read_prompt_parts(value.get_object()));
    return message.empty() ? result_code::ok : result_code::invalid_request;
}

} // namespace tanagertrack::api
