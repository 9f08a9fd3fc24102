#ifndef TANAGERTRACK_HTTP_HEADER_LIST_HPP
#define TANAGERTRACK_HTTP_HEADER_LIST_HPP

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::http
{

/// One header field.
struct header
{
    std::string name;
    std::string value;
};

/// Header fields of a message in the order received. Names are compared
/// case-insensitively.
class header_list
{
public:
    using const_iterator = std::vector<header>::const_iterator;

    header_list() = default;
    header_list(std::initializer_list<header> fields);

    /// Appends a field.
    void add(std::string_view name, std::string_view value);

    /// Replaces all fields with this name by one.
    void set(std::string_view name, std::string_view value);

    /// Removes all fields with this name.
    void remove(std::string_view name);

    /// Returns the value of the first field with this name, or an empty
    /// string.
    std::string_view find(std::string_view name) const;

    /// Returns true if there is a field with this name.
    bool contains(std::string_view name) const;

    /// Returns true if the comma-separated values of the fields with this name
    /// contain `token`.
    bool has_token(std::string_view name, std::string_view token) const;

    /// Appends a line "name: value\r\n" for each field.
    void append_to(std::string& out) const;

    bool empty() const
    {
        return fields_.empty();
    }

    const_iterator begin() const
    {
        return fields_.begin();
    }

    const_iterator end() const
    {
        return fields_.end();
    }

private:
    std::vector<header> fields_;
};

/// Returns true if two header names or tokens are equal, ignoring case.
bool equals_ignoring_case(std::string_view a, std::string_view b);

/// Returns true if a field applies to a single connection and is not
/// forwarded.
bool is_hop_by_hop(std::string_view name);

/// Appends the end-to-end fields of `from` to `to`: all except hop-by-hop
/// fields and the fields that "Connection" names.
void copy_end_to_end(const header_list& from, header_list& to);

} // namespace tanagertrack::http

#endif
