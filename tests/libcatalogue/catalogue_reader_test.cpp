#include <medlarstall/catalogue/catalogue_reader.hpp>
#include <medlarstall/catalogue/catalogue_writer.hpp>
#include <medlarstall/catalogue/key_index.hpp>
#include <medlarstall/support/digest.hpp>
#include <medlarstall/support/json_text.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

#include <fstream>
#include <sstream>

using namespace medlarstall;
using nlohmann::json;

namespace {

json const& catalogue_without_keys()
{
    static auto const document = json::parse(R"({
        "classes": {"urgent": {"owner": "all", "tier": 0, "floor": 0.5},
                    "batch": {"owner": "all", "tier": 7, "floor": 0.25}},
        "organisations": {"coteau": {"owner": "coteau", "share": 2.5,
            "classes": ["urgent"], "limits": {"concurrency": 9},
            "key_digests": []}},
        "groups": {"runners": {"owner": "all", "slots": 4,
            "backend_servers": [{"id": "r1", "address": "10.0.0.1",
                                 "port": 80, "data_centre": "penal"}],
            "roles": [{"role": "prefill", "backend_servers": 2}]},
                   "desks": {"owner": "all", "kind": "service"}},
        "models": {"loom/model:3": {"owner": "all", "group": "runners",
            "default_class": "batch", "adapters": ["inlay"]}},
        "services": {"shop": {"owner": "all", "group": "desks",
            "operations": [{"method": "GET", "path_prefix": "/stock"}]}},
        "operator_keys": {"root": {"owner": "all", "consortium": true}}})");
    return document;
}

json catalogue_with_keys()
{
    auto document = catalogue_without_keys();
    document["organisations"]["coteau"]["key_digests"] = {sha256_hex("secret")};
    document["operator_keys"]["root"]["key_digest"] = sha256_hex("root");
    return document;
}

result<catalogue::catalogue> read(json const& document)
{
    return catalogue::catalogue_reader{}.read(document.dump());
}

} // namespace

BOOST_AUTO_TEST_SUITE(catalogue_reader_suite)

BOOST_AUTO_TEST_CASE(finds_the_holder_of_a_key)
{
    auto const entries = read(catalogue_with_keys());
    BOOST_REQUIRE(!failed(entries));
    catalogue::key_index const index{value_of(entries)};
    BOOST_REQUIRE(index.find_organisation("secret") != nullptr);
    BOOST_TEST(index.find_organisation("secret")->name == "coteau");
    BOOST_TEST(
        catalogue::find_organisation_by_key(value_of(entries), "secret") ==
        index.find_organisation("secret"));
    BOOST_TEST(index.find_organisation("root") == nullptr);
    BOOST_REQUIRE(index.find_operator_key("root") != nullptr);
    BOOST_TEST(index.find_operator_key("secret") == nullptr);
}

BOOST_AUTO_TEST_CASE(written_catalogue_reads_back_equal)
{
    auto const entries = read(catalogue_with_keys());
    BOOST_REQUIRE(!failed(entries));
    catalogue::catalogue_writer const writer;
    auto const text = writer.write(value_of(entries));
    auto const again = catalogue::catalogue_reader{}.read(text);
    BOOST_REQUIRE(!failed(again));
    BOOST_TEST((value_of(again) == value_of(entries)));
    BOOST_TEST(writer.write(value_of(again)) == text);
}

