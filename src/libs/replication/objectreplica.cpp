#include "replication/objectreplica.h"

#include "core/invariant.h"

#include <algorithm>

namespace Replication {

namespace {

    const Ports::EventKind replicaSettled { "replica.settled" };
    const Ports::EventKind replicaAdopted { "replica.adopted" };
    const Ports::EventKind replicaRefused { "replica.refused" };

    /// Limits the size of heartbeats, which carry the reason for as long as the version is refused.
    constexpr std::size_t maximumReasonLength = 500;

    auto eventFields(ReplicatedObject object, Core::Version version) -> std::vector<Ports::EventField>
    {
        return { { "object", objectName(object) }, { "version", std::to_string(version.value()) } };
    }

    // FNV-1a; distinguishes different texts that have the same version.
    auto digestOf(const std::string& text) -> std::uint64_t
    {
        std::uint64_t hash = 0xcbf29ce484222325U;
        for (const char character : text)
            hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3U;
        return hash;
    }

} // namespace

auto objectName(ReplicatedObject object) -> std::string
{
    return object == ReplicatedObject::SteeringDocument ? "steering/document" : "fleet/list";
}

ObjectReplica::ObjectReplica(Dependencies dependencies, ReplicatedObject object, ReplicaTiming timing)
    : m_dependencies(dependencies)
    , m_object(object)
    , m_timing(timing)
{
}

auto ObjectReplica::start() -> void
{
    {
        const std::lock_guard lock(m_mutex);
        m_state.startedAt = m_dependencies.clock.now();
    }
    tick();
}

auto ObjectReplica::stop() -> void
{
    const std::lock_guard lock(m_mutex);
    m_state.isStopped = true;
    m_state.timer.reset();
}

auto ObjectReplica::status() const -> Status
{
    const std::lock_guard lock(m_mutex);
    return { m_state.current.version, m_state.digest, m_state.adoptedAt, m_state.confirmedAt, m_state.refused };
}

auto ObjectReplica::answerFetch(Core::Version newerThan) const -> FetchAnswer
{
    const std::lock_guard lock(m_mutex);
    if (m_state.current.version <= newerThan)
        return std::nullopt;
    return m_state.current;
}

auto ObjectReplica::tick() -> void
{
    callStoreIfDue(m_dependencies.coordinator.watchRole(m_object));
    queryStartupPeers();
    settleIfComplete();
    const std::lock_guard lock(m_mutex);
    if (m_state.isStopped)
        return;
    m_state.timer = m_dependencies.scheduler.after(m_timing.tick, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->tick();
    });
}

auto ObjectReplica::callStoreIfDue(WatchRole role) -> void
{
    const auto now = m_dependencies.clock.now();
    std::uint64_t callId = 0;
    bool isRead = false;
    Core::Version after;
    {
        const std::lock_guard lock(m_mutex);
        if (m_state.isStopped || (m_state.isSettled && role == WatchRole::None))
            return;
        if (m_state.isCallingStore && now - m_state.storeCallStarted < m_timing.storeCallLimit)
            return;
        isRead = !m_state.isSettled || (role == WatchRole::WatchAndRead && m_state.isReadNext);
        m_state.isReadNext = !isRead;
        m_state.isCallingStore = true;
        m_state.storeCallStarted = now;
        callId = ++m_state.storeCallId;
        after = std::max(m_state.current.version, m_state.refused.version);
    }
    auto onResponse = [weak = weak_from_this(), callId, isRead](const Core::Result<Ports::StoredObject>& result) {
        if (const auto self = weak.lock())
            self->onStoreResponse(callId, isRead, result);
    };
    if (isRead)
        m_dependencies.store.read(objectName(m_object), std::move(onResponse));
    else
        m_dependencies.store.watch(objectName(m_object), after, m_timing.watchTimeout, std::move(onResponse));
}

auto ObjectReplica::onStoreResponse(std::uint64_t callId, bool isRead, const Core::Result<Ports::StoredObject>& result)
    -> void
{
    const bool isMissing = !result && result.error().kind == Core::ErrorKind::NotFound;
    const bool isWatchTimeout = !isRead && !result && result.error().kind == Core::ErrorKind::Timeout;
    {
        const std::lock_guard lock(m_mutex);
        if (callId == m_state.storeCallId)
            m_state.isCallingStore = false;
        if (!result && !isMissing && !isWatchTimeout)
            m_state.hasStoreFailed = true;
    }
    if (result)
        processCopy(*result);
    if (result || isMissing)
        settle();
    if (result) {
        const std::lock_guard lock(m_mutex);
        if (result->version == m_state.current.version)
            m_state.confirmedAt = m_dependencies.clock.now();
    }
    // Starts the next watch immediately, so that no change is delayed until the next tick. A failed call is retried at
    // the next tick.
    if (result || isWatchTimeout)
        callStoreIfDue(m_dependencies.coordinator.watchRole(m_object));
}

