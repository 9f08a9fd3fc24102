#include "common/result_code.hpp"

#include <algorithm>
#include <array>
#include <string>

namespace tanagertrack::common
{

namespace
{

constexpr auto table = std::to_array<result_info>({
#define TANAGERTRACK_ROW(name, number, http, exec, text)                       \
    {result_code::name, #name, http, execution::exec, text},
    TANAGERTRACK_RESULT_CODES(TANAGERTRACK_ROW)
#undef TANAGERTRACK_ROW
});

class result_category_impl final : public std::error_category
{
public:
    const char* name() const noexcept override
    {
        return "tanagertrack";
    }

    std::string message(int value) const override
    {
        return std::string(info(static_cast<result_code>(value)).text);
    }
};

} // namespace

std::string_view to_string(execution value)
{
    switch (value)
    {
    case execution::not_run:
        return "not_run";
    case execution::ran:
        return "ran";
    case execution::may_have_run:
        break;
    }
    return "may_have_run";
}

std::span<const result_info> result_table()
{
    return table;
}

const result_info& info(result_code code)
{
    const auto it = std::ranges::find(table, code, &result_info::code);
    return it != table.end() ? *it : table.back();
}

const std::error_category& result_category()
{
    static const result_category_impl category;
    return category;
}

std::error_code make_error_code(result_code code)
{
    return {static_cast<int>(code), result_category()};
}

result_code to_result_code(const std::error_code& ec)
{
    if (!ec)
        return result_code::ok;
    if (ec.category() != result_category())
        return result_code::internal_error;
    return info(static_cast<result_code>(ec.value())).code;
}

} // namespace tanagertrack::common
