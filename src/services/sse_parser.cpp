#include "services/sse_parser.hpp"

#include <utility>

namespace tanagertrack::services
{

namespace
{

constexpr std::string_view data_field = "data:";

} // namespace

sse_parser::sse_parser(event_handler on_event, std::size_t max_event_bytes)
    : on_event_(std::move(on_event)), max_event_bytes_(max_event_bytes)
{
}

bool sse_parser::feed(std::string_view piece)
{
    while (!piece.empty())
    {
        // "\r\n", "\n" and "\r" each end a line; the two bytes of "\r\n" can
        // be in different pieces.
        if (std::exchange(after_return_, false) && piece.front() == '\n')
        {
            piece.remove_prefix(1);
            continue;
        }
        const auto n = piece.find_first_of("\r\n");
        const auto part = piece.substr(0, n);
        if (line_.size() + data_.size() + part.size() > max_event_bytes_)
            return false;
        if (n == std::string_view::npos)
        {
            line_.append(part);
            return true;
        }

        after_return_ = piece[n] == '\r';
        if (line_.empty())
        {
            end_line(part);
        }
        else
        {
            line_.append(part);
            end_line(line_);
            line_.clear();
        }
        piece.remove_prefix(n + 1);
    }
    return true;
}

void sse_parser::end_line(std::string_view line)
{
    if (line.empty())
    {
        end_event();
        return;
    }
    if (!line.starts_with(data_field))
        return;
    line.remove_prefix(data_field.size());
    if (line.starts_with(' '))
        line.remove_prefix(1);
    if (has_data_)
        data_ += '\n';
    data_ += line;
    has_data_ = true;
}

void sse_parser::end_event()
{
    if (!std::exchange(has_data_, false))
        return;
    const std::string data = std::exchange(data_, {});
    if (data == "[DONE]")
        done_ = true;
    else
        on_event_(data);
}

} // namespace tanagertrack::services
