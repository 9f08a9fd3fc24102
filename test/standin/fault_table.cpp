#include "standin/fault_table.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace tanagertrack::standin
{

namespace json = boost::json;

void fault_table::add(std::string name, setter set)
{
    fields_.emplace(std::move(name), std::move(set));
}

void fault_table::add(std::string name, std::int64_t& value)
{
    add(std::move(name),
        [&value](const json::value& field)
        {
            if (!field.is_int64() || field.get_int64() < 0)
                return false;
            value = field.get_int64();
            return true;
        });
}

void fault_table::add(std::string name, double& value)
{
    add(std::move(name),
        [&value](const json::value& field)
        {
            if (!field.is_number() || field.to_number<double>() < 0)
                return false;
            value = field.to_number<double>();
            return true;
        });
}

void fault_table::add(std::string name, bool& value)
{
    add(std::move(name),
        [&value](const json::value& field)
        {
            if (!field.is_bool())
                return false;
            value = field.get_bool();
            return true;
        });
}

void fault_table::add(std::string name, std::string& value)
{
    add(std::move(name),
        [&value](const json::value& field)
        {
            if (!field.is_string())
                return false;
            value.assign(field.get_string());
            return true;
        });
}

void fault_table::on_change(std::function<void()> hook)
{
    on_change_ = std::move(hook);
}

std::string fault_table::check(std::string_view text) const
{
    json::error_code ec;
    const auto document = json::parse(text, ec);
    if (ec || !document.is_object())
        return "the body is not a JSON object";
    for (const auto& it : document.get_object())
        if (!fields_.contains(std::string_view(it.key())))
            return "unknown field \"" + std::string(it.key()) + '"';
    return {};
}

std::string fault_table::apply(std::string_view text)
{
    auto error = check(text);
    if (!error.empty())
        return error;
    const auto document = json::parse(text);
    for (const auto& it : document.get_object())
        if (!fields_.find(std::string_view(it.key()))->second(it.value()))
            return "invalid value of field \"" + std::string(it.key()) +
                   "\": " + json::serialize(it.value());
    if (on_change_)
        on_change_();
    return {};
}

} // namespace tanagertrack::standin
