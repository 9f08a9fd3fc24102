#include "api/model_request.hpp"

#include "common/result_code.hpp"
#include "common/utf8.hpp"

#include <boost/json/parse.hpp>

namespace tanagertrack::api
{

namespace json = boost::json;
using common::result_code;

namespace
{

/// Longest name of a model in bytes.
constexpr std::size_t max_model_bytes = 256;

const json::value* find(const json::object& object, std::string_view key)
{
    const auto it = object.find(key);
    return it != object.end() && !it->value().is_null() ? &it->value()
                                                        : nullptr;
}

/// Returns what is wrong; empty for a valid request.
std::string_view check(model_endpoint endpoint, const json::object& object,
                       model_request& out)
{
    const auto* model = find(object, "model");
    if (model == nullptr || !model->is_string() ||
        model->get_string().empty() ||
        model->get_string().size() > max_model_bytes)
        return "model: expected a text of 1 to 256 bytes";
    out.model = model->get_string();

    const auto* stream = find(object, "stream");
    if (stream != nullptr && !stream->is_bool())
        return "stream: expected true or false";
    out.stream = stream != nullptr && stream->get_bool();

    const auto* choices = find(object, "n");
    if (choices != nullptr && !choices->is_int64())
        return "n: expected an integer";
    out.resumable = choices == nullptr || choices->get_int64() == 1;

    if (endpoint == model_endpoint::chat)
    {
        const auto* messages = find(object, "messages");
        if (messages == nullptr || !messages->is_array() ||
            messages->get_array().empty())
            return "messages: expected a list of at least one message";
        for (const auto& it : messages->get_array())
        {
            if (!it.is_object())
                return "messages: expected objects";
        }
        return {};
    }
    const auto* prompt = find(object, "prompt");
    if (prompt == nullptr || !(prompt->is_string() || prompt->is_array()))
        return "prompt: expected a text or a list";
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
    message = check(endpoint, value.get_object(), out);
    return message.empty() ? result_code::ok : result_code::invalid_request;
}

} // namespace tanagertrack::api
