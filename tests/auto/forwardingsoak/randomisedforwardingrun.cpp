#include "randomisedforwardingrun.h"

#include <algorithm>

namespace {

using Fakes::ForwardingSite;

constexpr Core::Duration longestStep = Core::Millis(20);
constexpr std::size_t upstreamCount = 12;
constexpr Core::Millis coldTime { 3000 };
/// Time after which the entry of a crashed upstream expires.
constexpr Core::Millis entryLifetime { 4500 };
/// Time after which another upstream may reuse the address of one that ended.
constexpr Core::Millis addressReuseDelay { 2000 };
/// Bounds of the time for which a crashed upstream is down.
constexpr Core::Millis shortestDowntime { 2000 };
constexpr Core::Millis longestDowntime { 8000 };
constexpr Core::Millis upstreamHeartbeatInterval { 1500 };
constexpr Core::Millis longestRelistingDelay { 1900 };
/// Bounds of the age of the copy that the store returns from, of the time for which it is away, and of the time that
/// the operator takes to write again what was lost.
constexpr Core::Millis youngestCopy { 200 };
constexpr Core::Millis oldestCopy { 6000 };
constexpr Core::Millis shortestAbsence { 300 };
constexpr Core::Millis longestAbsence { 2000 };
constexpr Core::Millis fastestOperator { 200 };
constexpr Core::Millis slowestOperator { 4000 };
constexpr Core::Millis longestCallerTimeout { 3000 };
constexpr double drillShare = 0.4;
constexpr double normalSendRate = 0.8;
constexpr std::array domains { "atl-a", "atl-b", "sav-a", "sav-b" };
constexpr std::array services { "stock", "holds" };
constexpr std::size_t objects = 40;
constexpr auto freeOrganisation = "free";
constexpr auto limitedOrganisation = "limited";
constexpr Organisations::Quota limit { 3, 3 };
/// Share of the requests that the limited organisation sends: far more than its quota.
constexpr double limitedShare = 0.15;

auto routeOf(const std::string& service, bool isIdempotent) -> Forwarding::Route
{
    Forwarding::Route route;
    route.id = Forwarding::RouteId(service);
    route.host = "desk.example";
    route.pathPrefix = "/" + service + "/";
    route.services = { { Core::ServiceId(service), 1 } };
    route.isIdempotent = isIdempotent;
    route.hasObjectAffinity = isIdempotent;
    route.attempts = 2;
    route.timeout = Core::Millis(2500);
    route.targetLatency = Core::Millis(300);
    return route;
}

/// Uses the names of the organisations as their API keys.
auto addOrganisations(Organisations::OrganisationDirectory& directory) -> void
{
    Organisations::Organisation limited { Core::OrganisationId(limitedOrganisation), {}, {}, limit };
    Organisations::Organisation free { Core::OrganisationId(freeOrganisation), {}, {}, {} };
    (void)directory.add(limited, { Organisations::ApiKey(limitedOrganisation) });
    (void)directory.add(free, { Organisations::ApiKey(freeOrganisation) });
}

} // namespace

RandomisedForwardingRun::RandomisedForwardingRun(std::uint64_t seed, std::size_t vmCount)
    : m_site(seed, vmCount)
    , m_open(vmCount)
{
    const Quotas::QuotaBounds bounds;
    const auto perWindow = limit.rate * std::chrono::duration<double>(bounds.window).count();
    m_site.requestTracker.setQuotaBound(
        bounds.window, (perWindow + limit.burst) * (1 + bounds.overshoot) + bounds.slack);
    configure();
    for (std::size_t index = 0; index < upstreamCount; ++index)
        addUpstream(Core::Address("10.0.0." + std::to_string(index) + ":80"));
    for (std::size_t index = 0; index < m_open.size(); ++index)
        m_site.startVm(index);
    m_site.world.runFor(Core::Millis(4000));
}

auto RandomisedForwardingRun::run(Core::Duration duration) -> void
{
    const auto end = m_site.world.now() + duration;
    while (m_site.world.now() < end && m_site.requestTracker.violations().empty())
        step();
}

auto RandomisedForwardingRun::step() -> void
{
    auto& world = m_site.world;
    if (world.chance(m_sendRate))
        sendRequest();
    if (world.chance(0.02))
        abandonRequest();
    if (world.chance(0.003))
        configure();
    if (world.chance(0.002))
        evacuate();
    if (world.chance(0.004))
        changeVmState();
    if (world.chance(0.003))
        changeNetworkFaults();
    if (world.chance(0.003))
        injectStoreFault();
    if (world.chance(0.006))
        stopUpstream();
    if (world.chance(0.004))
        changeUpstreamFaults();
    if (world.chance(0.004))
        m_sendRate = m_sendRate < 1 && world.chance(0.5) ? 4 : normalSendRate;
    world.runFor(world.between(Core::Duration(100), m_sendRate > 1 ? longestStep / 4 : longestStep));
    m_site.checkConfigurations();
    m_site.checkEvacuations();
}

