#ifndef TANAGERTRACK_STANDIN_HOST_LIST_STAND_IN_HPP
#define TANAGERTRACK_STANDIN_HOST_LIST_STAND_IN_HPP

#include "standin/stand_in.hpp"

#include <boost/json/array.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <string_view>

namespace tanagertrack::standin
{

/// List of hosts that shows changes late. Faults: `hosts` (the new list, as
/// GET /hosts returns it) and `lag_ms`.
class host_list_stand_in : public stand_in
{
public:
    /// `hosts` has the IP numbers of live hosts, separated by commas.
    host_list_stand_in(std::string_view hosts, std::int64_t lag_ms);

    boost::asio::awaitable<void> handle(http_exchange& exchange) override;
    boost::json::object seen() const override;

private:
    using clock = std::chrono::steady_clock;

    /// Changes that are not shown yet; a further one replaces the oldest.
    static constexpr std::size_t max_versions = 1000;

    struct version
    {
        clock::time_point set;
        boost::json::array hosts;
    };

    bool set_hosts(const boost::json::value& hosts);

    std::deque<version> versions_;
    std::int64_t lag_ms_;
    std::uint64_t reads_ = 0;
};

} // namespace tanagertrack::standin

#endif
