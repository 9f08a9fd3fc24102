#include "standin/fault_table.hpp"

#include <boost/json/parse.hpp>

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
        [&value](const json::value& it)
        {
            if (!it.is_int64() || it.get_int64() < 0)
                return false;
            value = it.get_int64();
            return true;
        });
}

void fault_table::add(std::string name, double& value)
{
    add(std::move(name),
        [&value](const json::value& it)
        {
            if (!it.is_number() || it.to_number<double>() < 0)
                return false;
            value = it.to_number<double>();
            return true;
        });
}

void fault_table::add(std::string name, bool& value)
{
    add(std::move(name),
        [&value](const json::value& it)
        {
            if (!it.is_bool())
                return false;
            value = it.get_bool();
            return true;
        });
}

void fault_table::add(std::string name, std::string& value)
{
    add(std::move(name),
        [&value](const json::value& it)
        {
            if (!it.is_string())
                return false;
            value.assign(it.get_string());
            return true;
        });
}

void fault_table::on_change(std::function<void()> hook)
{
    changed_ = std::move(hook);
}

std::string fault_table::check(std::string_view text) const
{
    json::error_code ec;
    const auto document = json::parse(text, ec);
    if (ec || !document.is_object())
        return "the body is not a JSON object";
    for (const auto& it : document.get_object())
        if (!fields_.contains(std::string_view(it.key())))
            return "unknown field " + std::string(it.key());
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
            return "invalid value of " + std::string(it.key());
    if (changed_)
        changed_();
    return {};
}

} // namespace tanagertrack::standin
