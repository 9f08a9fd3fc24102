#ifndef TANAGERTRACK_CONFIG_SETTING_TABLE_HPP
#define TANAGERTRACK_CONFIG_SETTING_TABLE_HPP

#include "common/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace YAML
{
class Node;
} // namespace YAML

namespace tanagertrack::config
{

/// An error in a settings file or ticket document.
struct setting_error
{
    std::string file;

    /// Line in the file, from 1; 0 if the error has no line, as for a missing
    /// key.
    int line = 0;

    /// Path of the key, for example "batch.max_attempts"; may be empty.
    std::string key;

    /// Description of the error, with the accepted type or range.
    std::string message;
};

/// Formats an error as "FILE:LINE: KEY: MESSAGE", without an absent line or
/// key.
std::string to_string(const setting_error& error);

/// Declares the keys of a YAML settings file: destination of the value, type,
/// range, default and meaning. Parses and checks files, and renders the
/// reference page. The variables passed to the add functions must outlive the
/// table; their values at that time are the defaults. Not thread-safe.
class setting_table
{
public:
    /// Adds a string of 1 to `max_bytes` bytes.
    void add(std::string key, std::string& value, std::string help,
             std::size_t max_bytes = 256);

    /// Adds a string with a fixed set of values.
    void add_choice(std::string key, std::string& value,
                    std::vector<std::string> choices, std::string help);

    /// Adds a mapping of names to strings of at most `max_bytes` bytes each.
    void add_texts(std::string key, std::map<std::string, std::string>& value,
                   std::size_t max_bytes, std::string help);

    /// Adds an IPv4 or IPv6 address.
    void add_ip(std::string key, std::string& value, std::string help);

    /// Adds an integer in [min, max].
    template<typename Integer>
    void add_integer(std::string key, Integer& value, std::int64_t min,
                     std::int64_t max, std::string help)
    {
        add_integer_row(
            std::move(key), static_cast<std::int64_t>(value), min, max,
            [&value](std::int64_t n) { value = static_cast<Integer>(n); },
            std::move(help));
    }

    /// Adds a floating-point number in [min, max].
    void add_real(std::string key, double& value, double min, double max,
                  std::string help);

    /// Adds a Boolean.
    void add_flag(std::string key, bool& value, std::string help);

    /// Adds a duration of `min` to `max` milliseconds. The key must end in
    /// "_ms".
    void add_ms(std::string key, std::chrono::milliseconds& value,
                std::int64_t min, std::int64_t max, std::string help);

    /// Adds a duration of `min` to `max` seconds, which may have a fraction.
    /// The key ends in "_s".
    void add_seconds(std::string key, std::chrono::milliseconds& value,
                     double min, double max, std::string help);

    /// Adds an "IP:PORT".
    void add_endpoint(std::string key, common::endpoint& value,
                      std::string help);

    /// Adds a list of at most `max_count` "IP:PORT".
    void add_endpoints(std::string key, std::vector<common::endpoint>& value,
                       std::size_t max_count, std::string help);

    /// Makes the last added key mandatory.
    void require();

    /// Parses `text`, the content of `file`, and sets the values. Returns all
    /// errors; the values must only be used if there are none.
    std::vector<setting_error> read(std::string_view file,
                                    std::string_view text);

    /// Returns the table of settings in Markdown.
    std::string reference() const;

private:
    /// Sets the value from a node. Returns an error message, empty on success.
    using parser = std::function<std::string(const YAML::Node&)>;

    struct row
    {
        std::string key;
        std::string type;
        std::string default_text;
        std::string help;
        parser parse;
        bool required = false;

        /// True once a file has contained the key.
        bool seen = false;
    };

    void add_row(row new_row);
    void add_integer_row(std::string key, std::int64_t value, std::int64_t min,
                         std::int64_t max,
                         std::function<void(std::int64_t)> set,
                         std::string help);
    void read_map(const YAML::Node& node, const std::string& prefix,
                  std::string_view file, std::vector<setting_error>& errors);
    bool is_key_prefix(const std::string& key) const;

    std::vector<row> rows_;
};

} // namespace tanagertrack::config

#endif
