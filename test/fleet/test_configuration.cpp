#include "fleet/configuration.hpp"

#include <boost/test/unit_test.hpp>

using namespace tanagertrack;

namespace
{

fleet::route make_route(const std::string& name, const std::string& host,
                        const std::string& prefix)
{
    fleet::route it;
    it.name = name;
    it.host = host;
    it.path_prefix = prefix;
    return it;
}

/// Returns the name of the route that is found, or an empty string.
std::string find_route_name(const fleet::configuration& configuration,
                            std::string_view host, std::string_view path)
{
    const auto* route = configuration.find_route(host, path);
    return route == nullptr ? "" : route->name;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration)

BOOST_AUTO_TEST_CASE(route_with_the_longest_matching_prefix_is_found)
{
    const fleet::configuration it(
        1,
        {make_route("a", "h", "/x/"), make_route("b", "h", "/x/y/"),
         make_route("c", "g", "/x/"), make_route("root", "g", "/")},
        {}, {});
    BOOST_TEST(find_route_name(it, "h", "/x/1") == "a");
    BOOST_TEST(find_route_name(it, "h", "/x/") == "a");
    BOOST_TEST(find_route_name(it, "h", "/x/y/z/1") == "b");
    BOOST_TEST(find_route_name(it, "h", "/x/yz") == "a");
    BOOST_TEST(find_route_name(it, "h", "/xy") == "");
    BOOST_TEST(find_route_name(it, "h", "/x") == "");
    BOOST_TEST(find_route_name(it, "g", "/x/1") == "c");
    BOOST_TEST(find_route_name(it, "g", "/other") == "root");
    BOOST_TEST(find_route_name(it, "", "/x/1") == "");
    BOOST_TEST(find_route_name(it, "h", "") == "");
    BOOST_TEST(find_route_name(it, "h", "*") == "");
    BOOST_TEST(it.has_host("g"));
    BOOST_TEST(!it.has_host("k"));
}

BOOST_AUTO_TEST_CASE(last_route_of_the_same_host_and_prefix_is_found)
{
    const fleet::configuration it(
        1, {make_route("a", "h", "/x/"), make_route("b", "h", "/x/")}, {}, {});
    BOOST_TEST(find_route_name(it, "h", "/x/1") == "b");
    BOOST_TEST(it.find_route_named("a") != nullptr);
    BOOST_TEST(it.find_service("s") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
