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

// Guards against a batch route that is hidden by a route of another kind with a
// longer prefix, or with the same one.
BOOST_AUTO_TEST_CASE(batch_route_is_found_whatever_other_routes_cover_the_path)
{
    auto batch = make_route("batch", "h", "/x/");
    batch.kind = fleet::route_kind::batch;
    auto nested_batch = make_route("nested", "h", "/x/y/z/");
    nested_batch.kind = fleet::route_kind::batch;
    const fleet::configuration it(1,
                                  {batch, nested_batch,
                                   make_route("same", "h", "/x/"),
                                   make_route("longer", "h", "/x/y/")},
                                  {}, {});
    const auto find_name = [&it](std::string_view host, std::string_view path)
    {
        const auto* route = it.find_batch_route(host, path);
        return route == nullptr ? "" : route->name;
    };
    BOOST_TEST(find_name("h", "/x/1") == "batch");
    BOOST_TEST(find_name("h", "/x/y/1") == "batch");
    BOOST_TEST(find_name("h", "/x/y/z/1") == "nested");
    BOOST_TEST(find_name("h", "/other").empty());
    BOOST_TEST(find_name("g", "/x/1").empty());
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
