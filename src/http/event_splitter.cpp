#include "http/event_splitter.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace tanagertrack::http
{

namespace
{

/// Calls `visit` with each line of an event, without the line end.
template<typename Visit>
void for_each_line(std::string_view bytes, Visit visit)
{
    while (!bytes.empty())
    {
        const auto n = std::min(bytes.find('\n'), bytes.size());
        auto line = bytes.substr(0, n);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        visit(line);
        bytes.remove_prefix(std::min(n + 1, bytes.size()));
    }
}

/// Returns the value of a line with the field `name`, or std::nullopt for any
/// other line.
std::optional<std::string_view> field_value(std::string_view line,
                                            std::string_view name)
{
    if (!line.starts_with(name))
        return std::nullopt;
    line.remove_prefix(name.size());
    if (line.empty())
        return line;
    if (line.front() != ':')
        return std::nullopt;
    line.remove_prefix(1);
    if (line.starts_with(' '))
        line.remove_prefix(1);
    return line;
}

std::optional<std::uint64_t> event_id(std::string_view bytes)
{
    std::optional<std::uint64_t> id;
    for_each_line(bytes,
                  [&id](std::string_view line)
                  {
                      const auto value = field_value(line, "id");
                      std::uint64_t number = 0;
                      if (!value)
                          return;
                      const auto [end, ec] = std::from_chars(
                          value->data(), value->data() + value->size(), number);
                      if (ec == std::errc())
                          id = number;
                  });
    return id;
}

/// Returns the offset after the first blank line at or after `from`, or npos
/// if there is none.
std::size_t find_event_end(std::string_view bytes, std::size_t from)
{
    for (auto at = bytes.find('\n', from); at != bytes.npos;
         at = bytes.find('\n', at + 1))
    {
        if (at + 1 < bytes.size() && bytes[at + 1] == '\n')
            return at + 2;
        if (at + 2 < bytes.size() && bytes[at + 1] == '\r' &&
            bytes[at + 2] == '\n')
            return at + 3;
    }
    return bytes.npos;
}

} // namespace

bool has_event_data(std::string_view bytes)
{
    bool found = false;
    for_each_line(bytes, [&found](std::string_view line)
                  { found |= field_value(line, "data").has_value(); });
    return found;
}

std::string event_data(std::string_view bytes)
{
    std::string data;
    bool first = true;
    for_each_line(bytes,
                  [&](std::string_view line)
                  {
                      const auto value = field_value(line, "data");
                      if (!value)
                          return;
                      if (!std::exchange(first, false))
                          data += '\n';
                      data += *value;
                  });
    return data;
}

event_splitter::event_splitter(std::size_t max_event_bytes, handler on_event)
    : max_event_bytes_(max_event_bytes), on_event_(std::move(on_event))
{
}

bool event_splitter::feed(std::string_view piece)
{
    buffer_ += piece;
    std::size_t begin = 0;
    for (;;)
    {
        const auto end =
            find_event_end(buffer_, std::max(begin, searched_bytes_));
        if (end == std::string::npos)
            break;
        const auto bytes = std::string_view(buffer_).substr(begin, end - begin);
        begin = end;
        searched_bytes_ = end;
        on_event_({bytes, event_id(bytes)});
    }
    buffer_.erase(0, begin);

    // The last line end may be the start of a blank line that continues in the
    // next piece, so these bytes are searched again.
    constexpr std::size_t max_separator_bytes = 3;
    searched_bytes_ =
        buffer_.size() - std::min(buffer_.size(), max_separator_bytes);
    return buffer_.size() <= max_event_bytes_;
}

} // namespace tanagertrack::http
