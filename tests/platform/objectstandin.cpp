#include "platform/objectstandin.h"

#include "standins/httphelpers.h"

#include <algorithm>

namespace PlatformTest {

namespace {

    namespace http = boost::beast::http;
    using nlohmann::json;

    constexpr std::string_view prefix = "/api/objects/";
    constexpr auto eraHeader = "Store-Era";

    auto jsonResponse(http::status status, const json& body, std::uint64_t era) -> HttpServer::HttpResponse
    {
        auto response = StandIns::textResponse(status, body.dump());
        response.set(http::field::content_type, "application/json");
        response.set(eraHeader, std::to_string(era));
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
    auto response = jsonResponse(http::status::ok, body, m_era);
    for (const auto& [placeholder, text] : m_texts) {
        const auto quoted = '"' + placeholder + '"';
        for (auto at = response.body().find(quoted); at != std::string::npos; at = response.body().find(quoted, at))
            response.body().replace(at, quoted.size(), text);
    }
    respond(std::move(response));
}

auto ObjectStandIn::write(const std::string& kind, const std::string& name, json spec, json status) -> json
{
    ++m_contents.revision;
    json object { { "metadata",
                      { { "name", name }, { "revision", m_contents.revision }, { "created_rev", m_contents.revision },
                          { "finalizers", json::array() }, { "deleting", false } } },
        { "spec", std::move(spec) }, { "status", std::move(status) } };
    m_contents.objects[kind][name] = object;
    m_contents.changes.push_back({ m_contents.revision, kind, object, false });
    notifyWatches();
    return object;
}

auto ObjectStandIn::remove(const std::string& kind, const std::string& name) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_contents.objects[kind].find(name);
    if (found == m_contents.objects[kind].end())
        return;
    m_contents.changes.push_back({ ++m_contents.revision, kind, found->second, true });
    m_contents.objects[kind].erase(found);
    notifyWatches();
}

auto ObjectStandIn::dropHistory() -> void
{
    const std::lock_guard lock(m_mutex);
    m_contents.oldestRevision = m_contents.revision;
    endWatches(http::status::gone);
}

auto ObjectStandIn::setUnavailable(bool isUnavailable) -> void
{
    const std::lock_guard lock(m_mutex);
    m_isUnavailable = isUnavailable;
    endWatches(http::status::service_unavailable);
}

auto ObjectStandIn::keepCopy() -> void
{
    const std::lock_guard lock(m_mutex);
    m_copy = m_contents;
}

auto ObjectStandIn::returnToCopy(PendingWatches pending) -> void
{
    const std::lock_guard lock(m_mutex);
    m_contents = m_copy;
    ++m_era;
    if (pending == PendingWatches::Left)
        leaveWatches();
    else
        endWatches(pending == PendingWatches::Gone ? http::status::gone : http::status::service_unavailable);
}

auto ObjectStandIn::endWatches(http::status status) -> void
{
    for (const auto& [id, watch] : m_watches)
        answer(watch.respond, status);
    m_watches.clear();
}

auto ObjectStandIn::leaveWatches() -> void
{
    for (auto& [id, watch] : m_watches) {
        watch.timer.reset();
        m_leftWatches.push_back(std::move(watch));
    }
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
    for (const auto& [name, object] : m_contents.objects[kind])
        names.push_back(name);
    return names;
}

auto ObjectStandIn::era() -> std::uint64_t
{
    const std::lock_guard lock(m_mutex);
    return m_era;
}

auto ObjectStandIn::revision() -> std::uint64_t
{
    const std::lock_guard lock(m_mutex);
    return m_contents.revision;
}

auto ObjectStandIn::calls() -> CallCounts
{
    const std::lock_guard lock(m_mutex);
    return m_calls;
}

auto ObjectStandIn::answer(const Respond& respond, http::status status, const json& body) const -> void
{
    respond(jsonResponse(status, body, m_era));
}

auto ObjectStandIn::refuse(const Respond& respond) -> void
{
    const std::lock_guard lock(m_mutex);
    answer(respond, http::status::service_unavailable);
}

auto ObjectStandIn::handle(HttpServer::HttpRequest request, Respond respond) -> void
{
    const auto path = StandIns::pathOf(request);
    const std::lock_guard lock(m_mutex);
    if (!path.starts_with(prefix)) {
        answer(respond, http::status::not_found);
        return;
    }
    const auto rest = path.substr(prefix.size());
    const auto slash = rest.find('/');
    const auto kind = rest.substr(0, slash);
    const auto name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    countCall(request, name);
    if (m_isUnavailable)
        answer(respond, http::status::service_unavailable);
    else if (request.method() == http::verb::put || request.method() == http::verb::post)
        handleWrite(request, kind, respond);
    else if (!name.empty())
        handleRead(kind, name, respond);
    else
        handleQuery(kind, request.target(), std::move(respond));
}

auto ObjectStandIn::countCall(const HttpServer::HttpRequest& request, const std::string& name) -> void
{
    if (request.method() != http::verb::get)
        ++m_calls.writes;
    else if (!name.empty())
        ++m_calls.reads;
    else if (queryText(request.target(), "watch").empty())
        ++m_calls.lists;
    else
        ++m_calls.watches;
}

auto ObjectStandIn::handleWrite(const HttpServer::HttpRequest& request, const std::string& kind, const Respond& respond)
    -> void
{
    const auto body = json::parse(request.body());
    const auto object = body.at("metadata").at("name").get<std::string>();
    const bool exists = m_contents.objects[kind].contains(object);
    if (exists == (request.method() == http::verb::post))
        answer(respond, exists ? http::status::conflict : http::status::not_found);
    else
        answer(respond, http::status::ok, write(kind, object, body.at("spec"), nullptr));
}

auto ObjectStandIn::handleRead(const std::string& kind, const std::string& name, const Respond& respond) -> void
{
    const auto found = m_contents.objects[kind].find(name);
    if (found == m_contents.objects[kind].end())
        answer(respond, http::status::not_found);
    else
        answer(respond, http::status::ok, found->second);
}

auto ObjectStandIn::handleQuery(const std::string& kind, std::string_view target, Respond respond) -> void
{
    if (const auto after = queryText(target, "watch"); !after.empty())
        watch(kind, std::stoull(after), StandIns::queryNumber(target, "wait_ms", 0), std::move(respond));
    else
        respondWith(respond, list(kind, queryText(target, "after")));
}

auto ObjectStandIn::malformedResponse(http::status status, const std::string& /*detail*/) -> HttpServer::HttpResponse
{
    const std::lock_guard lock(m_mutex);
    return jsonResponse(status, json::object(), m_era);
}

auto ObjectStandIn::list(const std::string& kind, const std::string& after) -> json
{
    auto items = json::array();
    bool hasMore = false;
    const auto& objects = m_contents.objects[kind];
    for (auto object = objects.upper_bound(after); object != objects.end(); ++object) {
        if (items.size() == m_pageSize) {
            hasMore = true;
            break;
        }
        items.push_back(object->second);
    }
    return { { "items", items }, { "more", hasMore }, { "store_revision", m_contents.revision } };
}

auto ObjectStandIn::eventsAfter(const std::string& kind, std::uint64_t after) -> json
{
    auto events = json::array();
    for (const auto& change : m_contents.changes) {
        if (change.kind == kind && change.revision > after)
            events.push_back({ { "object", change.object }, { "deleted", change.isDeleted } });
    }
    return events;
}

auto ObjectStandIn::watch(const std::string& kind, std::uint64_t after, std::int64_t waitMs, Respond respond) -> void
{
    if (after < m_contents.oldestRevision || after > m_contents.revision) {
        answer(respond, http::status::gone);
        return;
    }
    if (const auto events = eventsAfter(kind, after); !events.empty()) {
        respondWith(respond, { { "events", events }, { "store_revision", m_contents.revision } });
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
        respondWith(entry.second.respond, { { "events", events }, { "store_revision", m_contents.revision } });
        return true;
    });
}

auto ObjectStandIn::expireWatch(std::uint64_t id) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_watches.find(id);
    if (found == m_watches.end())
        return;
    answer(found->second.respond, http::status::ok,
        { { "events", json::array() }, { "store_revision", m_contents.revision } });
    m_watches.erase(found);
}

} // namespace PlatformTest
