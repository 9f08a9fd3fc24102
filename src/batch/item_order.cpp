#include "batch/item_order.hpp"

#include <chrono>
#include <optional>

namespace tanagertrack::batch
{

targets::attempt_order make_item_order(const targets::target_protocol& protocol,
                                       const item_run& item,
                                       const std::string& host,
                                       const std::string& target)
{
    // Fields of one connection don't go on to another.
    http::header_list given;
    for (const auto& it : item.data.headers())
        given.add(it.name(), it.value());
    http::header_list headers;
    http::copy_end_to_end(given, headers);

    targets::attempt_order order;
    order.work = routing::work_class::batch;
    order.request = protocol.write(
        {item.data.id(), item.data.method(), item.data.path(), host, headers,
         item.data.body(), target, std::nullopt, item.last_event});
    order.request_id = item.data.id();
    order.events = !item.data.whole_answer();
    order.after_event = item.last_event;
    if (item.data.not_repeatable())
        order.max_rest = std::chrono::milliseconds(0);
    return order;
}

} // namespace tanagertrack::batch
