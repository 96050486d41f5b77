#include "fakes/forwarding/forwardingsite.h"

#include "crashreportpeer/crashreportpeer.h"
#include "crashreportpeer/quarantinepeer.h"
#include "fakes/worldrandom.h"
#include "mirrorpeer/mirrorpeer.h"
#include "noticepeer/noticepeer.h"
#include "quotapeer/quotapeer.h"

#include <algorithm>

namespace Fakes {

namespace {

    /// Time within which a stable VM must apply a new configuration.
    constexpr Core::Millis configurationBound { 2500 };

    class NullMetrics : public Ports::MetricSink {
    public:
        auto requestStarted(const Core::ServiceId&) -> void override { }
        auto requestEnded(const Ports::RequestMetric&) -> void override { }
        auto upstreamEnded(const Core::ServiceId&, Ports::UpstreamOutcome) -> void override { }
    };

} // namespace

/// Appends the events of a VM to the run log, except those that belong to a single request.
class ForwardingSite::RunLogSink : public Ports::EventSink {
public:
    RunLogSink(ForwardingSite& site, std::size_t index)
        : m_site(site)
        , m_index(index)
    {
    }

    auto record(Ports::Event event) -> void override
    {
        if (!event.request.value().empty())
            return;
        noteEvacuation(event);
        noteUpstream(event);
        auto line = event.kind.value();
        for (const auto& [name, value] : event.fields)
            line += " " + name + "=" + value;
        m_site.logLine(nodeOf(m_index).value() + " " + line);
    }

    [[nodiscard]] auto knownStarts() const -> const VirtualUpstreams::KnownStarts& { return m_knownStarts; }
    /// Evacuated domains as this VM knows them.
    [[nodiscard]] auto evacuated() const -> const Forwarding::EvacuatedDomains& { return m_evacuated; }

private:
    static auto field(const Ports::Event& event, std::string_view wanted) -> std::string
    {
        for (const auto& [name, value] : event.fields) {
            if (name == wanted)
                return value;
        }
        return {};
    }

    auto noteEvacuation(const Ports::Event& event) -> void
    {
        if (event.kind.value() == "evacuation.started")
            m_evacuated.insert(Core::FailureDomainId(field(event, "failureDomain")));
        else if (event.kind.value() == "evacuation.ended")
            m_evacuated.erase(Core::FailureDomainId(field(event, "failureDomain")));
    }

    auto noteUpstream(const Ports::Event& event) -> void
    {
        if (event.kind.value() != "upstream.listed" && event.kind.value() != "upstream.draining")
            return;
        m_knownStarts.emplace(
            Core::UpstreamId(field(event, "upstream")), Core::ProcessStartId(std::stoll(field(event, "start"))));
    }

    VirtualUpstreams::KnownStarts m_knownStarts;
    Forwarding::EvacuatedDomains m_evacuated;
    ForwardingSite& m_site;
    const std::size_t m_index;
};

/// Process of an entry VM, from its start to its end.
struct ForwardingSite::Process : EntryFleet::HeartbeatPort {
    Process(ForwardingSite& owner, std::size_t index)
        : site(owner)
        , address(nodeOf(index))
        , node(owner.world, nodeOf(index))
        , random(owner.world)
        , events(owner, index)
        , collections(owner.store, nodeOf(index))
        , exchanges(owner.virtualUpstreams, nodeOf(index))
        , entryVm(settingsOf(index), {},
              { owner.world, node, random, events, metrics, owner.codec, collections, exchanges, *this, mirrorPeer,
                  crashReportPeer, quarantinePeer, noticePeer, quotaPeer, [](const Forwarding::CallerLimits&) {} })
    {
        MirrorPeer::registerMirrorHandler(node, entryVm.mirrorHost());
        CrashReportPeer::registerCrashReportHandler(node,
            [this](const Dispatch::CrashReport& crashReport) { entryVm.forwarder().crashGuard().accept(crashReport); });
        CrashReportPeer::registerQuarantineHandler(
            node, [this](const auto& after) { return entryVm.quarantineSync().page(after); });
        NoticePeer::registerNoticeHandler(
            node, [this](const Forwarding::UpstreamNotices& notices) { entryVm.forwarder().accept(notices); });
        QuotaPeer::registerPermitHandler(
            node, [this](const Quotas::PermitMessage& message) { return entryVm.quotas().receive(message); });
        entryVm.start();
    }

    auto send(const Core::Address& to, const EntryFleet::Heartbeat& heartbeat) -> void override
    {
        site.world.post(to, Core::Millis(1), [&owner = site, to, heartbeat] {
            for (const auto& process : owner.m_processes) {
                if (process && process->address == to)
                    process->entryVm.fleet().receive(heartbeat);
            }
        });
    }

