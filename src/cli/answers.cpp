#include "cli/answers.hpp"

#include "cli/exit_status.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <ostream>

namespace tanagertrack::cli
{

namespace json = boost::json;

int report_failure(const api_answer& answer, std::ostream& err)
{
    if (answer.status == 0)
    {
        err << "error: " << answer.error;
        err << (answer.sent ? "; the request may have run\n"
                            : "; the request was not sent\n");
        return answer.sent ? exit_may_have_run : exit_unreachable;
    }

    const auto body = parse_object(answer.body);
    const auto* error = body.if_contains("error");
    if (error == nullptr || !error->is_object())
    {
        err << "error: HTTP status " << answer.status << '\n';
        return exit_failed;
    }
    const auto& fields = error->get_object();
    const auto execution = member_text(fields, "execution");
    err << "error " << member_text(fields, "code") << " "
        << member_text(fields, "name") << ": " << member_text(fields, "message")
        << " (" << execution << ", request "
        << member_text(fields, "request_id") << ")\n";
    if (execution == "not_run")
        return exit_not_run;
    return execution == "may_have_run" ? exit_may_have_run : exit_failed;
}

bool is_refused_as_not_run(const api_answer& answer)
{
    if (answer.status < 400)
        return false;
    const auto body = parse_object(answer.body);
    const auto* error = body.if_contains("error");
    return error != nullptr && error->is_object() &&
           member_text(error->get_object(), "execution") == "not_run";
}

bool succeeded(const api_answer& answer)
{
    return answer.status >= 200 && answer.status < 300;
}

json::object parse_object(std::string_view body)
{
    boost::system::error_code ec;
    auto value = json::parse({body.data(), body.size()}, ec);
    if (ec || !value.is_object())
        return {};
    return std::move(value.get_object());
}

std::string member_text(const json::object& object, std::string_view name)
{
    const auto* value = object.if_contains({name.data(), name.size()});
    if (value == nullptr || value->is_null())
        return "-";
    if (value->is_string())
        return std::string(value->get_string());
    return json::serialize(*value);
}

std::uint64_t count_of(const json::object& object, std::string_view group,
                       std::string_view name)
{
    const auto* value = object.if_contains({group.data(), group.size()});
    if (value == nullptr || !value->is_object())
        return 0;
    const auto* number =
        value->get_object().if_contains({name.data(), name.size()});
    if (number == nullptr || !number->is_number())
        return 0;
    return number->to_number<std::uint64_t>();
}

} // namespace tanagertrack::cli
