#include "spread/objectreplica.h"

#include "core/invariant.h"

#include <algorithm>

namespace Spread {

namespace {

    const Ports::EventKind replicaSettled { "replica.settled" };
    const Ports::EventKind replicaAdopted { "replica.adopted" };
    const Ports::EventKind replicaRefused { "replica.refused" };

    /// A reason travels with each heartbeat while it lasts.
    constexpr std::size_t maximumReasonLength = 500;

    auto eventFields(ReplicatedObject object, Core::Version version) -> std::vector<Ports::EventField>
    {
        return { { "object", storeName(object) }, { "version", std::to_string(version.value()) } };
    }

    // FNV-1a; tells two texts with one version apart.
    auto digestOf(const std::string& text) -> std::uint64_t
    {
        std::uint64_t hash = 0xcbf29ce484222325U;
        for (const char character : text)
            hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3U;
        return hash;
    }

} // namespace

auto storeName(ReplicatedObject object) -> std::string
{
    return object == ReplicatedObject::SteeringDocument ? "steering/document" : "fleet/list";
}

ObjectReplica::ObjectReplica(Collaborators collaborators, ReplicatedObject object, ReplicaTiming timing)
    : m_collaborators(collaborators)
    , m_object(object)
    , m_timing(timing)
{
}

auto ObjectReplica::start() -> void
{
    {
        const std::lock_guard lock(m_mutex);
        m_state.startedAt = m_collaborators.clock.now();
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
    return { m_state.held.version, m_state.digest, m_state.adoptedAt, m_state.confirmedAt, m_state.refused };
}

auto ObjectReplica::answerFetch(Core::Version newerThan) const -> FetchAnswer
{
    const std::lock_guard lock(m_mutex);
    if (m_state.held.version <= newerThan)
        return std::nullopt;
    return m_state.held;
}

auto ObjectReplica::tick() -> void
{
    askStoreIfDue(m_collaborators.duty.watchDuty(m_object));
    askStartupPeers();
    settleIfComplete();
    const std::lock_guard lock(m_mutex);
    if (m_state.isStopped)
        return;
    m_state.timer = m_collaborators.scheduler.after(m_timing.tick, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->tick();
    });
}

auto ObjectReplica::askStoreIfDue(WatchDuty duty) -> void
{
    const auto now = m_collaborators.clock.now();
    std::uint64_t call = 0;
    bool isRead = false;
    Core::Version after;
    {
        const std::lock_guard lock(m_mutex);
        if (m_state.isStopped || (m_state.isSettled && duty == WatchDuty::None))
            return;
        if (m_state.isCallingStore && now - m_state.storeCallStarted < m_timing.storeCallLimit)
            return;
        isRead = !m_state.isSettled || (duty == WatchDuty::WatchAndRead && m_state.isReadNext);
        m_state.isReadNext = !isRead;
        m_state.isCallingStore = true;
        m_state.storeCallStarted = now;
        call = ++m_state.storeCall;
        after = std::max(m_state.held.version, m_state.refused.version);
    }
    auto answered = [weak = weak_from_this(), call, isRead](const Core::Result<Ports::StoredObject>& result) {
        if (const auto self = weak.lock())
            self->storeAnswered(call, isRead, result);
    };
    if (isRead)
        m_collaborators.store.read(storeName(m_object), std::move(answered));
    else
        m_collaborators.store.watch(storeName(m_object), after, m_timing.watchTimeout, std::move(answered));
}

auto ObjectReplica::storeAnswered(std::uint64_t call, bool isRead, const Core::Result<Ports::StoredObject>& result)
    -> void
{
    const bool isMissing = !result && result.error().kind == Core::ErrorKind::NotFound;
    const bool isQuietWatch = !isRead && !result && result.error().kind == Core::ErrorKind::Timeout;
    {
        const std::lock_guard lock(m_mutex);
        if (call == m_state.storeCall)
            m_state.isCallingStore = false;
        if (!result && !isMissing && !isQuietWatch)
            m_state.hasStoreFailed = true;
    }
    if (result)
        offer(*result);
    if (result || isMissing)
        settle();
    if (result) {
        const std::lock_guard lock(m_mutex);
        if (result->version == m_state.held.version)
            m_state.confirmedAt = m_collaborators.clock.now();
    }
    // The next watch follows at once, so that no change waits for the tick; a failed call waits.
    if (result || isQuietWatch)
        askStoreIfDue(m_collaborators.duty.watchDuty(m_object));
}

auto ObjectReplica::askStartupPeers() -> void
{
    std::set<Core::Address> peers;
    {
        const std::lock_guard lock(m_mutex);
        if (m_state.isSettled || m_state.isStopped)
            return;
    }
    peers = m_collaborators.duty.startupPeers();
    std::vector<Core::Address> next;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& peer : peers) {
            if (m_state.asked.size() < m_timing.startupPeers && m_state.asked.insert(peer).second) {
                m_state.unanswered.insert(peer);
                next.push_back(peer);
            }
        }
    }
    for (const auto& peer : next)
        askStartupPeer(peer, 1);
}