    ForwardingSite& site;
    const Core::Address address;
    VirtualNode node;
    WorldRandom random;
    RunLogSink events;
    NullMetrics metrics;
    CollectionClient collections;
    VirtualExchangeClient exchanges;
    MirrorPeer::MirrorPeer mirrorPeer { node };
    CrashReportPeer::CrashReportPeer crashReportPeer { node };
    CrashReportPeer::QuarantinePeer quarantinePeer { node };
    NoticePeer::NoticePeer noticePeer { node };
    QuotaPeer::QuotaPeer quotaPeer { node };
    ForwardingHost::EntryVm entryVm;
};

ForwardingSite::ForwardingSite(std::uint64_t seed, std::size_t vmCount)
    : world(seed)
    , virtualUpstreams(world, requestTracker, [this](const NodeId& vm) { return isStable(vm); })
    , m_processes(vmCount)
    , m_versions(vmCount)
{
}

ForwardingSite::~ForwardingSite() = default;

auto ForwardingSite::nodeOf(std::size_t index) -> NodeId { return NodeId("vm-" + std::to_string(index)); }

auto ForwardingSite::settingsOf(std::size_t index) -> ForwardingHost::EntryVmSettings
{
    static constexpr std::array domains { "atl-a", "atl-b", "sav-a", "sav-b" };
    const std::string domain = domains.at(index % domains.size());
    ForwardingHost::EntryVmSettings settings;
    const auto& address = nodeOf(index);
    settings.id = Core::EntryVmId(address.value());
    settings.failureDomain = Core::FailureDomainId(domain);
    settings.region = Core::RegionId(domain.substr(0, 3));
    settings.front = address;
    settings.heartbeats = address;
    settings.peers = address;
    settings.seeds = { nodeOf(0), nodeOf(1), nodeOf(2) };
    settings.retryRatio = 0.2;
    settings.retrySlack = 60;
    return settings;
}

auto ForwardingSite::logLine(const std::string& line) -> void
{
    const auto millis = std::chrono::duration_cast<Core::Millis>(world.now().time_since_epoch());
    m_runLog.push_back(std::to_string(millis.count()) + " ms " + line);
}

auto ForwardingSite::startVm(std::size_t index) -> void
{
    logLine("start of " + nodeOf(index).value());
    recordDisturbance(index);
    m_versions.at(index) = {};
    m_processes.at(index) = std::make_unique<Process>(*this, index);
}

auto ForwardingSite::crashVm(std::size_t index) -> void
{
    logLine("crash of " + nodeOf(index).value());
    recordDisturbance(index);
    world.crash(nodeOf(index));
    m_processes.at(index).reset();
}

auto ForwardingSite::pauseVm(std::size_t index) -> void
{
    logLine("pause of " + nodeOf(index).value());
    recordDisturbance(index);
    world.pause(nodeOf(index));
}

auto ForwardingSite::resumeVm(std::size_t index) -> void
{
    logLine("resume of " + nodeOf(index).value());
    recordDisturbance(index);
    world.resume(nodeOf(index));
}

auto ForwardingSite::isRunning(std::size_t index) const -> bool
{
    return m_processes.at(index) && !world.isPaused(nodeOf(index));
}

auto ForwardingSite::vm(std::size_t index) -> ForwardingHost::EntryVm*
{
    return m_processes.at(index) ? &m_processes.at(index)->entryVm : nullptr;
}

auto ForwardingSite::recordDisturbance(std::size_t index) -> void { m_disturbedAt[nodeOf(index)] = world.now(); }

auto ForwardingSite::recordGlobalDisturbance() -> void
{
    for (std::size_t index = 0; index < m_processes.size(); ++index)
        recordDisturbance(index);
}

auto ForwardingSite::isStable(const NodeId& vm) const -> bool
{
    if (world.isPaused(vm) || !store.isReachable(vm) || store.faults().isDegraded())
        return false;
    const auto found = m_disturbedAt.find(vm);
    return found == m_disturbedAt.end() || world.now() - found->second > stabilityTime;
}

auto ForwardingSite::denyStoreAccess(std::size_t index) -> void
{
    logLine("store denies access to " + nodeOf(index).value());
    store.denyAccess(nodeOf(index));
}

auto ForwardingSite::setStoreFaults(CollectionFaults faults) -> void
{
    logLine(std::string("store ") + (faults.isUnavailable ? "away" : faults.losesAnswers ? "loses answers" : "slow"));
    recordGlobalDisturbance();
    store.setFaults(faults);
}

auto ForwardingSite::healStore() -> void
{
    logLine("store healthy");
    recordGlobalDisturbance();
    store.setFaults({});
    store.restoreAccess();
}

auto ForwardingSite::dropHistory() -> void
{
    logLine("store drops its history");
    recordGlobalDisturbance();
    store.dropHistory();
}

auto ForwardingSite::keepStoreCopy() -> void
{
    logLine("store keeps a copy");
    store.keepCopy();
    m_copiedVersion = m_storedVersion;
}

auto ForwardingSite::takeStoreAway(bool forgetsWatches) -> void
{
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        if (m_processes.at(index) && isStable(nodeOf(index)))
            m_processes.at(index)->exchanges.recordKnownState(m_processes.at(index)->events.knownStarts());
    }
    setStoreFaults({ true, false, CollectionFaults::usualDelay, forgetsWatches });
}

