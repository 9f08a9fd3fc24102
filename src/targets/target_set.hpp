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
struct process_place
{
    std::string data_centre;
    std::string region;

    /// Region of each data centre; one that is not listed is in `region`.
    std::map<std::string, std::string> regions;

    /// Name of the entry, and how many targets of a service it uses; 0: all.
    /// Connections, load messages and choices grow with what each entry uses.
    std::string entry;
    std::size_t max_targets = 0;
};

/// All targets that may be used, by service. One thread.
class target_set
{
public:
    /// `load_changed` is called whenever a request of this process starts or
    /// ends on a target.
    target_set(boost::asio::io_context& context, process_place place,
               std::function<void()> load_changed);

    /// Adds a target, or takes a changed announcement of one. A target that
    /// started anew, or moved, is another one.
    void add(const std::string& id, const fleet::target_announcement& value);

    /// Takes a target out.
    void remove(const std::string& id);

    /// Takes changed regions of data centres.
    void set_regions(const std::map<std::string, std::string>& regions);

    /// Targets of a service that this entry uses; empty for an unknown one.
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
    void choose_used(const std::string& service);
    routing::distance distance_to(const std::string& data_centre) const;
    std::string_view region_of(const std::string& data_centre) const;

    boost::asio::io_context& context_;
    process_place place_;
    std::function<void()> load_changed_;
    std::map<std::string, target_ptr, std::less<>> by_id_;
    std::map<std::string, std::vector<target_ptr>, std::less<>> by_service_;

    /// What of `by_service_` is used.
    std::map<std::string, std::vector<target_ptr>, std::less<>> used_;
};

} // namespace tanagertrack::targets

#endif
