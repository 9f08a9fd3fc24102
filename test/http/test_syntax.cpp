#include "http/syntax.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace tanagertrack::http;

BOOST_AUTO_TEST_SUITE(http_syntax)

// Guards against request smuggling: a line end in caller data would end the
// header of the request that is sent to a target.
BOOST_AUTO_TEST_CASE(control_characters_are_rejected)
{
    using namespace std::string_literals;
    for (const auto& it : {"a\rb"s, "a\nb"s, "a\0b"s, "a\x7f"s})
    {
        BOOST_TEST(!is_field_name(it));
        BOOST_TEST(!is_field_value(it));
        BOOST_TEST(!is_request_target("/" + it));
    }
}

BOOST_AUTO_TEST_CASE(names_values_and_targets_follow_their_syntax)
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

// Guards against a key that one interface accepts and the other refuses.
BOOST_AUTO_TEST_CASE(bearer_credentials_follow_the_scheme)
{
    BOOST_TEST(bearer_credentials("Bearer k1") == "k1");
    BOOST_TEST(bearer_credentials("bEARER  k1") == "k1");
    for (const auto* it :
         {"", "k1", "Bearer", "Bearer ", "Basic k1", "Bearerk1"})
        BOOST_TEST(bearer_credentials(it).empty(), it);
}

BOOST_AUTO_TEST_SUITE_END()
