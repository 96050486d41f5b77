#include "adminfront/timelinequery.h"

#include <boost/url/parse.hpp>
#include <boost/url/url.hpp>
#include <charconv>

namespace AdminFront {

namespace {

    constexpr std::int64_t maximumPageSize = 1000;
    constexpr std::int64_t defaultPageSize = 200;

    auto numberFrom(const std::string& text) -> std::optional<std::int64_t>
    {
        std::int64_t number = 0;
        const auto* end = text.data() + text.size();
        const auto [parsed, error] = std::from_chars(text.data(), end, number);
        if (error != std::errc() || parsed != end || number < 0)
            return std::nullopt;
        return number;
    }

    auto wallTimeFrom(std::int64_t microseconds) -> Core::WallTime
    {
        return Core::WallTime(std::chrono::microseconds(microseconds));
    }

    auto invalidParameter(const std::string& name, const std::string& remedy) -> tl::unexpected<Core::Error>
    {
        return Core::fail(
            Core::ErrorKind::InvalidArgument, "the query parameter '" + name + "' is unknown or not valid", remedy);
    }

    auto applyNumericParameter(const std::string& name, const std::string& text, Timeline::PageQuery& query)
        -> Core::Result<void>
    {
        const auto number = numberFrom(text);
        if (!number || (name == "limit" && (*number < 1 || *number > maximumPageSize)))
            return invalidParameter(name, "use a whole number; limit is 1 to " + std::to_string(maximumPageSize));
        if (name == "limit")
            query.limit = static_cast<std::size_t>(*number);
        else
            (name == "sinceUs" ? query.filter.since : query.filter.until) = wallTimeFrom(*number);
        return {};
    }

    auto applyParameter(const std::string& name, const std::string& text, Timeline::PageQuery& query)
        -> Core::Result<void>
    {
        if (name == "request")
            query.filter.request = Core::RequestId(text);
        else if (name == "vm")
            query.filter.vm = Core::EntryVmId(text);
        else if (name == "kind")
            query.filter.kindPrefix = text;
        else if (name == "limit" || name == "sinceUs" || name == "untilUs")
            return applyNumericParameter(name, text, query);
        else if (name == "after")
            return Core::parseHybridTime(text).map([&query](Core::HybridTime time) { query.after = time; });
        else
            return invalidParameter(name, "use request, vm, kind, sinceUs, untilUs, after or limit");
        return {};
    }

} // namespace

auto decodeTimelineQuery(std::string_view target) -> Core::Result<Timeline::PageQuery>
{
    Timeline::PageQuery query;
    query.limit = defaultPageSize;
    const auto url = boost::urls::parse_origin_form({ target.data(), target.size() });
    if (!url)
        return invalidParameter("", "use a valid URL");
    for (const auto& parameter : url->params()) {
        if (auto applied = applyParameter(parameter.key, parameter.value, query); !applied)
            return tl::unexpected(std::move(applied.error()));
    }
    return query;
}

auto encodeTimelineQuery(const Timeline::PageQuery& query) -> std::string
{
    boost::urls::url url("/v1/timeline");
    auto parameters = url.params();
    const auto& filter = query.filter;
    if (!filter.request.value().empty())
        parameters.append({ "request", filter.request.value() });
    if (!filter.vm.value().empty())
        parameters.append({ "vm", filter.vm.value() });
    if (!filter.kindPrefix.empty())
        parameters.append({ "kind", filter.kindPrefix });
    if (filter.since)
        parameters.append({ "sinceUs", std::to_string(filter.since->time_since_epoch().count()) });
    if (filter.until)
        parameters.append({ "untilUs", std::to_string(filter.until->time_since_epoch().count()) });
    parameters.append({ "after", toString(query.after) });
    parameters.append({ "limit", std::to_string(query.limit) });
    return std::string(url.buffer().data(), url.buffer().size());
}

} // namespace AdminFront
