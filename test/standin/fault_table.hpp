#ifndef TANAGERTRACK_STANDIN_FAULT_TABLE_HPP
#define TANAGERTRACK_STANDIN_FAULT_TABLE_HPP

#include <boost/json/value.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace tanagertrack::standin
{

/// The fields that POST /control/fault accepts and the variables they set.
class fault_table
{
public:
    /// Takes the value of a field; returns whether it is valid.
    using setter = std::function<bool(const boost::json::value&)>;

    /// Adds a field with its own parser.
    void add(std::string name, setter set);

    /// Adds an integer of at least 0.
    void add(std::string name, std::int64_t& value);

    /// Adds a number of at least 0.
    void add(std::string name, double& value);

    /// Adds true or false.
    void add(std::string name, bool& value);

    /// Adds a text.
    void add(std::string name, std::string& value);

    /// Sets a function that is called after each accepted change.
    void on_change(std::function<void()> hook);

    /// Whether `json` is an object with known fields only; otherwise what is
    /// wrong with it.
    std::string check(std::string_view json) const;

    /// Applies a JSON object. Returns an empty text, or what is wrong with
    /// it; an object with an unknown field changes nothing.
    std::string apply(std::string_view json);

private:
    std::map<std::string, setter, std::less<>> fields_;
    std::function<void()> changed_;
};

/// Uses up one of `remaining`; false when none is left.
inline bool take_one(std::int64_t& remaining)
{
    if (remaining <= 0)
        return false;
    --remaining;
    return true;
}

} // namespace tanagertrack::standin

#endif
