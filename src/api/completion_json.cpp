#include "api/completion_json.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

namespace tanagertrack::api
{

namespace json = boost::json;

namespace
{

/// Fields whose answers carry more than the text of one choice.
constexpr std::array<std::string_view, 8> special_fields = {
    "tools",   "functions",       "n",    "logprobs",
    "best_of", "response_format", "echo", "top_logprobs"};

constexpr std::string_view end_mark = "[DONE]";

/// The first choice of an event, or null.
const json::object* first_choice(const json::object& event)
{
    const auto* choices = event.if_contains("choices");
    const auto* list = choices != nullptr ? choices->if_array() : nullptr;
    return list != nullptr && !list->empty() ? list->front().if_object()
                                             : nullptr;
}

std::string text_of(const json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(name);
    const auto* text = value != nullptr ? value->if_string() : nullptr;
    return text != nullptr ? std::string(*text) : std::string();
}

/// What the events of one answer add up to.
struct assembled
{
    bool chat = false;
    std::string id;
    std::string model;
    std::string text;
    std::string finish_reason;
    std::size_t events = 0;

    /// False for data that is no event of a completion.
    bool add(std::string_view data)
    {
        boost::system::error_code ec;
        const auto document = json::parse(data, ec);
        const auto* event = ec ? nullptr : document.if_object();
        const auto* choice = event == nullptr ? nullptr : first_choice(*event);
        if (choice == nullptr)
            return false;
        const auto* delta = choice->if_contains("delta");
        chat = delta != nullptr;
        if (chat && delta->is_object())
            text += text_of(delta->get_object(), "content");
        if (!chat)
            text += text_of(*choice, "text");
        id = text_of(*event, "id");
        model = text_of(*event, "model");
        finish_reason = text_of(*choice, "finish_reason");
        ++events;
        return true;
    }

    std::string answer() const
    {
        json::object choice;
        choice["index"] = 0;
        if (chat)
            choice["message"] = {{"role", "assistant"}, {"content", text}};
        else
            choice["text"] = text;
        choice["finish_reason"] = finish_reason;
        json::object out;
        out["id"] = id;
        out["object"] = chat ? "chat.completion" : "text_completion";
        out["model"] = model;
        out["choices"] = json::array{std::move(choice)};
        return json::serialize(out);
    }
};

} // namespace

std::optional<std::string> as_streamed(std::string_view body)
{
    boost::system::error_code ec;
    auto document = json::parse(body, ec);
    if (ec || !document.is_object())
        return std::nullopt;
    auto& object = document.get_object();
    const bool special =
        std::ranges::any_of(special_fields, [&object](std::string_view it)
                            { return object.contains(it); });
    if (special)
        return std::nullopt;
    object["stream"] = true;
    return json::serialize(document);
}

std::optional<std::string> assemble_answer(std::string_view events)
{
    assembled out;
    while (!events.empty())
    {
        const auto n = std::min(events.find('\n'), events.size());
        const auto data = events.substr(0, n);
        if (data != end_mark && !out.add(data))
            return std::nullopt;
        events.remove_prefix(std::min(n + 1, events.size()));
    }
    if (out.events == 0)
        return std::nullopt;
    return out.answer();
}

} // namespace tanagertrack::api
