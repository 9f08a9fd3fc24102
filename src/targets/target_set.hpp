#ifndef TANAGERTRACK_TARGETS_TARGET_SET_HPP
#define TANAGERTRACK_TARGETS_TARGET_SET_HPP

#include "fleet/target_directory.hpp"
#include "routing/subset.hpp"
#include "targets/target.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::targets
{

/// Where a process is.
struct process_location
{
    std::string data_centre;
    std::string region;

    /// Region of each data centre; one that is not listed is in `region`.
    std::map<std::string, std::string> regions;
};

/// All targets that may be used, by service. One thread.
class target_set
{
public:
    /// `load_changed` is called whenever a request of this process starts or
    /// ends on a target.
    target_set(boost::asio::io_context& context, process_location location,
               std::function<void()> load_changed);

    /// Adds a target, or takes a changed announcement of one. A target that
    /// started anew, or moved, is another one.
    void add(const std::string& id, const fleet::target_announcement& value);

    /// Takes a target out.
    void remove(const std::string& id);

    /// Targets of a service; empty for an unknown one.
    const std::vector<target_ptr>& of_service(std::string_view service) const;

    /// Target of an id; null if there is none.
    target* find(std::string_view id) const;

    /// Calls `visit` with each target.
    void for_each(const std::function<void(target&)>& visit) const;

    std::size_t size() const
    {
        return by_id_.size();
    }

private:
    routing::distance distance_to(const std::string& data_centre) const;
    std::string_view region_of(const std::string& data_centre) const;

    boost::asio::io_context& context_;
    process_location location_;
    std::function<void()> load_changed_;
    std::map<std::string, target_ptr, std::less<>> by_id_;
    std::map<std::string, std::vector<target_ptr>, std::less<>> by_service_;
};

} // namespace tanagertrack::targets

#endif
