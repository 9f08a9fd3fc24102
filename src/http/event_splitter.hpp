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

/// One server-sent event as it came, with its final blank line.
struct stream_event
{
    std::string_view bytes;

    /// Number in the "id" field, if there is one.
    std::optional<std::uint64_t> id;
};

/// Value of an event's "data" lines, joined by line feeds.
std::string event_data(std::string_view bytes);

/// Cuts a stream of server-sent events that comes in pieces of any size into
/// whole events. One thread.
class event_splitter
{
public:
    using handler = std::function<void(const stream_event&)>;

    /// An event of more than `max_event_bytes` is an error.
    event_splitter(std::size_t max_event_bytes, handler on_event);

    /// Takes the next piece. False: an event is over the limit.
    bool feed(std::string_view piece);

    /// Bytes of an event whose end has not come.
    std::size_t pending() const
    {
        return buf_.size();
    }

private:
    std::size_t max_event_bytes_;
    handler on_event_;
    std::string buf_;

    /// Bytes of `buf_` in which no event ends.
    std::size_t searched_ = 0;
};

} // namespace tanagertrack::http

#endif
