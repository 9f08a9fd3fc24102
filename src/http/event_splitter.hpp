#ifndef TANAGERTRACK_HTTP_EVENT_SPLITTER_HPP
#define TANAGERTRACK_HTTP_EVENT_SPLITTER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace tanagertrack::http
{

/// One server-sent event as received, including the blank line that ends it.
struct stream_event
{
    std::string_view bytes;

    /// Value of the "id" field, if it is a number.
    std::optional<std::uint64_t> id;
};

/// Returns the values of an event's "data" lines, joined by line feeds.
std::string event_data(std::string_view bytes);

/// Returns true if the event has a "data" line; one of comments has none.
bool has_event_data(std::string_view bytes);

/// Splits a stream of server-sent events, received in pieces of any size, into
/// complete events. Not thread-safe.
class event_splitter
{
public:
    using handler = std::function<void(const stream_event&)>;

    /// `on_event` is called from `feed` for each complete event. An incomplete
    /// event of more than `max_event_bytes` is an error.
    event_splitter(std::size_t max_event_bytes, handler on_event);

    /// Processes the next piece of the stream. Returns false if an incomplete
    /// event exceeds the limit.
    bool feed(std::string_view piece);

    /// Number of buffered bytes of an incomplete event.
    std::size_t pending() const
    {
        return buffer_.size();
    }

private:
    std::size_t max_event_bytes_;
    handler on_event_;
    std::string buffer_;

    /// Number of leading bytes of `buffer_` that are known to hold no event
    /// end.
    std::size_t searched_bytes_ = 0;
};

} // namespace tanagertrack::http

#endif
