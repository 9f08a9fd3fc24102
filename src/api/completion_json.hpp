#ifndef TANAGERTRACK_API_COMPLETION_JSON_HPP
#define TANAGERTRACK_API_COMPLETION_JSON_HPP

#include <optional>
#include <string>
#include <string_view>

namespace tanagertrack::api
{

/// The body of a completion that asks for a stream of events, if the whole
/// answer can be put together from them: one choice of plain text, and nothing
/// that an event carries beside it. Nothing for other requests.
std::optional<std::string> as_streamed(std::string_view body);

/// Whole answer of a completion from the data of its events, each on a line.
/// Nothing if they are not those of a completion.
std::optional<std::string> assemble_answer(std::string_view events);

} // namespace tanagertrack::api

#endif
