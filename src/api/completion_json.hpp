#ifndef TANAGERTRACK_API_COMPLETION_JSON_HPP
#define TANAGERTRACK_API_COMPLETION_JSON_HPP

#include <optional>
#include <string>
#include <string_view>

namespace tanagertrack::api
{

/// Returns the body of a completion request, changed to ask for a stream of
/// events. Returns std::nullopt if `body` is not a JSON object, or if the whole
/// response couldn't be assembled from the events. Only a response with one
/// choice of plain text and without further data (tool calls, log
/// probabilities) can be assembled.
std::optional<std::string> make_streaming_body(std::string_view body);

/// Assembles the whole response of a completion from the data of its events,
/// one event per line. Returns std::nullopt if a line is not an event of a
/// completion, or if there are no events.
std::optional<std::string> assemble_answer(std::string_view events);

} // namespace tanagertrack::api

#endif
