#include "standin/host_list_stand_in.hpp"

#include <algorithm>
#include <string>

namespace tanagertrack::standin
{

namespace json = boost::json;

namespace
{

bool is_host(const json::value& value)
{
    const auto* it = value.if_object();
    if (it == nullptr || it->size() != 2)
        return false;
    const auto* host = it->if_contains("host");
    const auto* state = it->if_contains("state");
    return host != nullptr && host->is_string() && state != nullptr &&
           (*state == "live" || *state == "leaving");
}

} // namespace

host_list_stand_in::host_list_stand_in(std::string_view hosts,
                                       std::int64_t lag_ms)
    : lag_ms_(lag_ms)
{
    json::array list;
    while (!hosts.empty())
    {
        const auto host = hosts.substr(0, hosts.find(','));
        hosts.remove_prefix(std::min(hosts.size(), host.size() + 1));
        json::object row;
        row["host"] = std::string(host);
        row["state"] = "live";
        list.push_back(std::move(row));
    }
    // The list at the start is shown at once.
    versions_.push_back({clock::time_point(), std::move(list)});
    faults().add("lag_ms", lag_ms_);
    faults().add("hosts",
                 [this](const json::value& it) { return set_hosts(it); });
}

boost::asio::awaitable<void> host_list_stand_in::handle(http_exchange& exchange)
{
    if (exchange.path() != "/hosts")
    {
        co_await exchange.respond(404, "{}");
        co_return;
    }
    ++reads_;
    const auto newest = clock::now() - std::chrono::milliseconds(lag_ms_);
    while (versions_.size() > 1 && versions_[1].set <= newest)
        versions_.pop_front();
    const json::value shown = versions_.front().hosts;
    co_await exchange.respond_json(200, shown);
}

json::object host_list_stand_in::seen() const
{
    json::object out;
    out["reads"] = reads_;
    return out;
}

bool host_list_stand_in::set_hosts(const json::value& hosts)
{
    const auto* list = hosts.if_array();
    if (list == nullptr || !std::all_of(list->begin(), list->end(), is_host))
        return false;
    versions_.push_back({clock::now(), *list});
    if (versions_.size() > max_versions)
        versions_.pop_front();
    return true;
}

} // namespace tanagertrack::standin