auto RandomisedForwardingRun::sendRequest() -> void
{
    auto& world = m_site.world;
    const auto index = randomVm();
    if (!m_site.isRunning(index))
        return;
    const std::size_t service = world.chance(0.6) ? 0 : 1;
    Forwarding::ForwardRequest request;
    request.id = Core::RequestId("r" + std::to_string(m_nextRequest++));
    request.host = "desk.example";
    request.path = "/" + std::string(services.at(service)) + "/7";
    request.object = Forwarding::ObjectKey(std::to_string(world.below(objects)));
    request.callerTimeout = world.between(Core::Millis(1), longestCallerTimeout);
    const bool isLimited = !m_isRecovering && world.chance(limitedShare);
    request.apiKey = Organisations::ApiKey(isLimited ? limitedOrganisation : freeOrganisation);
    auto& open = m_open.at(index);
    open.push_back(m_site.send(index, std::move(request), service == 0, isLimited));
    std::erase_if(open, [](const auto& one) { return one.use_count() == 1; });
}

auto RandomisedForwardingRun::abandonRequest() -> void
{
    const auto vm = randomVm();
    auto& open = m_open.at(vm);
    if (open.empty() || !m_site.isRunning(vm))
        return;
    const auto index = m_site.world.below(open.size());
    open.at(index)->abandon();
    open.erase(open.begin() + static_cast<OpenRequests::difference_type>(index));
}

auto RandomisedForwardingRun::configure() -> void
{
    if (!isStoreHealthy())
        return;
    auto configuration = std::make_shared<Forwarding::RoutingConfiguration>();
    m_version += 1 + m_site.world.below(5);
    configuration->version = Core::Version(m_version);
    addOrganisations(configuration->organisations);
    for (std::size_t index = 0; index < services.size(); ++index) {
        configuration->routes.add(routeOf(services.at(index), index == 0));
        configuration->services[Core::ServiceId(services.at(index))]
            = { "/health", coldTime, m_site.virtualUpstreams.bounds().coldRate };
    }
    m_site.configure(std::move(configuration));
}

auto RandomisedForwardingRun::evacuate() -> void
{
    if (!isStoreHealthy())
        return;
    const Core::FailureDomainId domain(domains.at(m_site.world.below(domains.size())));
    const bool isEvacuated = m_evacuated.empty();
    if (isEvacuated)
        m_evacuated.insert(domain);
    for (const auto& one : m_evacuated)
        m_site.setEvacuated(one, isEvacuated);
    if (!isEvacuated)
        m_evacuated.clear();
}

auto RandomisedForwardingRun::changeVmState() -> void
{
    const auto index = randomVm();
    if (m_site.vm(index) == nullptr)
        m_site.startVm(index);
    else if (!m_site.isRunning(index))
        m_site.resumeVm(index);
    else if (m_site.world.chance(0.5))
        m_site.pauseVm(index);
    else
        crashVm(index);
}

auto RandomisedForwardingRun::crashVm(std::size_t index) -> void
{
    m_open.at(index).clear();
    m_site.crashVm(index);
}

auto RandomisedForwardingRun::changeNetworkFaults() -> void
{
    auto& world = m_site.world;
    if (world.chance(0.5))
        world.setFaults({});
    else
        world.setFaults({ 0.3, 0.1, Core::Millis(1), Core::Millis(60) });
}

auto RandomisedForwardingRun::injectStoreFault() -> void
{
    if (m_hasStoreFault || m_hasDrill || m_isRecovering)
        return;
    auto& world = m_site.world;
    if (world.chance(drillShare)) {
        beginDrill();
        return;
    }
    m_hasStoreFault = true;
    const auto outageTime = world.between(Core::Millis(500), Core::Millis(8000));
    switch (world.below(5)) {
    case 0:
        m_site.setStoreFaults({ true, false, Core::Millis(4) });
        expireEntries(outageTime);
        break;
    case 1:
        m_site.setStoreFaults({ false, true, Core::Millis(4) });
        break;
    case 2:
        m_site.setStoreFaults({ false, false, Core::Millis(400) });
        break;
    case 3:
        m_site.denyStoreAccess(randomVm());
        m_site.denyStoreAccess(randomVm());
        break;
    default:
        m_site.dropHistory();
        break;
    }
    schedule(outageTime, [this] { clearStoreFault(); });
}

