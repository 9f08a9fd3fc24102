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

/// Request fields that make the response carry more than the text of one
/// choice. Such a response can't be assembled from its events.
constexpr std::array<std::string_view, 8> unsupported_fields = {
    "tools",   "functions",       "n",    "logprobs",
    "best_of", "response_format", "echo", "top_logprobs"};

constexpr std::string_view done_marker = "[DONE]";

/// Returns the first choice of an event, or nullptr.
const json::object* first_choice(const json::object& event)
{
    const auto* choices = event.if_contains("choices");
    const auto* list = choices != nullptr ? choices->if_array() : nullptr;
    return list != nullptr && !list->empty() ? list->front().if_object()
                                             : nullptr;
}

/// Returns a string member; empty if it is absent or not a string.
std::string string_member(const json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(name);
    const auto* text = value != nullptr ? value->if_string() : nullptr;
    return text != nullptr ? std::string(*text) : std::string();
}

/// Assembles the whole response of a completion from its events.
struct completion_assembler
{
    bool chat = false;
    std::string id;
    std::string model;
    std::string text;
    std::string finish_reason;
    std::size_t events = 0;

    /// Adds the data of one event. Returns false if it is not an event of a
    /// completion.
    bool add_event(std::string_view data)
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
            text += string_member(delta->get_object(), "content");
        if (!chat)
            text += string_member(*choice, "text");
        id = string_member(*event, "id");
        model = string_member(*event, "model");
        finish_reason = string_member(*choice, "finish_reason");
        ++events;
        return true;
    }

    /// Returns the response as serialized JSON.
    std::string answer() const
    {
        json::object choice;
        choice["index"] = 0;
        if (chat)
            choice["message"] = {{"role", "assistant"}, {"content", text}};
        else
            choice["text"] = text;
        choice["finish_reason"] = finish_reason;
        json::object body;
        body["id"] = id;
        body["object"] = chat ? "chat.completion" : "text_completion";
        body["model"] = model;
        body["choices"] = json::array{std::move(choice)};
        return json::serialize(body);
    }
};

} // namespace

std::optional<std::string> make_streaming_body(std::string_view body)
{
    boost::system::error_code ec;
    auto document = json::parse(body, ec);
    if (ec || !document.is_object())
        return std::nullopt;
    auto& object = document.get_object();
    const bool unsupported =
        std::ranges::any_of(unsupported_fields, [&object](std::string_view it)
                            { return object.contains(it); });
    if (unsupported)
        return std::nullopt;
    object["stream"] = true;
    return json::serialize(document);
}

std::optional<std::string> assemble_answer(std::string_view events)
{
    completion_assembler assembler;
    while (!events.empty())
    {
        const auto n = std::min(events.find('\n'), events.size());
        const auto data = events.substr(0, n);
        if (data != done_marker && !assembler.add_event(data))
            return std::nullopt;
        events.remove_prefix(std::min(n + 1, events.size()));
    }
    if (assembler.events == 0)
        return std::nullopt;
    return assembler.answer();
}

} // namespace tanagertrack::api
