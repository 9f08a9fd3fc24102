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

/// A setting that is not accepted.
struct setting_error
{
    std::string file;

    /// Line in the file, from 1; 0 for a setting that is missing.
    int line = 0;

    /// Dotted path of the key, as "batch.partitions".
    std::string key;

    /// What is wrong, with the accepted type or range.
    std::string message;
};

/// Formats as "FILE:LINE: KEY: MESSAGE".
std::string to_string(const setting_error& error);

/// Describes each key of a YAML settings file once: where its value goes, its
/// type, range, default and meaning. The table checks files and prints the
/// reference page. One thread.
class setting_table
{
public:
    /// Adds a text. `max_bytes` bounds its length.
    void add(std::string key, std::string& value, std::string help,
             std::size_t max_bytes = 256);

    /// Adds a text that is one of `choices`.
    void add_choice(std::string key, std::string& value,
                    std::vector<std::string> choices, std::string help);

    /// Adds a mapping of names to texts, each of at most `max_bytes`.
    void add_texts(std::string key, std::map<std::string, std::string>& value,
                   std::size_t max_bytes, std::string help);

    /// Adds an IP number.
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

    /// Adds a number in [min, max].
    void add_real(std::string key, double& value, double min, double max,
                  std::string help);

    /// Adds true or false.
    void add_flag(std::string key, bool& value, std::string help);

    /// Adds a duration in milliseconds, in [min, max]; the key ends in "_ms".
    void add_ms(std::string key, std::chrono::milliseconds& value,
                std::int64_t min, std::int64_t max, std::string help);

    /// Adds a duration in seconds, with a fraction, in [min, max]; the key ends
    /// in "_s".
    void add_seconds(std::string key, std::chrono::milliseconds& value,
                     double min, double max, std::string help);

    /// Adds an "IP:PORT".
    void add_endpoint(std::string key, common::endpoint& value,
                      std::string help);

    /// Adds a list of "IP:PORT".
    void add_endpoints(std::string key, std::vector<common::endpoint>& value,
                       std::size_t max_count, std::string help);

    /// Marks the last added key as one that a file must have.
    void require();

    /// Reads the file's text into the values. Returns all errors found; the
    /// values are only to be used when there are none.
    std::vector<setting_error> read(std::string_view file,
                                    std::string_view text);

    /// Values by key, as they were when the rows were added.
    std::map<std::string, std::string> values() const;

    /// The table as a Markdown page.
    std::string reference() const;

private:
    /// Sets the value from a node; returns a message when it can't.
    using parser = std::function<std::string(const YAML::Node&)>;

    struct row
    {
        std::string key;
        std::string type;
        std::string default_text;
        std::string help;
        parser parse;
        bool required = false;
        bool seen = false;
    };

    void add_row(row entry);
    void add_integer_row(std::string key, std::int64_t value, std::int64_t min,
                         std::int64_t max,
                         std::function<void(std::int64_t)> set,
                         std::string help);
    void read_map(const YAML::Node& node, const std::string& prefix,
                  std::string_view file, std::vector<setting_error>& errors);
    bool is_section(const std::string& key) const;

    std::vector<row> rows_;
};

} // namespace tanagertrack::config

#endif
