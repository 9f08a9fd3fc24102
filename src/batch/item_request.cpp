#include "batch/item_request.hpp"

#include <algorithm>
#include <chrono>
#include <optional>

namespace tanagertrack::batch
{

targets::attempt_request
make_item_request(const targets::target_protocol& protocol,
                  const item_run& item, const std::string& host,
                  const std::string& target)
{
    // Hop-by-hop header fields are not forwarded.
    http::header_list item_headers;
    for (const auto& it : item.data.headers())
        item_headers.add(it.name(), it.value());
    http::header_list headers;
    http::copy_end_to_end(item_headers, headers);

    targets::attempt_request out;
    out.work = routing::work_class::batch;
    out.request = protocol.write(
        {item.data.id(), item.data.method(), item.data.path(), host, headers,
         item.data.body(), target, std::nullopt, item.last_event});
    out.request_id = item.data.id();
    out.events = !item.data.whole_answer();
    out.after_event = item.last_event;
    if (item.max_events())
        out.max_events =
            *item.max_events() - std::min(*item.max_events(), item.events);
    out.max_unnumbered_bytes = targets::unnumbered_bytes_limit;
    out.prompt = item.prompt;

    // Uses a new connection: if the target closed an idle one while the request
    // is sent, it would be unknown whether the item ran.
    if (item.data.not_repeatable())
        out.max_idle_time = std::chrono::milliseconds(0);
    return out;
}

} // namespace tanagertrack::batch
