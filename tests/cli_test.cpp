// Tests of the commands against the API of one entry VM whose peers and
// services are fakes.
#include "api_fixture.hpp"
#include "cli/cli.hpp"
#include "cli/command_line.hpp"
#include "cli/remote.hpp"
#include "config/sheet_file.hpp"
#include "model/codec.hpp"

#include <sstream>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::tests;

TEST_GROUP(cli)
{
    api_fixture fixture;
    std::ostringstream text;
    std::ostringstream errors;
    // Servers in the order of the calls.
    std::vector<std::string> called_servers;
    std::vector<std::string> called_methods;
    // Number of next calls that fail with `fault`.
    int failing_calls = 0;
    result_code fault = result_code::unreachable;
    // The fault is a reply of the entry VM, not a failure of the call.
    bool fault_has_reply = false;

    api_reply send(const std::string& server, const http_request& request)
    {
        called_servers.push_back(server);
        called_methods.push_back(request.method);
        if (failing_calls > 0)
        {
            --failing_calls;
            return {fault_has_reply, {fault, "fault"}, {}};
        }
        const auto reply = fixture.call(request);
        return {true,
                {code_of(reply.result()), reply.body["reason"].asString()},
                reply.body};
    }

    int execute(const std::vector<std::string>& arguments)
    {
        early_exit exit;
        const auto line = parse_command_line(arguments, exit);
        CHECK_TEXT(line.has_value(), exit.text.c_str());
        api_client client(
            line->servers,
            line->token,
            line->timeout,
            [this](const std::string& server, const http_request& request, auto)
            { return send(server, request); });
        return run_remote(*line, client, {text, errors});
    }

    int run_submit(const std::string& key)
    {
        return execute({"submit",
                        "--customer=umkhonto",
                        "--kind=check",
                        "--key=" + key,
                        "--server=s1",
                        "--server=s2"});
    }
};

// Guards against a job that runs twice because the command submits it again
// after a lost reply, and against a command that fails because one entry VM is
// down.
TEST(cli, submit_fails_over_to_next_entry_vm)
{
    failing_calls = 1;
    fault = result_code::answer_lost;
    CHECK(run_submit("k1") == exit_ok);
    CHECK(called_servers == (std::vector<std::string>{"s1", "s2"}));
    CHECK(fixture.sim.runs_of("umkhonto/k1") == 1);
    CHECK(text.str().find("done") != std::string::npos);
}

// Guards against polling for a job whose submission has an unknown outcome,
// instead of submitting it again with the same key.
TEST(cli, submit_retries_until_outcome_is_known)
{
    failing_calls = 2;
    fault = result_code::answer_lost;
    fault_has_reply = true;
    CHECK(run_submit("k2") == exit_ok);
    CHECK(called_methods == (std::vector<std::string>{"POST", "POST", "POST"}));
    CHECK(fixture.sim.runs_of("umkhonto/k2") == 1);
}

// Guards against retrying a change that may already have been made.
TEST(cli, does_not_retry_change_with_unknown_outcome)
{
    failing_calls = 1;
    fault = result_code::timeout;
    CHECK(execute({"apply-sheet",
                   "examples/sheet.jsonc",
                   "--server=s1",
                   "--server=s2"}) == exit_unreachable);
    CHECK(called_servers.size() == 1);
}

// Guards against exit code 0 for a rejected change or for one that not all
// entry VMs have confirmed.
TEST(cli, exit_codes_distinguish_rejected_and_pending)
{
    const std::string token = std::string("--token=") + valid_token;
    CHECK(execute({"zone-out", "b", "--token=wrong"}) == exit_failed);
    CHECK(execute({"zone-out", "b", token}) == exit_ok);
    fixture.sim.vm("b1").isolated = true;
    CHECK(execute({"zone-back", "b", token}) == exit_pending);
    CHECK(text.str().find("not confirmed by b1") != std::string::npos);
    CHECK(execute({"wait", "umkhonto", "none"}) == exit_failed);
}

// Guards against changed column names, which break scripts of operators.
TEST(cli, lists_have_stable_columns)
{
    CHECK(execute({"show", "vms"}) == exit_ok);
    STRCMP_CONTAINS("ID  ZONE  ADDRESS", text.str().c_str());
    CHECK(execute({"show", "zones"}) == exit_ok);
    STRCMP_CONTAINS("ZONE  CONFIGURED  STATE  SCHEDULER  BACKEND_SERVERS  "
                    "FREE_ACCELERATORS  LARGEST_SHAPE  JOBS",
                    text.str().c_str());
}

// Guards against printing a configuration that "apply-sheet" does not accept.
TEST(cli, show_config_prints_valid_sheet)
{
    CHECK(execute({"show", "config"}) == exit_ok);
    failure why;
    const auto sheet = parse_sheet(text.str(), "shown", why);
    CHECK_TEXT(sheet.has_value(), why.reason.c_str());
    STRCMP_EQUAL(json_text(to_json(test_sheet())).c_str(),
                 json_text(to_json(*sheet)).c_str());
}

TEST_GROUP(command_line){};

// Guards against a burn report that counts only one entry VM, or that does not
// name an entry VM that is unreachable.
TEST(cli, burn_merges_all_entry_vms)
{
    job item;
    item.request = request_of("check", "k");
    item.zone = "a";
    item.accepted = fixture.sim.now;
    fixture.vm_api.on_job_ended(item);
    CHECK_EQUAL(
        0, execute({"burn", "--output=json", "--server=s1", "--server=s2"}));
    CHECK(called_servers == std::vector<std::string>({"s1", "s2"}));
    failure why;
    const auto rows = parse_json(text.str(), why).value()["rows"];
    CHECK_EQUAL(1U, rows.size());
    CHECK_EQUAL(2, rows[0]["long_good"].asInt());
    failing_calls = 1;
    CHECK_EQUAL(4, execute({"burn", "--server=s1", "--server=s2"}));
    STRCMP_CONTAINS("s1", errors.str().c_str());
}

// Guards against running a command with default values for invalid arguments.
TEST(command_line, rejects_invalid_arguments)
{
    const std::vector<std::vector<std::string>> wrong{
        {},
        {"sbmit"},
        {"submit", "--customer=a"},
        {"show", "racks"},
        {"show"},
        {"zone-out", "a", "b"},
        {"zone-out", "a", "--outpt=json"},
        {"show", "vms", "--output=xml"},
        {"wait", "a", "b", "--wait-ms=-1"},
        {"wait", "a", "b", "--wait-ms=soon"}};
    for (const auto& arguments : wrong)
    {
        early_exit exit;
        CHECK(!parse_command_line(arguments, exit));
        CHECK(exit.code == exit_usage && !exit.text.empty());
    }
}

// Guards against treating a request for help as an error.
TEST(command_line, prints_help_and_version)
{
    for (const auto& arguments : std::vector<std::vector<std::string>>{
             {"--help"}, {"--version"}, {"submit", "--help"}})
    {
        early_exit exit;
        CHECK(!parse_command_line(arguments, exit));
        CHECK(exit.code == exit_ok && !exit.text.empty());
    }
}
