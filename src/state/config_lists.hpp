#ifndef TANAGERTRACK_STATE_CONFIG_LISTS_HPP
#define TANAGERTRACK_STATE_CONFIG_LISTS_HPP

#include "proto/jobs.pb.h"

#include <google/protobuf/repeated_field.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::state
{

// Functions on lists of configuration objects, which are sorted by key.

/// Returns the key by which a list of objects is sorted.
inline const std::string& key_of(const proto::RemovedSpec& spec)
{
    return spec.object();
}

template<typename Spec>
const std::string& key_of(const Spec& spec)
{
    return spec.name();
}

/// Returns an iterator to the first object of a sorted list whose key is not
/// below `key`.
template<typename List>
auto lower_bound(List& list, std::string_view key)
{
    return std::lower_bound(list.begin(), list.end(), key,
                            [](const auto& spec, std::string_view wanted)
                            { return key_of(spec) < wanted; });
}

/// Returns the object with the key, or nullptr if there is none.
template<typename Spec>
const Spec* find(const google::protobuf::RepeatedPtrField<Spec>& list,
                 std::string_view key)
{
    const auto found = lower_bound(list, key);
    return found != list.end() && key_of(*found) == key ? &*found : nullptr;
}

/// Removes the object with the key, if there is one.
template<typename Spec>
void erase(google::protobuf::RepeatedPtrField<Spec>& list, std::string_view key)
{
    const auto found = lower_bound(list, key);
    if (found != list.end() && key_of(*found) == key)
        list.erase(found);
}

/// Replaces the objects with the keys of `changes` and adds the others. Sorting
/// moves only pointers, not objects.
template<typename Spec>
void merge(google::protobuf::RepeatedPtrField<Spec>& list,
           const std::vector<Spec>& changes)
{
    std::vector<const Spec*> added;
    for (const auto& it : changes)
    {
        const auto found = lower_bound(list, key_of(it));
        if (found != list.end() && key_of(*found) == key_of(it))
            *found = it;
        else
            added.push_back(&it);
    }
    if (added.empty())
        return;
    for (const auto* it : added)
        *list.Add() = *it;
    std::sort(list.pointer_begin(), list.pointer_end(),
              [](const Spec* a, const Spec* b)
              { return key_of(*a) < key_of(*b); });
}

/// Returns the number of objects in `changes` whose keys are not in `list`.
template<typename Spec>
std::size_t count_new(const google::protobuf::RepeatedPtrField<Spec>& list,
                      const std::vector<Spec>& changes)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(changes, [&list](const Spec& it)
                              { return find(list, key_of(it)) == nullptr; }));
}

} // namespace tanagertrack::state

#endif