auto RandomisedForwardingRun::clearStoreFault() -> void
{
    m_hasStoreFault = false;
    m_site.healStore();
}

auto RandomisedForwardingRun::beginDrill() -> void
{
    auto& world = m_site.world;
    m_hasDrill = true;
    m_site.keepStoreCopy();
    schedule(world.between(youngestCopy, oldestCopy), [this] {
        if (!m_hasDrill)
            return;
        auto& world = m_site.world;
        m_hasStoreFault = true;
        m_site.takeStoreAway(world.chance(0.3));
        schedule(world.between(shortestAbsence, longestAbsence), [this] { endDrill(); });
    });
}

auto RandomisedForwardingRun::endDrill() -> void
{
    if (!std::exchange(m_hasDrill, false))
        return;
    for (const auto& item : m_site.returnStoreToCopy())
        writeAgain(item);
    clearStoreFault();
    auto& world = m_site.world;
    if (m_isRecovering || world.chance(0.7))
        return;
    m_hasStoreFault = true;
    m_site.denyStoreAccess(randomVm());
    m_site.denyStoreAccess(randomVm());
    schedule(world.between(shortestAbsence, longestAbsence), [this] { clearStoreFault(); });
}

auto RandomisedForwardingRun::writeAgain(const Fakes::VirtualCollections::ItemName& item) -> void
{
    auto& world = m_site.world;
    const auto names = m_site.codec.collections();
    const auto operatorDelay = world.between(fastestOperator, slowestOperator);
    if (item.collection == names.configuration) {
        schedule(operatorDelay, [this] { onceStoreIsReachable([this] { m_site.configureAgain(); }); });
    } else if (item.collection == names.evacuations) {
        schedule(operatorDelay, [this, domain = Core::FailureDomainId(item.name)] {
            onceStoreIsReachable([this, domain] { m_site.setEvacuatedAgain(domain); });
        });
    } else if (item.collection == names.upstreams) {
        // The entry of an upstream that does not run expires.
        const Core::UpstreamId id(item.name);
        const auto delay = m_site.virtualUpstreams.isUp(id) ? world.between(Core::Millis(1), longestRelistingDelay)
                                                            : Core::Duration(entryLifetime);
        schedule(delay, [this, id] { onceStoreIsReachable([this, id] { writeUpstreamAgain(id); }); });
    }
}

auto RandomisedForwardingRun::writeUpstreamAgain(const Core::UpstreamId& id) -> void
{
    if (!m_site.virtualUpstreams.isUp(id)) {
        m_site.unlistUpstream(id);
        return;
    }
    const bool isLeaving = m_leaving.contains(id);
    if (isLeaving)
        m_site.virtualUpstreams.retire(id);
    if (isLeaving && !m_announced.contains(id))
        m_site.unlistUpstream(id);
    else
        m_site.listUpstream(id, isLeaving);
}

auto RandomisedForwardingRun::onceStoreIsReachable(Ports::Scheduler::Task task) -> void
{
    if (!m_site.store.faults().isUnavailable) {
        task();
        return;
    }
    schedule(
        upstreamHeartbeatInterval, [this, task = std::move(task)]() mutable { onceStoreIsReachable(std::move(task)); });
}

auto RandomisedForwardingRun::expireEntries(Core::Duration outageTime) -> void
{
    auto& world = m_site.world;
    for (const auto& id : m_upstreams) {
        if (m_leaving.contains(id) || !world.chance(0.5))
            continue;
        m_site.unlistUpstream(id);
        schedule(outageTime + world.between(Core::Millis(1), longestRelistingDelay),
            [this, id] { listOnceStoreIsReachable(id); });
    }
}

auto RandomisedForwardingRun::isStoreHealthy() const -> bool { return !m_hasStoreFault; }

auto RandomisedForwardingRun::schedule(Core::Duration delay, Ports::Scheduler::Task task) -> void
{
    m_site.world.post(Fakes::NodeId("operator"), delay, std::move(task));
}

auto RandomisedForwardingRun::changeUpstreamFaults() -> void
{
    auto& world = m_site.world;
    if (m_isRecovering || world.chance(0.4))
        m_site.virtualUpstreams.setFaults({});
    else
        m_site.virtualUpstreams.setFaults({ 0.1, 0.05, 0.05, 0.03, 0.03, 0.2 });
}

auto RandomisedForwardingRun::randomUpstream() -> std::optional<Core::UpstreamId>
{
    std::vector<Core::UpstreamId> candidates;
    for (const auto& id : m_upstreams) {
        if (!m_leaving.contains(id))
            candidates.push_back(id);
    }
    if (candidates.size() < upstreamCount / 2)
        return std::nullopt;
    return candidates.at(m_site.world.below(candidates.size()));
}

