// `medlarstall explain`: only the lines of the wanted attempt are printed, also
// when the id of another attempt begins with the same text.

#include <medlarstall/cli/command_line.hpp>

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>

using namespace medlarstall::cli;

BOOST_AUTO_TEST_SUITE(explain_suite)

BOOST_AUTO_TEST_CASE(merges_lines_of_two_daemons_by_time)
{
    std::string const first = "explain_test_a.log";
    std::string const second = "explain_test_b.log";
    std::ofstream{first} << "t=1003 event=answer id=aa status=502\n"
                         << "t=1001 event=send id=aa server=i-1\n"
                         << "t=1002 event=send id=aab server=i-1\n";
    std::ofstream{second} << "t=1002 event=send_failed id=aa step=give_up\n";
    std::ostringstream out;
    std::ostringstream log;
    auto const run = [&](std::string const& id) {
        return run_command_line(
            {"medlarstall", "explain", "--logs", first, "--logs", second, id},
            [](char const*) -> char const* { return nullptr; }, out, log);
    };
    BOOST_TEST(bool(run("aa") == exit_code::success));
    BOOST_TEST(out.str() == "t=1001 event=send id=aa server=i-1\n"
                            "t=1002 event=send_failed id=aa step=give_up\n"
                            "t=1003 event=answer id=aa status=502\n");
    BOOST_TEST(bool(run("zz") == exit_code::negative));
    std::remove(first.c_str());
    std::remove(second.c_str());
}

BOOST_AUTO_TEST_SUITE_END()
