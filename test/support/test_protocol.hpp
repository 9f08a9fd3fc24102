#ifndef TANAGERTRACK_TEST_SUPPORT_TEST_PROTOCOL_HPP
#define TANAGERTRACK_TEST_SUPPORT_TEST_PROTOCOL_HPP

#include "fleet/target_directory.hpp"
#include "routing/prompt.hpp"
#include "targets/protocol.hpp"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::test
{

/// Prompt of the parts whose ids are listed, separated by commas.
inline routing::prompt make_prompt(std::string_view ids)
{
    std::vector<routing::part_key> parts;
    while (!ids.empty())
    {
        const auto n = std::min(ids.find(','), ids.size());
        parts.push_back(routing::make_part_key(ids.substr(0, n)));
        ids.remove_prefix(std::min(n + 1, ids.size()));
    }
    return routing::make_prompt(parts);
}

/// Minimal target protocol for tests. Requests have the header fields Id (of
/// the request), Target (id of the target), After (number of the last event
/// received) and Left (remaining time in ms). An answer is foreign if its Id is
/// not that of the request; the fields Not-Run and Replaced mark requests that
/// were not executed, Leaving a target that is leaving.
inline targets::target_protocol make_test_protocol()
{
    targets::target_protocol protocol;
    protocol.write = [](const targets::outgoing_request& request)
    {
        std::string out(request.method);
        out += ' ';
        out += request.target;
        out += " HTTP/1.1\r\nHost: t\r\nId: ";
        out += request.id;
        out += "\r\nTarget: ";
        out += request.target_id;
        if (request.after_event)
            out += "\r\nAfter: " + std::to_string(*request.after_event);
        if (request.time_left)
            out += "\r\nLeft: " + std::to_string(request.time_left->count());
        out += "\r\nContent-Length: " + std::to_string(request.body.size());
        out += "\r\n\r\n";
        out += request.body;
        return out;
    };
    protocol.classify = [](const http::response_head& head,
                           const targets::answer_context& context)
    {
        if (head.headers.find("Id") != context.request_id)
            return targets::answer_kind::foreign;
        if (head.headers.contains("Replaced"))
            return targets::answer_kind::replaced;
        return head.headers.contains("Not-Run") ? targets::answer_kind::not_run
                                                : targets::answer_kind::answer;
    };
    protocol.read_load = [](const http::response_head&)
    {
        return std::optional<routing::load_report>();
    };
    protocol.is_leaving = [](const http::response_head& head)
    {
        return head.headers.contains("Leaving");
    };
    return protocol;
}

/// Header line that marks an answer as the one to request `id`.
inline std::string answers_to(const std::string& id)
{
    return "Id: " + id + "\r\n";
}

/// Value of a header field in the head of a request; empty if it is missing.
inline std::string field_of(const std::string& request, const std::string& name)
{
    const auto at = request.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size() + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

/// Announcement of a target of one service in data centre "d".
inline fleet::target_announcement
make_announcement(const common::endpoint& address,
                  const std::string& service = "s", std::uint32_t slots = 2)
{
    fleet::target_announcement out;
    out.services = {service};
    out.address = address;
    out.data_centre = "d";
    out.slots = slots;
    out.started_ms = 1;
    out.sequence = 1;
    return out;
}

} // namespace tanagertrack::test

#endif
