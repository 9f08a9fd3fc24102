#include "common/result_code.hpp"
#include "services/host_list.hpp"
#include "services/http_get.hpp"

#include <boost/json.hpp>

#include <chrono>
#include <utility>

namespace tanagertrack::services
{

namespace
{

using common::result_code;

using fetch_handler =
    std::function<void(std::error_code, std::vector<listed_host>)>;

constexpr auto fetch_timeout = std::chrono::seconds(2);

/// Largest list; 20,000 hosts take about 1 MiB.
constexpr std::uint64_t max_list_bytes = 4UL * 1024 * 1024;

/// Reads the JSON list; false when it is not valid.
bool parse_hosts(std::string_view text, std::vector<listed_host>& out)
{
    boost::system::error_code ec;
    const auto value = boost::json::parse(text, ec);
    if (ec || !value.is_array())
        return false;
    for (const auto& it : value.get_array())
    {
        const auto* row = it.if_object();
        const auto* host = row != nullptr ? row->if_contains("host") : nullptr;
        const auto* state =
            row != nullptr ? row->if_contains("state") : nullptr;
        if (host == nullptr || !host->is_string() || state == nullptr ||
            !state->is_string())
            return false;
        const bool leaving = state->get_string() == "leaving";
        out.push_back({std::string(host->get_string()),
                       leaving ? host_state::leaving : host_state::live});
    }
    return true;
}

void finish(std::error_code ec, const get_answer& answer,
            const fetch_handler& handler)
{
    constexpr unsigned http_ok = 200;
    std::vector<listed_host> hosts;
    if (ec || answer.status != http_ok)
        handler(result_code::connection_lost, {});
    else if (!parse_hosts(answer.body, hosts))
        handler(result_code::protocol_error, {});
    else
        handler({}, std::move(hosts));
}

} // namespace

host_list make_http_host_list(boost::asio::io_context& context,
                              common::endpoint address)
{
    host_list list;
    list.fetch = [&context, address = std::move(address)](fetch_handler handler)
    {
        http_get(context, {address, "/hosts", max_list_bytes, fetch_timeout},
                 [handler = std::move(handler)](std::error_code ec,
                                                const get_answer& answer)
                 { finish(ec, answer, handler); });
    };
    return list;
}

} // namespace tanagertrack::services
