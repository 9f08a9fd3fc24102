#include "http/syntax.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace tanagertrack::http;

BOOST_AUTO_TEST_SUITE(http_syntax)

// Guards against data of a caller that ends the head of a request.
BOOST_AUTO_TEST_CASE(line_ends_stand_nowhere)
{
    using namespace std::string_literals;
    for (const auto& it : {"a\rb"s, "a\nb"s, "a\0b"s, "a\x7f"s})
    {
        BOOST_TEST(!is_field_name(it));
        BOOST_TEST(!is_field_value(it));
        BOOST_TEST(!is_request_target("/" + it));
    }
}

BOOST_AUTO_TEST_CASE(usual_texts_are_accepted)
{
    BOOST_TEST(is_field_name("X-Tag_1"));
    BOOST_TEST(!is_field_name(""));
    BOOST_TEST(!is_field_name("a b"));
    BOOST_TEST(!is_field_name("a:"));
    BOOST_TEST(is_field_value(""));
    BOOST_TEST(is_field_value("a b\t\xc3\xa9"));
    BOOST_TEST(is_request_target("/a/b?c=d%20"));
    BOOST_TEST(!is_request_target("a"));
    BOOST_TEST(!is_request_target("/a b"));
}

BOOST_AUTO_TEST_SUITE_END()
