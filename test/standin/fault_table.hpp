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

/// Fields that POST /control/fault accepts, and the variables that they set.
/// Not thread-safe: all calls are made on the thread of the io_context.
class fault_table
{
public:
    /// Sets a variable to the value of a field; returns false and leaves it as
    /// it is if the value is invalid.
    using setter = std::function<bool(const boost::json::value&)>;

    /// Adds a field that is set by `set`.
    void add(std::string name, setter set);

    /// Adds an integer field of at least 0. The variables of this and the
    /// following functions have to outlive the table.
    void add(std::string name, std::int64_t& value);

    /// Adds a field that is a number of at least 0.
    void add(std::string name, double& value);

    /// Adds a boolean field.
    void add(std::string name, bool& value);

    /// Adds a string field.
    void add(std::string name, std::string& value);

    /// Sets the hook that is called after each successful apply().
    void on_change(std::function<void()> hook);

    /// Returns an empty string if `text` is a JSON object that has known fields
    /// only, otherwise an error message. Values are not checked.
    std::string check(std::string_view text) const;

    /// Sets the variables of the fields of a JSON object. Returns an empty
    /// string, or an error message. An object with an unknown field changes
    /// nothing; with an invalid value, the fields in front of it stay set.
    std::string apply(std::string_view text);

private:
    std::map<std::string, setter, std::less<>> fields_;
    std::function<void()> on_change_;
};

/// Decrements a counter of injected faults. Returns false if it is 0 already.
inline bool consume_one(std::int64_t& remaining)
{
    if (remaining <= 0)
        return false;
    --remaining;
    return true;
}

} // namespace tanagertrack::standin

#endif
