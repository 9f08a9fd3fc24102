#ifndef TANAGERTRACK_API_COMPLETION_JSON_HPP
#define TANAGERTRACK_API_COMPLETION_JSON_HPP

#include <optional>
#include <string>
#include <string_view>

namespace tanagertrack::api
{

/// Returns the body of a completion request, changed to ask for a stream of
/// events. Returns std::nullopt if the whole response couldn't be assembled
/// from the events, which is possible only for one choice of plain text without
/// further data (tool calls, log probabilities), or if `body` is not a JSON
/// object.
std::optional<std::string> make_streaming_body(std::string_view body);

/// Assembles the whole response of a completion from the data of its events,
/// one event a line. Returns std::nullopt if a line is not an event of a
/// completion, or if there are no events.
std::optional<std::string> assemble_answer(std::string_view events);

} // namespace tanagertrack::api

#endif
