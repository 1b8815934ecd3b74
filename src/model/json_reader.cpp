#include "model/json_reader.hpp"

#include <utility>

namespace poplarramp
{

json_reader::json_reader(const Json::Value& json,
                         std::string path,
                         failure& why)
    : json_(json), path_(std::move(path)), why_(why)
{
    if (!json_.isObject() && !why_)
    {
        why_ = {result_code::bad_request,
                (path_.empty() ? "the document" : path_) + " is not an object"};
    }
}

json_reader& json_reader::read(const char* name, std::string& target)
{
    const auto* value = member(name);
    if (value == nullptr)
    {
        return *this;
    }
    if (!value->isString())
    {
        fail(name, "a string");
        return *this;
    }
    target = value->asString();
    return *this;
}

json_reader& json_reader::read(const char* name, bool& target)
{
    const auto* value = member(name);
    if (value == nullptr)
    {
        return *this;
    }
    if (!value->isBool())
    {
        fail(name, "true or false");
        return *this;
    }
    target = value->asBool();
    return *this;
}

json_reader& json_reader::read(const char* name, int& target)
{
    const auto* value = member(name);
    if (value == nullptr)
    {
        return *this;
    }
    if (!value->isInt())
    {
        fail(name, "a whole number");
        return *this;
    }
    target = value->asInt();
    return *this;
}

json_reader& json_reader::read(const char* name, std::int64_t& target)
{
    const auto* value = member(name);
    if (value == nullptr)
    {
        return *this;
    }
    if (!value->isInt64())
    {
        fail(name, "a whole number");
        return *this;
    }
    target = value->asInt64();
    return *this;
}

json_reader& json_reader::read(const char* name, std::vector<int>& target)
{
    const auto* value = member(name);
    if (value == nullptr)
    {
        return *this;
    }
    if (!value->isArray())
    {
        fail(name, "a list of whole numbers");
        return *this;
    }
    for (const auto& item : *value)
    {
        if (!item.isInt())
        {
            fail(name, "a list of whole numbers");
            return *this;
        }
        target.push_back(item.asInt());
    }
    return *this;
}

json_reader& json_reader::read(const char* name, std::uint64_t& target)
{
    const auto* value = member(name);
    if (value == nullptr)
    {
        return *this;
    }
    if (!value->isUInt64())
    {
        fail(name, "a whole number of at least 0");
        return *this;
    }
    target = value->asUInt64();
    return *this;
}

json_reader& json_reader::read(const char* name, double& target)
{
    const auto* value = member(name);
    if (value == nullptr)
    {
        return *this;
    }
    if (!value->isNumeric())
    {
        fail(name, "a number");
        return *this;
    }
    target = value->asDouble();
    return *this;
}

json_reader& json_reader::read(const char* name, milliseconds& target)
{
    std::uint64_t count = static_cast<std::uint64_t>(target.count());
    read(name, count);
    target = milliseconds(static_cast<std::int64_t>(count));
    return *this;
}

json_reader& json_reader::read(const char* name,
                               std::vector<std::string>& target)
{
    const auto* value = member(name);
    if (value == nullptr)
    {
        return *this;
    }
    if (!value->isArray())
    {
        fail(name, "a list of strings");
        return *this;
    }
    target.clear();
    for (const auto& item : *value)
    {
        if (!item.isString())
        {
            fail(name, "a list of strings");
            return *this;
        }
        target.push_back(item.asString());
    }
    return *this;
}

json_reader& json_reader::read(const char* name,
                               time_point& target,
                               const clock_mapping& clock)
{
    // End of the year 9999; later times could overflow in the conversion to the
    // monotonic clock.
    constexpr std::int64_t max_unix_ms = 253'402'300'799'000;
    const auto* value = member(name);
    if (value == nullptr)
    {
        return *this;
    }
    if (!value->isInt64() || value->asInt64() < 0 ||
        value->asInt64() > max_unix_ms)
    {
        fail(name, "Unix milliseconds up to the year 9999");
        return *this;
    }
    target = clock.from_unix(value->asInt64());
    return *this;
}

json_reader&
json_reader::read_name(const char* name,
                       const std::function<bool(std::string_view)>& convert)
{
    const auto* value = member(name);
    if (value == nullptr)
    {
        return *this;
    }
    if (!value->isString() || !convert(value->asString()))
    {
        fail(name, "one of the known names");
    }
    return *this;
}

json_reader&
json_reader::read_each(const char* name,
                       const std::function<void(json_reader& item)>& read_item)
{
    const auto* value = member(name);
    if (value == nullptr)
    {
        return *this;
    }
    if (!value->isArray())
    {
        fail(name, "a list");
        return *this;
    }
    for (Json::ArrayIndex i = 0; i < value->size() && good(); ++i)
    {
        json_reader item(
            (*value)[i], path_ + name + "[" + std::to_string(i) + "].", why_);
        if (item.good())
        {
            read_item(item);
        }
    }
    return *this;
}

json_reader& json_reader::read_object(
    const char* name, const std::function<void(json_reader& item)>& read_item)
{
    if (const auto* value = member(name))
    {
        json_reader item(*value, path_ + name + ".", why_);
        if (item.good())
        {
            read_item(item);
        }
    }
    return *this;
}

bool json_reader::good() const
{
    return !why_;
}

const Json::Value* json_reader::member(const char* name) const
{
    return good() && json_.isMember(name) ? &json_[name] : nullptr;
}

void json_reader::fail(const std::string& name, std::string_view expected)
{
    why_ = {result_code::bad_request,
            path_ + name + " is not " + std::string(expected)};
}

} // namespace poplarramp
