#include "platform/objectstandin.h"

#include "standins/httphelpers.h"

#include <algorithm>

namespace PlatformTest {

namespace {

    namespace http = boost::beast::http;
    using nlohmann::json;

    constexpr std::string_view prefix = "/api/objects/";

    auto jsonResponse(http::status status, const json& body) -> HttpServer::HttpResponse
    {
        auto response = StandIns::textResponse(status, body.dump());
        response.set(http::field::content_type, "application/json");
        return response;
    }

    auto queryText(std::string_view target, const std::string& name) -> std::string
    {
        const auto at = target.find(name + '=');
        if (at == std::string_view::npos)
            return {};
        const auto begin = at + name.size() + 1;
        return std::string(target.substr(begin, target.find('&', begin) - begin));
    }

} // namespace

ObjectStandIn::ObjectStandIn(Ports::Scheduler& scheduler)
    : m_scheduler(scheduler)
{
}

auto ObjectStandIn::put(const std::string& kind, const std::string& name, json spec, json status) -> void
{
    const std::lock_guard lock(m_mutex);
    write(kind, name, std::move(spec), std::move(status));
}

auto ObjectStandIn::putText(const std::string& kind, const std::string& name, const std::string& specText) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto placeholder = "text-" + std::to_string(m_texts.size()) + '-';
    m_texts[placeholder] = specText;
    write(kind, name, placeholder, nullptr);
}

auto ObjectStandIn::respondWith(const Respond& respond, const json& body) -> void
{
    auto response = jsonResponse(http::status::ok, body);
    for (const auto& [placeholder, text] : m_texts) {
        const auto quoted = '"' + placeholder + '"';
        for (auto at = response.body().find(quoted); at != std::string::npos; at = response.body().find(quoted, at))
            response.body().replace(at, quoted.size(), text);
    }
    respond(std::move(response));
}

auto ObjectStandIn::write(const std::string& kind, const std::string& name, json spec, json status) -> json
{
    ++m_revision;
    json object { { "metadata",
                      { { "name", name }, { "revision", m_revision }, { "created_rev", m_revision },
                          { "finalizers", json::array() }, { "deleting", false } } },
        { "spec", std::move(spec) }, { "status", std::move(status) } };
    m_objects[kind][name] = object;
    m_changes.push_back({ m_revision, kind, object, false });
    notifyWatches();
    return object;
}

auto ObjectStandIn::remove(const std::string& kind, const std::string& name) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects[kind].find(name);
    if (found == m_objects[kind].end())
        return;
    m_changes.push_back({ ++m_revision, kind, found->second, true });
    m_objects[kind].erase(found);
    notifyWatches();
}

auto ObjectStandIn::dropHistory() -> void
{
    const std::lock_guard lock(m_mutex);
    m_oldestRevision = m_revision;
    for (auto& [id, watch] : m_watches)
        watch.respond(jsonResponse(http::status::gone, json::object()));
    m_watches.clear();
}

auto ObjectStandIn::setUnavailable(bool isUnavailable) -> void
{
    const std::lock_guard lock(m_mutex);
    m_isUnavailable = isUnavailable;
    for (auto& [id, watch] : m_watches)
        watch.respond(jsonResponse(http::status::service_unavailable, json::object()));
    m_watches.clear();
}

auto ObjectStandIn::setPageSize(std::size_t size) -> void
{
    const std::lock_guard lock(m_mutex);
    m_pageSize = size;
}

auto ObjectStandIn::names(const std::string& kind) -> std::vector<std::string>
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> names;
    for (const auto& [name, object] : m_objects[kind])
        names.push_back(name);
    return names;
}

auto ObjectStandIn::handle(HttpServer::HttpRequest request, Respond respond) -> void
{
    const auto path = StandIns::pathOf(request);
    if (!path.starts_with(prefix)) {
        respond(StandIns::textResponse(http::status::not_found, "no such path"));
        return;
    }
    const auto rest = path.substr(prefix.size());
    const auto slash = rest.find('/');
    const auto kind = rest.substr(0, slash);
    const auto name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    const std::string_view target(request.target());
    const std::lock_guard lock(m_mutex);
    if (m_isUnavailable) {
        respond(jsonResponse(http::status::service_unavailable, json::object()));
        return;
    }
    if (request.method() == http::verb::put || request.method() == http::verb::post) {
        const auto body = json::parse(request.body());
        const auto object = body.at("metadata").at("name").get<std::string>();
        const bool exists = m_objects[kind].contains(object);
        if (exists == (request.method() == http::verb::post)) {
            respond(jsonResponse(exists ? http::status::conflict : http::status::not_found, json::object()));
            return;
        }
        respond(jsonResponse(http::status::ok, write(kind, object, body.at("spec"), nullptr)));
        return;
    }
    if (!name.empty()) {
        const auto found = m_objects[kind].find(name);
        respond(found == m_objects[kind].end() ? jsonResponse(http::status::not_found, json::object())
                                               : jsonResponse(http::status::ok, found->second));
        return;
    }
    if (const auto after = queryText(target, "watch"); !after.empty())
        watch(kind, std::stoull(after), StandIns::queryNumber(target, "wait_ms", 0), std::move(respond));
    else
        respondWith(respond, list(kind, queryText(target, "after")));
}

auto ObjectStandIn::malformedResponse(http::status status, const std::string& detail) -> HttpServer::HttpResponse
{
    return StandIns::textResponse(status, detail);
}

auto ObjectStandIn::list(const std::string& kind, const std::string& after) -> json
{
    auto items = json::array();
    bool hasMore = false;
    const auto& objects = m_objects[kind];
    for (auto object = objects.upper_bound(after); object != objects.end(); ++object) {
        if (items.size() == m_pageSize) {
            hasMore = true;
            break;
        }
        items.push_back(object->second);
    }
    return { { "items", items }, { "more", hasMore }, { "store_revision", m_revision } };
}

auto ObjectStandIn::eventsAfter(const std::string& kind, std::uint64_t after) -> json
{
    auto events = json::array();
    for (const auto& change : m_changes) {
        if (change.kind == kind && change.revision > after)
            events.push_back({ { "object", change.object }, { "deleted", change.isDeleted } });
    }
    return events;
}

auto ObjectStandIn::watch(const std::string& kind, std::uint64_t after, std::int64_t waitMs, Respond respond) -> void
{
    if (after < m_oldestRevision) {
        respond(jsonResponse(http::status::gone, json::object()));
        return;
    }
    if (const auto events = eventsAfter(kind, after); !events.empty()) {
        respondWith(respond, { { "events", events }, { "store_revision", m_revision } });
        return;
    }
    const auto id = m_nextWatch++;
    auto timer = m_scheduler.after(Core::Millis(waitMs), [this, id] { expireWatch(id); });
    m_watches[id] = { kind, after, std::move(respond), std::move(timer) };
}

auto ObjectStandIn::notifyWatches() -> void
{
    std::erase_if(m_watches, [this](auto& entry) {
        const auto events = eventsAfter(entry.second.kind, entry.second.after);
        if (events.empty())
            return false;
        respondWith(entry.second.respond, { { "events", events }, { "store_revision", m_revision } });
        return true;
    });
}

auto ObjectStandIn::expireWatch(std::uint64_t id) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_watches.find(id);
    if (found == m_watches.end())
        return;
    found->second.respond(
        jsonResponse(http::status::ok, { { "events", json::array() }, { "store_revision", m_revision } }));
    m_watches.erase(found);
}

} // namespace PlatformTest
