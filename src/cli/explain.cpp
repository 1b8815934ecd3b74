#include "cli/explain.hpp"

#include "model/codec.hpp"

#include <istream>
#include <map>
#include <ostream>

namespace poplarramp
{

namespace
{

std::string text_of(const Json::Value& value)
{
    return value.isString() ? value.asString() : json_text(value);
}

// Members that every line has are printed first, the others as key=value.
std::string format_event(const Json::Value& line)
{
    std::string text = text_of(line["time"]) + " " + text_of(line["vm"]) + " " +
                       text_of(line["part"]) + ": " + text_of(line["event"]);
    for (const auto& key : line.getMemberNames())
    {
        if (key != "time" && key != "vm" && key != "part" && key != "event" &&
            key != "level" && key != "job")
        {
            text += " " + key + "=" + text_of(line[key]);
        }
    }
    return text;
}

} // namespace

bool explain_job(const std::string& id, std::istream& lines, std::ostream& out)
{
    std::multimap<std::string, std::string> events;
    for (std::string text; std::getline(lines, text);)
    {
        failure why;
        const auto start = text.find('{');
        const auto line = start == std::string::npos
                              ? std::nullopt
                              : parse_json(text.substr(start), why);
        if (line && line->isObject() && text_of((*line)["job"]) == id)
        {
            events.emplace(text_of((*line)["time"]), format_event(*line));
        }
    }
    for (const auto& [time, text] : events)
    {
        out << text << '\n';
    }
    return !events.empty();
}

} // namespace poplarramp
