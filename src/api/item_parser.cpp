#include "api/item_parser.hpp"

#include "api/completion_json.hpp"
#include "api/prompt_parts.hpp"
#include "api/service_rules.hpp"
#include "common/hash.hpp"
#include "common/result_code.hpp"
#include "common/utf8.hpp"
#include "http/syntax.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace tanagertrack::api
{

using common::result_code;
namespace json = boost::json;

namespace
{

constexpr std::size_t max_custom_id_bytes = 256;

/// Returns a string member, or nullptr if it is absent or not a string.
const json::string* find_string(const json::object& object,
                                std::string_view name)
{
    const auto* member = object.if_contains({name.data(), name.size()});
    return member != nullptr ? member->if_string() : nullptr;
}

std::string_view to_view(const json::string& text)
{
    return {text.data(), text.size()};
}

} // namespace

item_parser::item_parser(std::shared_ptr<const fleet_index> fleet,
                         std::size_t max_items)
    : fleet_(std::move(fleet)), max_items_(max_items)
{
}

bool item_parser::fail(line_error& error, std::error_code ec,
                       std::string_view message) const
{
    error.ec = ec;
    error.message = "line " + std::to_string(line_number_) + ": ";
    error.message += message.empty() ? ec.message() : std::string(message);
    return false;
}

bool item_parser::parse(std::string_view line, proto::JobItem& out,
                        line_error& error)
{
    ++line_number_;
    if (std::ranges::all_of(line, [](char c)
                            { return c == ' ' || c == '\t' || c == '\r'; }))
        return false;
    if (!common::is_valid_utf8(line))
        return fail(error, result_code::invalid_utf8, {});
    json::error_code ec;
    const auto value = json::parse({line.data(), line.size()}, ec);
    if (ec)
        return fail(error, result_code::malformed_json, {});
    const auto* object = value.if_object();
    if (object == nullptr)
        return fail(error, result_code::invalid_request,
                    "expected a JSON object");

    const auto* id = find_string(*object, "custom_id");
    const bool valid_id = id != nullptr && !id->empty() &&
                          id->size() <= max_custom_id_bytes &&
                          http::is_field_value(to_view(*id));
    if (!valid_id)
        return fail(error, result_code::invalid_request,
                    "custom_id: expected a string of 1 to 256 bytes without "
                    "control characters");
    const auto* method = find_string(*object, "method");
    if (method == nullptr || to_view(*method) != "POST")
        return fail(error, result_code::invalid_request,
                    "method: expected \"POST\"");
    const auto* url = find_string(*object, "url");
    if (url == nullptr)
        return fail(error, result_code::invalid_request,
                    "url: expected a string");
    const auto* body = object->if_contains("body");
    if (body == nullptr || !body->is_object())
        return fail(error, result_code::invalid_request,
                    "body: expected an object");

    const auto text = json::serialize(*body);
    const auto target = to_view(*url);
    if (target == "/v1/chat/completions" || target == "/v1/completions")
    {
        const auto* model = find_string(body->get_object(), "model");
        if (model == nullptr)
            return fail(error, result_code::invalid_request,
                        "body.model: expected a string");
        if (!fleet_->has_model(to_view(*model)))
            return fail(error, result_code::unknown_model, {});
        out.set_service(model->data(), model->size());
        for (const auto part : read_prompt_parts(body->get_object()))
            out.add_prompt_parts(part);
        out.set_path(std::string(target));

        // After a failure of its target, a streamed item is continued from the
        // text received so far, instead of from the start.
        auto streaming_body = make_streaming_body(text);
        out.set_whole_answer(!streaming_body);
        out.set_body(streaming_body ? std::move(*streaming_body) : text);
    }
    else
    {
        const auto service = parse_service_target(target);
        if (!service || !http::is_request_target(service->path))
            return fail(error, result_code::unknown_path, {});
        const auto* rules = fleet_->find_service(service->name);
        if (rules == nullptr)
            return fail(error, result_code::unknown_service, {});
        const auto repeatable = rules->is_repeatable("POST", service->path);
        if (!repeatable)
            return fail(error, result_code::invalid_request,
                        "url: the path must not contain empty, '.' or '..' "
                        "segments, ';', '\\', or encoded separators; "
                        "escapes must be valid");
        out.set_service(service->name);
        out.set_path(service->path);
        out.set_whole_answer(true);
        out.set_not_repeatable(!*repeatable);
        out.set_body(text);
    }

    if (id_hashes_.size() >= max_items_)
        return fail(error, result_code::too_many_items,
                    "the job has more items than the limit of " +
                        std::to_string(max_items_));
    if (!id_hashes_.insert(common::hash64(to_view(*id))).second)
        return fail(error, result_code::duplicate_custom_id,
                    "two items of the job have the same custom_id '" +
                        std::string(to_view(*id)) + "'");
    out.set_id(id->data(), id->size());
    out.set_method("POST");
    auto& type = *out.add_headers();
    type.set_name("Content-Type");
    type.set_value("application/json");
    return true;
}

} // namespace tanagertrack::api