auto ForwardingSite::returnStoreToCopy() -> std::vector<VirtualCollections::ItemName>
{
    auto lost = store.returnToCopy();
    logLine("store returns from its copy, changes lost: " + std::to_string(lost.size()));
    recordGlobalDisturbance();
    m_storedVersion = m_copiedVersion;
    m_evacuationsChangedAt = world.now();
    for (const auto& item : lost) {
        if (item.collection == codec.collections().evacuations)
            virtualUpstreams.loseEvacuation(Core::FailureDomainId(item.name));
    }
    return lost;
}

auto ForwardingSite::configure(std::shared_ptr<Forwarding::RoutingConfiguration> configuration) -> void
{
    m_configuration = std::move(configuration);
    configureAgain();
}

auto ForwardingSite::configureAgain() -> void
{
    m_storedVersion = m_configuration->version;
    m_configuredAt = world.now();
    store.put(codec.collections().configuration, codec.configurationName(), codec.encode(m_configuration));
}

auto ForwardingSite::addUpstream(const Forwarding::UpstreamEntry& entry, Core::Duration coldTime) -> void
{
    virtualUpstreams.add(entry, coldTime);
    listUpstream(entry.target.id, false);
}

auto ForwardingSite::listUpstream(const Core::UpstreamId& id, bool isDraining) -> void
{
    auto entry = virtualUpstreams.entry(id);
    entry.isDraining = isDraining;
    entry.report = virtualUpstreams.nextReport(id);
    store.put(codec.collections().upstreams, id.value(),
        codec.encode(InMemoryCodec::ColdEntry { entry, virtualUpstreams.coldRemaining(id) }));
}

auto ForwardingSite::unlistUpstream(const Core::UpstreamId& id) -> void
{
    store.remove(codec.collections().upstreams, id.value());
}

auto ForwardingSite::setEvacuated(const Core::FailureDomainId& domain, bool isEvacuated) -> void
{
    if (isEvacuated)
        m_evacuated.insert(domain);
    else
        m_evacuated.erase(domain);
    setEvacuatedAgain(domain);
}

auto ForwardingSite::setEvacuatedAgain(const Core::FailureDomainId& domain) -> void
{
    const bool isEvacuated = m_evacuated.contains(domain);
    m_evacuationsChangedAt = world.now();
    virtualUpstreams.setEvacuated(domain, isEvacuated);
    const auto collection = codec.collections().evacuations;
    if (isEvacuated)
        store.put(collection, domain.value(), "");
    else
        store.remove(collection, domain.value());
}

auto ForwardingSite::send(std::size_t index, Forwarding::ForwardRequest request, bool isIdempotent, bool hasQuota)
    -> std::shared_ptr<Forwarding::OpenRequest>
{
    const auto id = request.id;
    requestTracker.sent(id, isIdempotent);
    if (hasQuota)
        requestTracker.countAgainstQuota(id);
    return m_processes.at(index)->entryVm.forwarder().handle(
        std::move(request), [this, id](const Forwarding::ForwardReply& reply) { recordReply(id, reply); });
}

auto ForwardingSite::recordReply(const Core::RequestId& id, const Forwarding::ForwardReply& reply) -> void
{
    requestTracker.replied(id);
    const auto* refusal = std::get_if<Forwarding::ForwardRefusal>(&reply);
    answers += refusal == nullptr ? 1 : 0;
    refusals += refusal == nullptr ? 0 : 1;
    if (refusal != nullptr && refusal->outcome == Core::RunOutcome::NotRun)
        requestTracker.refusedNotRun(id);
}

auto ForwardingSite::checkConfigurations() -> void
{
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        if (!m_processes.at(index) || !m_configuration)
            continue;
        const auto known = m_processes.at(index)->entryVm.forwarder().configuration();
        const auto version = known ? known->version : Core::Version();
        if (version < m_versions.at(index))
            requestTracker.recordViolation("configuration went back at " + nodeOf(index).value());
        m_versions.at(index) = version;
        const bool isWrong = version < m_storedVersion || version > m_configuration->version;
        if (world.now() - m_configuredAt > configurationBound && isStable(nodeOf(index)) && isWrong)
            requestTracker.recordViolation("configuration too old at " + nodeOf(index).value());
    }
}

auto ForwardingSite::checkEvacuations() -> void
{
    if (world.now() - m_evacuationsChangedAt <= recoveryTime)
        return;
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        const auto& process = m_processes.at(index);
        const auto& vm = nodeOf(index);
        if (!process || !isStable(vm))
            continue;
        const auto& known = process->events.evacuated();
        if (!std::includes(known.begin(), known.end(), m_evacuated.begin(), m_evacuated.end()))
            requestTracker.recordViolation("an evacuation is not known at " + vm.value());
        // A VM that missed the store's return holds for a while what may have been lost there.
        if (world.now() - m_disturbedAt[vm] > recoveryTime && known.size() > m_evacuated.size())
            requestTracker.recordViolation("an evacuation has not ended at " + vm.value());
    }
}

} // namespace Fakes
