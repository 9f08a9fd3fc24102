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

std::string found(const fleet::configuration& it, std::string_view host,
                  std::string_view path)
{
    const auto* route = it.find_route(host, path);
    return route == nullptr ? "" : route->name;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration)

BOOST_AUTO_TEST_CASE(longest_prefix_of_the_host_counts)
{
    const fleet::configuration it(
        1,
        {make_route("a", "h", "/x/"), make_route("b", "h", "/x/y/"),
         make_route("c", "g", "/x/"), make_route("root", "g", "/")},
        {}, {});
    BOOST_TEST(found(it, "h", "/x/1") == "a");
    BOOST_TEST(found(it, "h", "/x/") == "a");
    BOOST_TEST(found(it, "h", "/x/y/z/1") == "b");
    BOOST_TEST(found(it, "h", "/x/yz") == "a");
    BOOST_TEST(found(it, "h", "/xy") == "");
    BOOST_TEST(found(it, "h", "/x") == "");
    BOOST_TEST(found(it, "g", "/x/1") == "c");
    BOOST_TEST(found(it, "g", "/other") == "root");
    BOOST_TEST(found(it, "", "/x/1") == "");
    BOOST_TEST(found(it, "h", "") == "");
    BOOST_TEST(found(it, "h", "*") == "");
    BOOST_TEST(it.knows_host("g"));
    BOOST_TEST(!it.knows_host("k"));
}

BOOST_AUTO_TEST_CASE(later_route_of_the_same_prefix_counts)
{
    const fleet::configuration it(
        1, {make_route("a", "h", "/x/"), make_route("b", "h", "/x/")}, {}, {});
    BOOST_TEST(found(it, "h", "/x/1") == "b");
    BOOST_TEST(it.find_route_named("a") != nullptr);
    BOOST_TEST(it.find_service("s") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
