#include "config/setting_table.hpp"

#include <boost/assert.hpp>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <set>
#include <sstream>

namespace tanagertrack::config
{

namespace
{

std::string describe_range(std::string_view type, double min, double max)
{
    std::ostringstream out;
    out.precision(15);
    out << type << " from " << min << " to " << max;
    return out.str();
}

/// Error message for a node that is not of the expected type or range.
std::string mismatch_message(std::string_view type, const YAML::Node& node)
{
    std::string message = "expected ";
    message += type;
    if (node.IsScalar())
        message += ", found '" + node.Scalar().substr(0, 64) + "'";
    else if (node.IsMap())
        message += ", found a mapping";
    else if (node.IsSequence())
        message += ", found a list";
    else
        message += ", found nothing";
    return message;
}

/// Parses a scalar node as `Value`. Returns false if it is not valid.
template<typename Value>
bool decode(const YAML::Node& node, Value& out)
{
    return node.IsScalar() && YAML::convert<Value>::decode(node, out);
}

/// Line from 1; yaml-cpp counts from 0.
int line_of(const YAML::Mark& mark)
{
    return mark.line + 1;
}

} // namespace

std::string to_string(const setting_error& error)
{
    std::string text = error.file;
    if (error.line > 0)
        text += ":" + std::to_string(error.line);
    if (!error.key.empty())
        text += ": " + error.key;
    return text + ": " + error.message;
}

void setting_table::add(std::string key, std::string& value, std::string help,
                        std::size_t max_bytes)
{
    const auto type = "text of 1 to " + std::to_string(max_bytes) + " bytes";
    add_row({std::move(key), type, value, std::move(help),
             [&value, type, max_bytes](const YAML::Node& node) -> std::string
             {
                 std::string text;
                 if (!decode(node, text) || text.empty() ||
                     text.size() > max_bytes)
                     return mismatch_message(type, node);
                 value = text;
                 return {};
             }});
}

void setting_table::add_choice(std::string key, std::string& value,
                               std::vector<std::string> choices,
                               std::string help)
{
    std::string type = "one of";
    for (const auto& choice : choices)
        type += " " + choice;
    add_row({std::move(key), type, value, std::move(help),
             [&value, type, choices = std::move(choices)](
                 const YAML::Node& node) -> std::string
             {
                 std::string text;
                 if (!decode(node, text) ||
                     std::ranges::find(choices, text) == choices.end())
                     return mismatch_message(type, node);
                 value = text;
                 return {};
             }});
}

void setting_table::add_texts(std::string key,
                              std::map<std::string, std::string>& value,
                              std::size_t max_bytes, std::string help)
{
    const auto type = "mapping of names to texts of at most " +
                      std::to_string(max_bytes) + " bytes";
    add_row({std::move(key), type, "", std::move(help),
             [&value, type, max_bytes](const YAML::Node& node) -> std::string
             {
                 if (!node.IsMap())
                     return mismatch_message(type, node);
                 for (const auto& it : node)
                 {
                     std::string text;
                     if (!decode(it.second, text) || text.size() > max_bytes)
                         return mismatch_message(type, it.second);
                     value[it.first.as<std::string>()] = text;
                 }
                 return {};
             }});
}

void setting_table::add_ip(std::string key, std::string& value,
                           std::string help)
{
    add_row({std::move(key), "IP number", value, std::move(help),
             [&value](const YAML::Node& node) -> std::string
             {
                 std::string text;
                 if (!decode(node, text) || !common::is_ip_address(text))
                     return mismatch_message("an IPv4 or IPv6 address", node);
                 value = text;
                 return {};
             }});
}

void setting_table::add_integer_row(std::string key, std::int64_t value,
                                    std::int64_t min, std::int64_t max,
                                    std::function<void(std::int64_t)> set,
                                    std::string help)
{
    BOOST_ASSERT(min <= max);
    const auto type = describe_range("integer", static_cast<double>(min),
                                     static_cast<double>(max));
    add_row({std::move(key), type, std::to_string(value), std::move(help),
             [set = std::move(set), min, max,
              type](const YAML::Node& node) -> std::string
             {
                 std::int64_t n = 0;
                 if (!decode(node, n) || n < min || n > max)
                     return mismatch_message(type, node);
                 set(n);
                 return {};
             }});
}

void setting_table::add_real(std::string key, double& value, double min,
                             double max, std::string help)
{
    const auto type = describe_range("number", min, max);
    std::ostringstream default_text;
    default_text << value;
    add_row({std::move(key), type, default_text.str(), std::move(help),
             [&value, min, max, type](const YAML::Node& node) -> std::string
             {
                 double n = 0;
                 // Negated, so that NaN is rejected, too.
                 if (!decode(node, n) || !(n >= min && n <= max))
                     return mismatch_message(type, node);
                 value = n;
                 return {};
             }});
}

void setting_table::add_flag(std::string key, bool& value, std::string help)
{
    add_row({std::move(key), "true or false", value ? "true" : "false",
             std::move(help),
             [&value](const YAML::Node& node) -> std::string
             {
                 bool flag = false;
                 if (!decode(node, flag))
                     return mismatch_message("true or false", node);
                 value = flag;
                 return {};
             }});
}

void setting_table::add_seconds(std::string key,
                                std::chrono::milliseconds& value, double min,
                                double max, std::string help)
{
    constexpr double ms_per_s = 1000;
    const auto type = describe_range("seconds", min, max);
    std::ostringstream default_text;
    default_text << static_cast<double>(value.count()) / ms_per_s;
    add_row({std::move(key), type, default_text.str(), std::move(help),
             [&value, min, max, type](const YAML::Node& node) -> std::string
             {
                 double n = 0;
                 // Negated, so that NaN is rejected, too.
                 if (!decode(node, n) || !(n >= min && n <= max))
                     return mismatch_message(type, node);
                 value = std::chrono::milliseconds(
                     static_cast<std::int64_t>(n * ms_per_s));
                 return {};
             }});
}

void setting_table::add_ms(std::string key, std::chrono::milliseconds& value,
                           std::int64_t min, std::int64_t max, std::string help)
{
    BOOST_ASSERT(key.ends_with("_ms"));
    add_integer_row(
        std::move(key), value.count(), min, max,
        [&value](std::int64_t n) { value = std::chrono::milliseconds(n); },
        std::move(help));
}

void setting_table::add_endpoint(std::string key, common::endpoint& value,
                                 std::string help)
{
    const auto default_text = value.port == 0 ? "" : to_string(value);
    add_row({std::move(key), "IP:PORT", default_text, std::move(help),
             [&value](const YAML::Node& node) -> std::string
             {
                 const auto parsed = node.IsScalar()
                                         ? common::parse_endpoint(node.Scalar())
                                         : std::nullopt;
                 if (!parsed)
                     return mismatch_message("IP:PORT", node);
                 value = *parsed;
                 return {};
             }});
}

void setting_table::add_endpoints(std::string key,
                                  std::vector<common::endpoint>& value,
                                  std::size_t max_count, std::string help)
{
    const auto type =
        "list of at most " + std::to_string(max_count) + " IP:PORT";
    add_row({std::move(key), type, "[]", std::move(help),
             [&value, type, max_count](const YAML::Node& node) -> std::string
             {
                 if (!node.IsSequence() || node.size() > max_count)
                     return mismatch_message(type, node);
                 std::vector<common::endpoint> list;
                 for (const auto& it : node)
                 {
                     const auto parsed =
                         it.IsScalar() ? common::parse_endpoint(it.Scalar())
                                       : std::nullopt;
                     if (!parsed)
                         return mismatch_message("IP:PORT", it);
                     list.push_back(*parsed);
                 }
                 value = std::move(list);
                 return {};
             }});
}

void setting_table::require()
{
    BOOST_ASSERT(!rows_.empty());
    rows_.back().required = true;
}

std::vector<setting_error> setting_table::read(std::string_view file,
                                               std::string_view text)
{
    std::vector<setting_error> errors;
    try
    {
        const auto root = YAML::Load(std::string(text));
        if (!root.IsMap())
            errors.push_back(
                {std::string(file), 1, "", "expected a mapping of settings"});
        else
            read_map(root, "", file, errors);
    }
    catch (const YAML::Exception& e)
    {
        errors.push_back({std::string(file), line_of(e.mark), "",
                          "not valid YAML: " + e.msg});
        return errors;
    }

    for (const auto& it : rows_)
    {
        if (it.required && !it.seen)
            errors.push_back(
                {std::string(file), 0, it.key, "missing; expected " + it.type});
    }
    return errors;
}

std::string setting_table::reference() const
{
    std::string out = "| key | type and range | default | meaning |\n"
                      "| --- | --- | --- | --- |\n";
    for (const auto& it : rows_)
    {
        const auto default_text =
            it.required ? "(required)" : "`" + it.default_text + "`";
        out += "| `" + it.key + "` | " + it.type + " | " + default_text +
               " | " + it.help + " |\n";
    }
    return out;
}

void setting_table::add_row(row new_row)
{
    BOOST_ASSERT(std::ranges::find(rows_, new_row.key, &row::key) ==
                 rows_.end());
    rows_.push_back(std::move(new_row));
}

void setting_table::read_map(const YAML::Node& node, const std::string& prefix,
                             std::string_view file,
                             std::vector<setting_error>& errors)
{
    std::set<std::string> seen;
    for (const auto& it : node)
    {
        const auto name = it.first.Scalar();
        const auto key = prefix + name;
        const auto line = line_of(it.first.Mark());
        if (!seen.insert(name).second)
        {
            errors.push_back({std::string(file), line, key, "duplicate key"});
            continue;
        }

        const auto found = std::ranges::find(rows_, key, &row::key);
        if (found != rows_.end())
        {
            found->seen = true;
            auto message = found->parse(it.second);
            if (!message.empty())
                errors.push_back(
                    {std::string(file), line, key, std::move(message)});
            continue;
        }
        if (!is_key_prefix(key))
            errors.push_back({std::string(file), line, key, "unknown key"});
        else if (!it.second.IsMap())
            errors.push_back(
                {std::string(file), line, key,
                 mismatch_message("a mapping of settings", it.second)});
        else
            read_map(it.second, key + ".", file, errors);
    }
}

bool setting_table::is_key_prefix(const std::string& key) const
{
    return std::ranges::any_of(rows_, [prefix = key + "."](const row& it)
                               { return it.key.starts_with(prefix); });
}

} // namespace tanagertrack::config
