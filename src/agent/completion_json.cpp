#include "agent/completion_json.hpp"

#include <boost/json.hpp>

#include <array>

namespace tanagertrack::agent
{

namespace json = boost::json;

namespace
{

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view text_path = "/v1/completions";

/// Fields whose answers carry more than the text of one choice.
constexpr std::array<std::string_view, 8> special_fields = {
    "tools",   "functions",       "n",    "logprobs",
    "best_of", "response_format", "echo", "top_logprobs"};

/// The first choice of a chunk, or null.
const json::object* first_choice(const json::value& document)
{
    const auto* object = document.if_object();
    const auto* choices =
        object != nullptr ? object->if_contains("choices") : nullptr;
    const auto* list = choices != nullptr ? choices->if_array() : nullptr;
    return list != nullptr && !list->empty() ? list->front().if_object()
                                             : nullptr;
}

std::string string_field(const json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(name);
    const auto* text = value != nullptr ? value->if_string() : nullptr;
    return text != nullptr ? std::string(*text) : std::string();
}

} // namespace

bool is_completion_path(std::string_view path)
{
    return path == chat_path || path == text_path;
}

std::string event_text(std::string_view data)
{
    boost::system::error_code ec;
    const auto document = json::parse(data, ec);
    const auto* choice = ec ? nullptr : first_choice(document);
    if (choice == nullptr)
        return {};
    if (const auto* delta = choice->if_contains("delta"))
        return delta->is_object() ? string_field(delta->get_object(), "content")
                                  : std::string();
    return string_field(*choice, "text");
}

bool can_be_assembled(std::string_view body)
{
    boost::system::error_code ec;
    const auto document = json::parse(body, ec);
    if (ec || !document.is_object())
        return false;
    for (const auto name : special_fields)
        if (document.get_object().contains(name))
            return false;
    return true;
}

std::optional<std::string>
with_resume(std::string_view body, std::string_view resume_text, bool stream)
{
    boost::system::error_code ec;
    auto document = json::parse(body, ec);
    if (ec || !document.is_object())
        return std::nullopt;
    auto& object = document.get_object();
    if (!resume_text.empty())
        object["resume_text"] = resume_text;
    if (stream)
        object["stream"] = true;
    return json::serialize(document);
}

std::string assembled_answer(std::string_view path, std::string_view last_event,
                             std::string_view text, std::uint32_t tokens)
{
    boost::system::error_code ec;
    const auto document = json::parse(last_event, ec);
    const auto* last = ec ? nullptr : document.if_object();
    const bool chat = path == chat_path;

    json::object choice;
    choice["index"] = 0;
    if (chat)
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    const auto* last_choice = ec ? nullptr : first_choice(document);
    choice["finish_reason"] = last_choice != nullptr
                                  ? string_field(*last_choice, "finish_reason")
                                  : std::string();

    json::object out;
    out["id"] = last != nullptr ? string_field(*last, "id") : std::string();
    out["object"] = chat ? "chat.completion" : "text_completion";
    out["model"] =
        last != nullptr ? string_field(*last, "model") : std::string();
    out["choices"] = json::array{std::move(choice)};
    out["usage"] = {{"completion_tokens", tokens}};
    return json::serialize(out);
}

} // namespace tanagertrack::agent
