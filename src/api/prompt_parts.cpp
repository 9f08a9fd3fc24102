#include "api/prompt_parts.hpp"

#include <boost/json/serialize.hpp>

namespace tanagertrack::api
{

namespace json = boost::json;

std::vector<routing::part_key> read_prompt_parts(const json::object& body)
{
    std::vector<routing::part_key> parts;
    const auto add = [&parts](const json::value& value)
    {
        parts.push_back(routing::make_part_key(json::serialize(value)));
    };
    const auto* messages = body.if_contains("messages");
    const auto* prompt = body.if_contains("prompt");
    if (messages != nullptr && messages->is_array())
        for (const auto& it : messages->get_array())
            add(it);
    else if (prompt != nullptr)
        add(*prompt);
    return parts;
}

} // namespace tanagertrack::api
