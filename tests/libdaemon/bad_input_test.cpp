#include "standalone_fixture.hpp"

using namespace medlarstall;
using namespace medlarstall::tests;

namespace {

struct bad_input_fixture : standalone_fixture
{
    /// Posts a body to the chat completions route and checks that it is refused
    /// with this status and error code.
    void check_refused(std::string body, int status, std::string const& code,
                       std::string const& key = "key")
    {
        backend::outgoing_request request;
        request.method = "POST";
        request.url = url("/v1/chat/completions");
        request.fields = {{"Authorization", "Bearer " + key}};
        request.body = std::move(body);
        check_refused(std::move(request), status, code);
    }

    /// Sends a request and checks that it is refused with this status and error
    /// code, that the error has a message and that nothing runs at the engine.
    void check_refused(backend::outgoing_request request, int status,
                       std::string const& code)
    {
        auto const response = test_caller.send(std::move(request));
        run_until([&] { return response->ended(); });
        BOOST_TEST(response->status == status);
        BOOST_TEST(response->field("Medlarstall-Run") == "not-run");
        BOOST_TEST(response->json()["error"]["code"] == code);
        BOOST_TEST(!response->json()["error"]["message"].empty());
        BOOST_TEST(engine.runs().empty());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(bad_input_suite, bad_input_fixture)

BOOST_AUTO_TEST_CASE(refuses_invalid_chat_requests)
{
    check_refused("", 400, "invalid_request");
    check_refused("{", 400, "invalid_request");
    check_refused("[]", 400, "invalid_request");
    check_refused(R"({"model":"drafts"})", 400, "invalid_request");
    check_refused(R"({"model":7,"messages":[{"role":"user"}]})", 400,
                  "invalid_request");
    check_refused(R"({"model":"drafts","messages":[7]})", 400,
                  "invalid_request");
    check_refused(
        R"({"model":"drafts","messages":[{"role":"user","content":7}]})", 400,
        "invalid_request");
    check_refused(R"({"model":"drafts","max_tokens":-1,
                "messages":[{"role":"user","content":"x"}]})",
                  400, "invalid_request");
    check_refused(std::string(5'000, '['), 400, "invalid_request");
}

BOOST_AUTO_TEST_CASE(refuses_unknown_models_keys_services_classes_and_paths)
{
    check_refused(
        R"({"model":"none","messages":[{"role":"user","content":"x"}]})", 404,
        "model_unknown");
    check_refused("{}", 401, "key_unknown", "other");
    backend::outgoing_request request;
    request.url = url("/services/none/x");
    request.fields = {{"Authorization", "Bearer key"}};
    check_refused(request, 404, "service_unknown");
    request.fields = {};
    check_refused(request, 401, "key_missing");
    request.fields = {{"Authorization", "Bearer key"},
                      {"Medlarstall-Class", "none"}};
    check_refused(request, 400, "class_unknown");
    request.url = url("/none");
    check_refused(request, 404, "path_unknown");
    request.url = url("/v1/chat/completions");
    check_refused(request, 405, "method_not_allowed");
}

BOOST_AUTO_TEST_CASE(refuses_a_body_over_the_size_limit)
{
    check_refused(std::string(std::size_t{70} * 1024, 'x'), 413,
                  "body_too_large");
}

BOOST_AUTO_TEST_SUITE_END()