auto ObjectReplica::askStartupPeer(const Core::Address& peer, std::size_t attempt) -> void
{
    m_collaborators.port.fetch(peer, m_object, Core::Version(0), m_timing.fetchTimeout,
        [weak = weak_from_this(), peer, attempt](const Core::Result<FetchAnswer>& answer) {
            const auto self = weak.lock();
            if (!self)
                return;
            // A lost message must not make a version that a peer holds unknown to this process.
            if (!answer && attempt < self->m_timing.startupAttempts) {
                self->askStartupPeer(peer, attempt + 1);
                return;
            }
            if (answer && *answer)
                self->offer(**answer);
            const std::lock_guard lock(self->m_mutex);
            self->m_state.unanswered.erase(peer);
        });
}

auto ObjectReplica::settleIfComplete() -> void
{
    const auto now = m_collaborators.clock.now();
    {
        const std::lock_guard lock(m_mutex);
        const bool isStoreAway = m_state.hasStoreFailed || now - m_state.startedAt > m_timing.storePatience;
        if (m_state.isSettled || !isStoreAway || !m_state.unanswered.empty())
            return;
        if (m_state.candidate.version == Core::Version(0)) {
            // Nobody knew a version; they are asked again.
            m_state.asked.clear();
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
    m_collaborators.events.record({ replicaSettled, {}, eventFields(m_object, candidate.version) });
    if (candidate.version > Core::Version(0))
        putInForce(candidate);
}

auto ObjectReplica::peerHolds(const Core::Address& peer, Core::Version version) -> void
{
    Core::Version known;
    {
        const std::lock_guard lock(m_mutex);
        known = std::max({ m_state.held.version, m_state.candidate.version, m_state.refused.version });
        if (m_state.isStopped || m_state.isFetching || version <= known)
            return;
        m_state.isFetching = true;
    }
    fetchFrom(peer, known);
}

auto ObjectReplica::peerConfirmed(Core::Version version, Core::Instant confirmedAt) -> void
{
    const std::lock_guard lock(m_mutex);
    if (version == m_state.held.version && (!m_state.confirmedAt || *m_state.confirmedAt < confirmedAt))
        m_state.confirmedAt = confirmedAt;
}

auto ObjectReplica::peerRefused(Core::Version version, const std::string& reason) -> void
{
    const std::lock_guard lock(m_mutex);
    if (m_state.isSettled && version > m_state.held.version && version > m_state.refused.version)
        m_state.refused = { version, reason };
}

auto ObjectReplica::fetchFrom(const Core::Address& peer, Core::Version newerThan) -> void
{
    m_collaborators.port.fetch(peer, m_object, newerThan, m_timing.fetchTimeout,
        [weak = weak_from_this()](const Core::Result<FetchAnswer>& answer) {
            const auto self = weak.lock();
            if (!self)
                return;
            {
                const std::lock_guard lock(self->m_mutex);
                self->m_state.isFetching = false;
            }
            if (answer && *answer)
                self->offer(**answer);
        });
}

auto ObjectReplica::offer(const Ports::StoredObject& object) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_state.isSettled) {
            if (object.version > m_state.candidate.version)
                m_state.candidate = object;
            return;
        }
        if (object.version <= std::max(m_state.held.version, m_state.refused.version))
            return;
    }
    putInForce(object);
}

auto ObjectReplica::putInForce(const Ports::StoredObject& object) -> void
{
    const auto taken = m_collaborators.sink.take(object);
    {
        const std::lock_guard lock(m_mutex);
        if (!taken) {
            if (object.version > m_state.refused.version)
                m_state.refused = { object.version, describe(taken.error()).substr(0, maximumReasonLength) };
        } else if (object.version > m_state.held.version) {
            Core::invariant(m_state.isSettled, "spread.nothing-in-force-before-settled");
            m_state.held = object;
            m_state.digest = digestOf(object.text);
            m_state.adoptedAt = m_collaborators.clock.now();
            m_state.confirmedAt.reset();
            if (m_state.refused.version <= object.version)
                m_state.refused = {};
        }
    }
    auto fields = eventFields(m_object, object.version);
    if (!taken)
        fields.push_back({ "error", describe(taken.error()) });
    m_collaborators.events.record({ taken ? replicaAdopted : replicaRefused, {}, std::move(fields) });
    if (taken)
        m_collaborators.duty.adopted(m_object);
}

} // namespace Spread
