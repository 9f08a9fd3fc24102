#ifndef TANAGERTRACK_SERVICES_SSE_PARSER_HPP
#define TANAGERTRACK_SERVICES_SSE_PARSER_HPP

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace tanagertrack::services
{

/// Parses a stream of server-sent events that comes in pieces of any size.
/// Fields other than `data` and comments are skipped.
class sse_parser
{
public:
    using event_handler = std::function<void(std::string_view data)>;

    /// Calls `on_event` for each event but "[DONE]". `max_event_bytes` limits
    /// the bytes of one event.
    sse_parser(event_handler on_event, std::size_t max_event_bytes);

    /// Parses the next piece; false when an event is over the limit.
    bool feed(std::string_view piece);

    /// Whether "[DONE]" was seen.
    bool done() const
    {
        return done_;
    }

private:
    void end_line(std::string_view line);
    void end_event();

    event_handler on_event_;
    std::size_t max_event_bytes_;
    std::string line_;
    std::string data_;
    bool has_data_ = false;
    bool done_ = false;
    bool after_return_ = false;
};

} // namespace tanagertrack::services

#endif