BOOST_AUTO_TEST_CASE(reports_path_value_and_range_of_each_error)
{
    struct invalid_case
    {
        char const* pointer; ///< JSON pointer to the value to replace.
        json value;
        char const* path;         ///< Expected in the path of the error.
        char const* message_part; ///< Expected in the error message.
    };
    std::vector<invalid_case> const cases{
        {"/classes/batch/tier", 8, "$.classes.batch.tier", "0 to 7"},
        {"/classes/batch/tier", -1, "$.classes.batch.tier", "-1"},
        {"/classes/batch/tier", "1", "$.classes.batch.tier", "\"1\""},
        {"/classes/batch/tier", 1.5, "$.classes.batch.tier", "whole"},
        {"/classes/batch/floor", 0.5, "$.classes.urgent.floor", "less than 1"},
        {"/classes/batch/colour", 1, "$.classes.batch.colour", "known"},
        {"/classes/batch/deadline_ms", 1, "deadline_ms", "10 to 86400000"},
        {"/colour", 1, "$.colour", "known"},
        {"/classes", 1, "$.classes", "object"},
        {"/classes/a b", json::object(), "$.classes.a b", "letters"},
        {"/organisations/coteau/share", 0, "coteau.share", "0.001 to"},
        {"/organisations/coteau/owner", "", "coteau.owner", "1 to 64"},
        {"/organisations/coteau/classes", {"slow"}, "classes", "'slow'"},
        {"/organisations/coteau/classes", {"batch", "batch"}, "[1]", "twice"},
        {"/organisations/coteau/key_digests", {"ab"}, "[0]", "64 lower"},
        {"/organisations/coteau/limits/concurrency", 0, "limits.concurrency",
         "1 to"},
        {"/organisations/coteau/limits/colour", 0, "limits.colour", "known"},
        {"/groups/runners/kind", "disk", "groups.runners.kind", "'disk'"},
        {"/groups/runners/backend_servers/0/port", 65536, "[0].port", "65535"},
        {"/groups/desks/backend_servers",
         {{{"id", "r1"}, {"address", "10.0.0.2"}, {"port", 1}}},
         "backend_servers",
         "twice"},
        {"/groups/runners/roles/0/role", json(), "roles[0].role", "string"},
        {"/models/loom~1model:3/group", "none", "group", "'none'"},
        {"/models/loom~1model:3/group", "desks", "group", "engines"},
        {"/models/loom~1model:3/default_class", "x", "default_class", "'x'"},
        {"/services/shop/group", "runners", "services.shop.group", "services"},
        {"/services/shop/operations/0/method", "get", "operations", "'get'"},
        {"/services/shop/operations/0/path_prefix", "x", "operations", "/"},
        {"/operator_keys/root/consortium", false, "operator_keys", "keep one"},
        {"/operator_keys/root/key_digest", sha256_hex("secret"), "key_digest",
         "twice"}};
    for (auto const& sample : cases) {
        auto document = catalogue_with_keys();
        document[json::json_pointer{sample.pointer}] = sample.value;
        auto const outcome = read(document);
        BOOST_TEST_CONTEXT(sample.pointer << " = " << sample.value.dump())
        {
            BOOST_REQUIRE(failed(outcome));
            auto const& problem = error_of(outcome);
            auto const text = problem.field + ": " + problem.message;
            BOOST_TEST(text.find(sample.path) != std::string::npos, text);
            BOOST_TEST(text.find(sample.message_part) != std::string::npos,
                       text);
        }
    }
}

// Every JSON example of docs/CATALOGUE.md, except those of changes, must be a
// valid catalogue.
BOOST_AUTO_TEST_CASE(reads_the_documented_examples)
{
    std::ifstream file{MEDLARSTALL_SOURCE_DIR "/docs/CATALOGUE.md"};
    std::stringstream stream;
    stream << file.rdbuf();
    auto const text = stream.str();
    std::size_t examples = 0;
    std::string const code_block_start = "```json\n";
    for (auto at = text.find(code_block_start); at != std::string::npos;
         at = text.find(code_block_start, at + 1)) {
        auto const start = at + code_block_start.size();
        auto const example =
            text.substr(start, text.find("```", start) - start);
        if (example.find("\"edits\"") == std::string::npos) {
            auto const read = catalogue::catalogue_reader{}.read(example);
            BOOST_TEST(!failed(read));
            ++examples;
        }
    }
    BOOST_TEST(examples == 3U);
}

BOOST_AUTO_TEST_CASE(refuses_missing_fields)
{
    for (auto const* pointer :
         {"/classes/batch/owner", "/groups/runners/backend_servers/0/id",
          "/services/shop/group", "/operator_keys/root/key_digest"}) {
        auto document = catalogue_with_keys();
        json::json_pointer const position{pointer};
        document[position.parent_pointer()].erase(position.back());
        auto const outcome = read(document);
        BOOST_REQUIRE(failed(outcome));
        BOOST_TEST(error_of(outcome).message == "is missing");
    }
}

BOOST_AUTO_TEST_CASE(refuses_malformed_text)
{
    catalogue::catalogue_reader const reader;
    BOOST_TEST(failed(reader.read("{")));
    BOOST_TEST(failed(reader.read("[]")));
    BOOST_TEST(failed(reader.read("{\"classes\":{\"\xff\":1}}")));
    auto const duplicate = reader.read(R"({"classes": {}, "classes": {}})");
    BOOST_REQUIRE(failed(duplicate));
    BOOST_TEST(error_of(duplicate).message ==
               "key 'classes' stands twice in one "
               "object");
    auto const too_deep = reader.read(std::string(100'000, '['));
    BOOST_REQUIRE(failed(too_deep));
    BOOST_TEST(error_of(too_deep).message == "is nested deeper than 12 levels");
    auto const too_long = parse_json("[1, 2]", {.max_bytes = 5});
    BOOST_REQUIRE(failed(too_long));
}

// Replaces one byte of a valid text. What the reader still accepts must be
// written and read back unchanged.
RC_BOOST_PROP(accepts_corrupted_text_only_if_it_is_valid,
              (std::size_t position, char value))
{
    auto text = catalogue_with_keys().dump();
    text[position % text.size()] = value;
    auto const outcome = catalogue::catalogue_reader{}.read(text);
    if (!failed(outcome)) {
        catalogue::catalogue_writer const writer;
        auto const written = writer.write(value_of(outcome));
        auto const again = catalogue::catalogue_reader{}.read(written);
        RC_ASSERT(!failed(again));
        RC_ASSERT(value_of(again) == value_of(outcome));
    }
}

BOOST_AUTO_TEST_SUITE_END()
