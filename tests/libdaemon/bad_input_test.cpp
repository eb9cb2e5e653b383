#include "standalone_fixture.hpp"

using namespace medlarstall;
using namespace medlarstall::tests;

namespace {

struct fixture : standalone_fixture
{
    /// Sends a body to the chat path and checks the refusal.
    void refused(std::string body, int status, std::string const& code,
                 std::string const& key = "key")
    {
        backend::outgoing_request request;
        request.method = "POST";
        request.url = url("/v1/chat/completions");
        request.fields = {{"Authorization", "Bearer " + key}};
        request.body = std::move(body);
        refused(std::move(request), status, code);
    }

    void refused(backend::outgoing_request request, int status,
                 std::string const& code)
    {
        auto const got = from.send(std::move(request));
        run_until([&] { return got->ended(); });
        BOOST_TEST(got->status == status);
        BOOST_TEST(got->field("Medlarstall-Run") == "not-run");
        BOOST_TEST(got->json()["error"]["code"] == code);
        BOOST_TEST(!got->json()["error"]["message"].empty());
        BOOST_TEST(engine.runs().empty());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(bad_input_suite, fixture)

BOOST_AUTO_TEST_CASE(refuses_what_is_not_a_chat_request)
{
    refused("", 400, "invalid_request");
    refused("{", 400, "invalid_request");
    refused("[]", 400, "invalid_request");
    refused(R"({"model":"drafts"})", 400, "invalid_request");
    refused(R"({"model":7,"messages":[{"role":"user"}]})", 400,
            "invalid_request");
    refused(R"({"model":"drafts","messages":[7]})", 400, "invalid_request");
    refused(R"({"model":"drafts","messages":[{"role":"user","content":7}]})",
            400, "invalid_request");
    refused(R"({"model":"drafts","max_tokens":-1,
                "messages":[{"role":"user","content":"x"}]})",
            400, "invalid_request");
    refused(std::string(5'000, '['), 400, "invalid_request");
}

BOOST_AUTO_TEST_CASE(refuses_unknown_names)
{
    refused(R"({"model":"none","messages":[{"role":"user","content":"x"}]})",
            404, "model_unknown");
    refused("{}", 401, "key_unknown", "other");
    backend::outgoing_request request;
    request.url = url("/services/none/x");
    request.fields = {{"Authorization", "Bearer key"}};
    refused(request, 404, "service_unknown");
    request.fields = {};
    refused(request, 401, "key_missing");
    request.fields = {{"Authorization", "Bearer key"},
                      {"Medlarstall-Class", "none"}};
    refused(request, 400, "class_unknown");
    request.url = url("/none");
    refused(request, 404, "path_unknown");
    request.url = url("/v1/chat/completions");
    refused(request, 405, "method_not_allowed");
}

BOOST_AUTO_TEST_CASE(refuses_a_body_that_is_too_large)
{
    refused(std::string(std::size_t{70} * 1024, 'x'), 413, "body_too_large");
}

BOOST_AUTO_TEST_SUITE_END()
