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

/// Header fields of a message in the order in which they came. Names are
/// compared without case.
class header_list
{
public:
    using const_iterator = std::vector<header>::const_iterator;

    header_list() = default;
    header_list(std::initializer_list<header> its);

    /// Appends a field.
    void add(std::string_view name, std::string_view value);

    /// Replaces all fields of the name by one.
    void set(std::string_view name, std::string_view value);

    /// Removes all fields of the name.
    void remove(std::string_view name);

    /// Value of the first field of the name; empty if there is none.
    std::string_view find(std::string_view name) const;

    /// Whether there is a field of the name.
    bool contains(std::string_view name) const;

    /// Whether the comma-separated values of the name hold a token.
    bool has_token(std::string_view name, std::string_view token) const;

    /// Appends "name: value" lines, each with its line end.
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

/// Whether two header names, or two tokens, are equal without case.
bool equals_ignoring_case(std::string_view a, std::string_view b);

/// Whether a field concerns one connection only and is not forwarded.
bool is_hop_by_hop(std::string_view name);

/// Appends the end-to-end fields of `from` to `to`: all but those that
/// concern one connection, by standard or because "Connection" names them.
void copy_end_to_end(const header_list& from, header_list& to);

} // namespace tanagertrack::http

#endif
