#ifndef TANAGERTRACK_TEST_SUPPORT_TEST_PROTOCOL_HPP
#define TANAGERTRACK_TEST_SUPPORT_TEST_PROTOCOL_HPP

#include "fleet/target_directory.hpp"
#include "targets/protocol.hpp"

#include <string>

namespace tanagertrack::test
{

/// A plain protocol of targets for tests: header fields Id, Target, After and
/// Left; an answer with Not-Run or Replaced was not run.
inline targets::target_protocol make_test_protocol()
{
    targets::target_protocol protocol;
    protocol.write = [](const targets::outgoing_request& it)
    {
        std::string out(it.method);
        out += ' ';
        out += it.target;
        out += " HTTP/1.1\r\nHost: t\r\nId: ";
        out += it.id;
        out += "\r\nTarget: ";
        out += it.target_id;
        if (it.after_event)
            out += "\r\nAfter: " + std::to_string(*it.after_event);
        if (it.time_left)
            out += "\r\nLeft: " + std::to_string(it.time_left->count());
        out += "\r\nContent-Length: " + std::to_string(it.body.size());
        out += "\r\n\r\n";
        out += it.body;
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
    return protocol;
}

/// Header field that makes an answer that of a request.
inline std::string answers_to(const std::string& id)
{
    return "Id: " + id + "\r\n";
}

/// Value of a header field of a request's head; empty if there is none.
inline std::string field_of(const std::string& request, const std::string& name)
{
    const auto at = request.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size() + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

inline fleet::target_announcement
make_announcement(const common::endpoint& address,
                  const std::string& service = "s", std::uint32_t slots = 2)
{
    fleet::target_announcement it;
    it.services = {service};
    it.address = address;
    it.data_centre = "d";
    it.slots = slots;
    it.started_ms = 1;
    it.sequence = 1;
    return it;
}

} // namespace tanagertrack::test

#endif