auto RandomisedForwardingRun::stopUpstream() -> void
{
    const auto id = randomUpstream();
    if (!id || m_isRecovering)
        return;
    if (m_site.world.chance(0.5))
        crash(*id);
    else if (isStoreHealthy())
        drain(*id, m_site.world.chance(0.7));
}

auto RandomisedForwardingRun::drain(const Core::UpstreamId& id, bool isAnnounced) -> void
{
    m_leaving.insert(id);
    m_site.virtualUpstreams.retire(id);
    if (isAnnounced)
        m_announced.insert(id);
    if (isAnnounced)
        m_site.listUpstream(id, true);
    else
        m_site.unlistUpstream(id);
    const auto remainingTime
        = m_site.virtualUpstreams.bounds().drain + m_site.world.between(Core::Millis(100), Core::Millis(6000));
    schedule(remainingTime, [this, id] {
        const auto address = m_site.virtualUpstreams.entry(id).target.address;
        m_site.virtualUpstreams.end(id);
        m_site.unlistUpstream(id);
        m_upstreams.erase(id);
        schedule(addressReuseDelay, [this, address] { addUpstream(address); });
    });
}

auto RandomisedForwardingRun::crash(const Core::UpstreamId& id) -> void
{
    const auto entry = m_site.virtualUpstreams.entry(id);
    m_site.logLine("crash of upstream=" + id.value());
    m_leaving.insert(id);
    m_site.virtualUpstreams.end(id);
    schedule(m_site.world.between(shortestDowntime, longestDowntime), [this, entry] { restart(entry); });
    schedule(entryLifetime, [this, id] {
        if (!m_site.virtualUpstreams.isUp(id))
            m_site.unlistUpstream(id);
    });
}

auto RandomisedForwardingRun::restart(const Forwarding::UpstreamEntry& ended) -> void
{
    auto entry = ended;
    entry.target.start = Core::ProcessStartId(m_nextStart++);
    m_leaving.erase(ended.target.id);
    m_site.virtualUpstreams.add(entry, coldTime);
    m_site.logLine("restart of upstream=" + entry.target.id.value());
    listOnceStoreIsReachable(entry.target.id);
}

auto RandomisedForwardingRun::listOnceStoreIsReachable(const Core::UpstreamId& id) -> void
{
    onceStoreIsReachable([this, id] {
        if (m_site.virtualUpstreams.isUp(id) && !m_leaving.contains(id))
            m_site.listUpstream(id, false);
    });
}

auto RandomisedForwardingRun::makeEntry(const Core::UpstreamId& id, const Core::Address& address)
    -> Forwarding::UpstreamEntry
{
    const auto number = m_nextUpstream;
    const std::string domain = domains.at(number % domains.size());
    Forwarding::UpstreamEntry entry;
    entry.target = { id, Core::ProcessStartId(m_nextStart++), address };
    entry.service = Core::ServiceId(services.at((number / domains.size()) % services.size()));
    entry.failureDomain = Core::FailureDomainId(domain);
    entry.region = Core::RegionId(domain.substr(0, 3));
    entry.slots = Core::SlotCount(4);
    return entry;
}

auto RandomisedForwardingRun::addUpstream(const Core::Address& address) -> void
{
    const Core::UpstreamId id("u" + std::to_string(m_nextUpstream));
    const auto isFirst = m_upstreams.size() < upstreamCount && m_nextUpstream < upstreamCount;
    m_site.addUpstream(makeEntry(id, address), isFirst ? Core::Duration(0) : Core::Duration(coldTime));
    m_upstreams.insert(id);
    ++m_nextUpstream;
}

auto RandomisedForwardingRun::servedShareAfterRecovery() -> double
{
    m_isRecovering = true;
    if (m_hasStoreFault)
        endDrill();
    m_hasDrill = false;
    clearStoreFault();
    m_site.world.setFaults({});
    m_site.virtualUpstreams.setFaults({});
    m_sendRate = normalSendRate;
    if (!m_evacuated.empty())
        evacuate();
    for (std::size_t index = 0; index < m_open.size(); ++index) {
        if (m_site.vm(index) == nullptr)
            m_site.startVm(index);
        else if (!m_site.isRunning(index))
            m_site.resumeVm(index);
    }
    m_site.world.runFor(ForwardingSite::recoveryTime);
    m_site.checkConfigurations();
    m_site.checkEvacuations();
    const auto answersBefore = m_site.answers;
    constexpr int requests = 300;
    for (int index = 0; index < requests; ++index) {
        sendRequest();
        m_site.world.runFor(longestStep);
    }
    m_site.world.runFor(longestCallerTimeout);
    return static_cast<double>(m_site.answers - answersBefore) / requests;
}
