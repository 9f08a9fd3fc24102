#ifndef TANAGERTRACK_AGENT_COMPLETION_JSON_HPP
#define TANAGERTRACK_AGENT_COMPLETION_JSON_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tanagertrack::agent
{

/// Whether `path` is that of a completion of a model engine.
bool is_completion_path(std::string_view path);

/// Text that one event of a streamed completion adds; empty if none.
std::string event_text(std::string_view data);

/// Whether a completion with this body can be run as a stream and answered
/// whole: one choice of plain text, nothing that a chunk carries beside it.
bool can_be_assembled(std::string_view body);

/// The body of a completion with the text of earlier attempts in
/// `resume_text`, and `"stream": true` when `stream`. Nothing when it is not
/// a JSON object.
std::optional<std::string>
with_resume(std::string_view body, std::string_view resume_text, bool stream);

/// Whole answer of a completion from its last event and its text.
std::string assembled_answer(std::string_view path, std::string_view last_event,
                             std::string_view text, std::uint32_t tokens);

} // namespace tanagertrack::agent

#endif
