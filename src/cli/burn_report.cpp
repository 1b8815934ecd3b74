#include "cli/burn_report.hpp"

#include "cli/cli.hpp"
#include "model/codec.hpp"
#include "report/burn.hpp"

#include <fstream>
#include <ostream>
#include <utility>
#include <vector>

namespace poplarramp
{

namespace
{

struct query_result
{
    std::vector<std::vector<burn_row>> parts;
    bool complete = true;
};

query_result query_all(api_client& client, output out)
{
    http_request request;
    request.method = "GET";
    request.target = "/v1/burn";
    request.idempotent = true;
    query_result result;
    for (const auto& [server, reply] : client.call_each(request))
    {
        failure why = reply.result;
        auto rows = reply.has_reply && !why
                        ? burn_rows_from_json(reply.body, why)
                        : std::nullopt;
        if (!rows)
        {
            out.errors << "cli: no burn rows from " << server << ": "
                       << why.reason << '\n';
            result.complete = false;
            continue;
        }
        result.parts.push_back(std::move(*rows));
    }
    return result;
}

} // namespace

int run_burn_report(const command_line& line, api_client& client, output out)
{
    const auto found = query_all(client, out);
    if (found.parts.empty())
    {
        return exit_unreachable;
    }
    const auto rows = merge_rows(found.parts);
    if (!line.html_file.empty())
    {
        std::ofstream file(line.html_file);
        file << burn_html(rows);
        if (!file.flush())
        {
            out.errors << "cli: cannot write " << line.html_file << '\n';
            return exit_failed;
        }
    }
    if (line.json)
    {
        Json::Value body;
        body["rows"] = to_json(std::span<const burn_row>(rows));
        out.text << json_text(body) << '\n';
    }
    else
    {
        out.text << burn_table(rows);
    }
    return found.complete ? exit_ok : exit_pending;
}

} // namespace poplarramp
