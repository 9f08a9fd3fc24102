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

/// Location of a process.
struct process_location
{
    std::string data_centre;
    std::string region;

    /// Region by data centre. A data centre that is not listed is assumed to be
    /// in `region`.
    std::map<std::string, std::string> regions;
};

/// The targets to which requests may be sent, indexed by id and by service. Not
/// thread-safe: all calls are made on the thread of the io_context.
class target_set
{
public:
    /// `hooks` are called for all targets.
    target_set(boost::asio::io_context& context, process_location location,
               target_hooks hooks);

    /// Adds a target, or updates its announcement. If the start time, address
    /// or services have changed, the target is removed and added as a new one.
    void add(const std::string& id, const fleet::target_announcement& value);

    /// Removes and retires a target. Does nothing for an unknown id.
    void remove(const std::string& id);

    /// Returns the targets of a service; an empty list for an unknown one.
    const std::vector<target_ptr>& of_service(std::string_view service) const;

    /// Returns the target with an id, or nullptr.
    target* find(std::string_view id) const;

    /// Calls `visit` with each target, in the order of their ids.
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
    target_hooks hooks_;
    std::map<std::string, target_ptr, std::less<>> by_id_;
    std::map<std::string, std::vector<target_ptr>, std::less<>> by_service_;
};

} // namespace tanagertrack::targets

#endif