auto ObjectReplica::queryStartupPeers() -> void
{
    std::set<Core::Address> peers;
    {
        const std::lock_guard lock(m_mutex);
        if (m_state.isSettled || m_state.isStopped)
            return;
    }
    peers = m_dependencies.coordinator.startupPeers();
    std::vector<Core::Address> next;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& peer : peers) {
            if (m_state.queriedPeers.size() < m_timing.startupPeers && m_state.queriedPeers.insert(peer).second) {
                m_state.pendingPeers.insert(peer);
                next.push_back(peer);
            }
        }
    }
    for (const auto& peer : next)
        queryStartupPeer(peer, 1);
}

auto ObjectReplica::queryStartupPeer(const Core::Address& peer, std::size_t attempt) -> void
{
    m_dependencies.port.fetch(peer, m_object, Core::Version(0), m_timing.fetchTimeout,
        [weak = weak_from_this(), peer, attempt](const Core::Result<FetchAnswer>& answer) {
            const auto self = weak.lock();
            if (!self)
                return;
            // Retries, because a lost message must not hide a version that the peer holds.
            if (!answer && attempt < self->m_timing.startupAttempts) {
                self->queryStartupPeer(peer, attempt + 1);
                return;
            }
            if (answer && *answer)
                self->processCopy(**answer);
            const std::lock_guard lock(self->m_mutex);
            self->m_state.pendingPeers.erase(peer);
        });
}

auto ObjectReplica::settleIfComplete() -> void
{
    const auto now = m_dependencies.clock.now();
    {
        const std::lock_guard lock(m_mutex);
        const bool isStoreUnreachable
            = m_state.hasStoreFailed || now - m_state.startedAt > m_timing.storeStartupTimeout;
        if (m_state.isSettled || !isStoreUnreachable || !m_state.pendingPeers.empty())
            return;
        if (m_state.candidate.version == Core::Version(0)) {
            // No peer has a version yet, so query the peers again.
            m_state.queriedPeers.clear();
            return;
        }
    }
    settle();
}

auto ObjectReplica::settle() -> void
{
    Ports::StoredObject candidate;
    {
        const std::lock_guard lock(m_mutex);
        if (m_state.isSettled)
            return;
        m_state.isSettled = true;
        candidate = std::move(m_state.candidate);
        m_state.candidate = {};
    }
    m_dependencies.events.record({ replicaSettled, {}, eventFields(m_object, candidate.version) });
    if (candidate.version > Core::Version(0))
        applyCopy(candidate);
}

auto ObjectReplica::onPeerVersion(const Core::Address& peer, Core::Version version) -> void
{
    Core::Version known;
    {
        const std::lock_guard lock(m_mutex);
        known = std::max({ m_state.current.version, m_state.candidate.version, m_state.refused.version });
        if (m_state.isStopped || m_state.isFetching || version <= known)
            return;
        m_state.isFetching = true;
    }
    fetchFrom(peer, known);
}

auto ObjectReplica::onPeerConfirmation(Core::Version version, Core::Instant confirmedAt) -> void
{
    const std::lock_guard lock(m_mutex);
    if (version == m_state.current.version && (!m_state.confirmedAt || *m_state.confirmedAt < confirmedAt))
        m_state.confirmedAt = confirmedAt;
}

auto ObjectReplica::onPeerRefusal(Core::Version version, const std::string& reason) -> void
{
    const std::lock_guard lock(m_mutex);
    if (m_state.isSettled && version > m_state.current.version && version > m_state.refused.version)
        m_state.refused = { version, reason };
}

auto ObjectReplica::fetchFrom(const Core::Address& peer, Core::Version newerThan) -> void
{
    m_dependencies.port.fetch(peer, m_object, newerThan, m_timing.fetchTimeout,
        [weak = weak_from_this()](const Core::Result<FetchAnswer>& answer) {
            const auto self = weak.lock();
            if (!self)
                return;
            {
                const std::lock_guard lock(self->m_mutex);
                self->m_state.isFetching = false;
            }
            if (answer && *answer)
                self->processCopy(**answer);
        });
}

auto ObjectReplica::processCopy(const Ports::StoredObject& object) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_state.isSettled) {
            if (object.version > m_state.candidate.version)
                m_state.candidate = object;
            return;
        }
        if (object.version <= std::max(m_state.current.version, m_state.refused.version))
            return;
    }
    applyCopy(object);
}

auto ObjectReplica::applyCopy(const Ports::StoredObject& object) -> void
{
    const auto applied = m_dependencies.sink.apply(object);
    {
        const std::lock_guard lock(m_mutex);
        if (!applied) {
            if (object.version > m_state.refused.version)
                m_state.refused = { object.version, describe(applied.error()).substr(0, maximumReasonLength) };
        } else if (object.version > m_state.current.version) {
            Core::invariant(m_state.isSettled, "spread.nothing-in-force-before-settled");
            m_state.current = object;
            m_state.digest = digestOf(object.text);
            m_state.adoptedAt = m_dependencies.clock.now();
            m_state.confirmedAt.reset();
            if (m_state.refused.version <= object.version)
                m_state.refused = {};
        }
    }
    auto fields = eventFields(m_object, object.version);
    if (!applied)
        fields.push_back({ "error", describe(applied.error()) });
    m_dependencies.events.record({ applied ? replicaAdopted : replicaRefused, {}, std::move(fields) });
    if (applied)
        m_dependencies.coordinator.onAdopted(m_object);
}

} // namespace Replication
