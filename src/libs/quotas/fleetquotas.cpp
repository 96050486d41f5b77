#include "quotas/fleetquotas.h"

namespace Quotas {

namespace {

    /// A message goes to the parent at least this often, so that the parent keeps the room of this VM.
    constexpr Core::Millis keepAliveInterval { 500 };
    /// Largest number of organisations of which a message moves surplus permits that nobody is known to lack.
    constexpr std::size_t maximumIdleOffers = 64;
    constexpr int maximumOpenMessages = 3;

} // namespace

FleetQuotas::FleetQuotas(
    const TreeMember& self, Core::ProcessStartId start, const QuotaBounds& bounds, Environment environment)
    : m_bounds(bounds)
    , m_environment(environment)
    , m_neighbours(self, start)
{
}

FleetQuotas::~FleetQuotas() = default;

auto FleetQuotas::run(Decisions decisions) -> void
{
    for (auto& decision : decisions)
        decision.callback(std::move(decision.result));
}

auto FleetQuotas::setOrganisations(const Organisations::OrganisationDirectory& directory) -> void
{
    const auto now = m_environment.clock.now();
    const auto part = m_neighbours.part(now);
    Decisions decisions;
    m_organisations.forEach([&](PermitsById& permitsById) {
        for (auto item = permitsById.begin(); item != permitsById.end();) {
            const auto found = directory.organisations().find(item->first);
            if (found != directory.organisations().end() && found->second->quota) {
                ++item;
                continue;
            }
            item->second.releaseAll(now, decisions);
            item = permitsById.erase(item);
        }
    });
    bool hasQuotas = false;
    for (const auto& [id, organisation] : directory.organisations()) {
        if (!organisation->quota)
            continue;
        hasQuotas = true;
        m_organisations.with(id, [&, &id = id, &organisation = organisation](PermitsById& permitsById) {
            auto& permits = permitsById[id];
            permits.setQuota(id, *organisation->quota, heldTogether(*organisation->quota, m_bounds));
            permits.refill(part, now);
            permits.trim(now);
        });
    }
    if (hasQuotas)
        startMoving();
    if (decisions.empty())
        return;
    // The caller may hold a lock, and waits to put the configuration in force.
    m_environment.scheduler.post(
        [decisions = std::make_shared<Decisions>(std::move(decisions))] { run(std::move(*decisions)); });
}

auto FleetQuotas::setMembers(std::vector<TreeMember> members) -> void
{
    m_neighbours.setMembers(std::move(members), m_environment.clock.now());
}

auto FleetQuotas::acquire(
    const Organisations::OrganisationPointer& organisation, Core::Instant latest, Callback callback) -> void
{
    const auto now = m_environment.clock.now();
    const auto part = m_neighbours.part(now);
    Decisions decisions;
    const bool isWaiting = m_organisations.with(organisation->id, [&](PermitsById& permitsById) {
        const auto found = permitsById.find(organisation->id);
        if (found == permitsById.end()) {
            // The configuration of this request is no longer in force.
            decisions.push_back({ std::move(callback), QuotaPermit { organisation->id, now } });
            return false;
        }
        found->second.refill(part, now);
        found->second.acquire(latest, std::move(callback), now, decisions);
        return found->second.hasWaiters();
    });
    run(std::move(decisions));
    if (isWaiting)
        addNeedy(organisation->id);
}

auto FleetQuotas::giveBack(const QuotaPermit& permit) -> void
{
    const auto now = m_environment.clock.now();
    Decisions decisions;
    m_organisations.with(permit.organisation, [&](PermitsById& permitsById) {
        if (const auto found = permitsById.find(permit.organisation); found != permitsById.end())
            found->second.giveBack(permit, now, decisions);
    });
    run(std::move(decisions));
}

auto FleetQuotas::startMoving() -> void
{
    const std::lock_guard lock(m_mutex);
    if (!m_moveTimer)
        scheduleMove();
}

auto FleetQuotas::scheduleMove() -> void
{
    m_moveTimer = m_environment.scheduler.after(moveInterval, [this] {
        {
            const std::lock_guard lock(m_mutex);
            scheduleMove();
        }
        move();
    });
}

auto FleetQuotas::move() -> void
{
    probe();
    const auto now = m_environment.clock.now();
    const auto parent = m_neighbours.parent();
    recordParent(parent ? parent->id.value() : "none");
    const auto surplus = refillAll();
    if (!parent || m_openMessages >= maximumOpenMessages)
        return;
    auto offers = takeSurplus(surplus.scarce, true);
    bool isDue = false;
    {
        const std::lock_guard lock(m_mutex);
        isDue = now - m_lastSent >= keepAliveInterval;
    }
    if (isDue) {
        auto idle = takeSurplus(surplus.idle, false);
        offers.insert(offers.end(), std::make_move_iterator(idle.begin()), std::make_move_iterator(idle.end()));
    }
    if (isDue || !offers.empty())
        send(*parent, std::move(offers));
}

auto FleetQuotas::refillAll() -> Surplus
{
    const auto now = m_environment.clock.now();
    const auto part = m_neighbours.part(now);
    Decisions decisions;
    Surplus surplus;
    m_organisations.forEach([&](PermitsById& permitsById) {
        for (auto& [id, permits] : permitsById) {
            permits.refill(part, now);
            permits.serve(now, decisions);
            permits.trim(now);
            if (m_neighbours.isScarce(id, now))
                surplus.scarce.insert(id);
            else if (permits.hasIdleSurplus(now))
                surplus.idle.insert(id);
        }
    });
    run(std::move(decisions));
    return surplus;
}

auto FleetQuotas::takeSurplus(const std::set<Core::OrganisationId>& organisations, bool areScarce)
    -> std::vector<PermitOffer>
{
    const auto now = m_environment.clock.now();
    const auto limit = areScarce ? maximumOffers - maximumIdleOffers : maximumIdleOffers;
    auto& last = areScarce ? m_lastScarce : m_lastIdle;
    std::vector<PermitOffer> offers;
    const std::lock_guard lock(m_mutex);
    auto next = organisations.upper_bound(last);
    for (std::size_t count = 0; count < organisations.size() && offers.size() < limit; ++count) {
        if (next == organisations.end())
            next = organisations.begin();
        last = *next++;
        const auto given = m_organisations.with(last, [&](PermitsById& permitsById) {
            const auto found = permitsById.find(last);
            return found == permitsById.end() ? Permits() : found->second.takeSurplus(areScarce, now);
        });
        if (given > Permits())
            offers.push_back({ last, given, {} });
    }
    return offers;
}

auto FleetQuotas::addNeedy(const Core::OrganisationId& organisation) -> void
{
    const std::lock_guard lock(m_mutex);
    m_needy.insert(organisation);
    if (!m_askTimer)
        scheduleAsk();
}

auto FleetQuotas::scheduleAsk() -> void
{
    m_askTimer = m_environment.scheduler.after(askInterval, [this] { ask(); });
}

auto FleetQuotas::ask() -> void
{
    const auto parent = m_neighbours.parent();
    std::set<Core::OrganisationId> needy;
    {
        const std::lock_guard lock(m_mutex);
        needy.swap(m_needy);
    }
    const bool mayAsk = parent && m_openMessages < maximumOpenMessages;
    std::vector<PermitOffer> offers;
    Decisions decisions;
    std::erase_if(needy, [&](const Core::OrganisationId& id) { return !serveNeedy(id, mayAsk, offers, decisions); });
    run(std::move(decisions));
    if (!offers.empty())
        send(*parent, std::move(offers));
    const std::lock_guard lock(m_mutex);
    m_needy.merge(needy);
    if (m_needy.empty())
        m_askTimer.reset();
    else
        scheduleAsk();
}

auto FleetQuotas::serveNeedy(const Core::OrganisationId& organisation, bool mayAsk, std::vector<PermitOffer>& offers,
    Decisions& decisions) -> bool
{
    const auto now = m_environment.clock.now();
    const auto part = m_neighbours.part(now);
    return m_organisations.with(organisation, [&](PermitsById& permitsById) {
        const auto found = permitsById.find(organisation);
        if (found == permitsById.end())
            return false;
        auto& permits = found->second;
        permits.refill(part, now);
        permits.serve(now, decisions);
        if (mayAsk && offers.size() < maximumOffers) {
            if (auto question = permits.takeQuestion(now))
                offers.push_back(std::move(*question));
        }
        return permits.hasWaiters() || permits.lacking(now) > Permits();
    });
}

auto FleetQuotas::send(const TreeMember& parent, std::vector<PermitOffer> offers) -> void
{
    const auto now = m_environment.clock.now();
    auto message = m_neighbours.nextMessage(true, now);
    {
        const std::lock_guard lock(m_mutex);
        m_lastSent = now;
    }
    ++m_openMessages;
    ++m_sentMessages;
    message.offers = offers;
    m_environment.port.send(parent.peers, message,
        [this, id = parent.id, offers = std::move(offers)](const Core::Result<PermitReply>& reply) {
            --m_openMessages;
            onReply(id, offers, reply);
        });
}

auto FleetQuotas::probe() -> void
{
    const auto now = m_environment.clock.now();
    for (const auto& vm : m_neighbours.takeProbes(now)) {
        ++m_sentMessages;
        m_environment.port.send(vm.peers, m_neighbours.nextMessage(false, now),
            [this, id = vm.id](const Core::Result<PermitReply>& reply) { onReply(id, {}, reply); });
    }
}

auto FleetQuotas::onReply(const Core::EntryVmId& parent, const std::vector<PermitOffer>& offers,
    const Core::Result<PermitReply>& reply) -> void
{
    const auto now = m_environment.clock.now();
    if (!reply) {
        m_neighbours.noteSilence(parent, now);
        if (reply.error().kind != Core::ErrorKind::Unreachable)
            return;
        for (const auto& offer : offers)
            applyGrant({ offer.organisation, offer.given }, false);
        return;
    }
    m_neighbours.noteAnswer(parent, now);
    m_neighbours.noteVmCount(reply->vmCount, now);
    for (const auto& organisation : reply->scarce)
        m_neighbours.markScarce(organisation, now);
    for (const auto& grant : reply->grants) {
        const bool hasGiven = std::any_of(offers.begin(), offers.end(), [&grant](const PermitOffer& offer) {
            return offer.organisation == grant.organisation && offer.needed <= Permits();
        });
        applyGrant(grant, hasGiven);
    }
}

auto FleetQuotas::applyGrant(const PermitGrant& grant, bool hasGiven) -> void
{
    const auto now = m_environment.clock.now();
    Decisions decisions;
    m_organisations.with(grant.organisation, [&](PermitsById& permitsById) {
        const auto found = permitsById.find(grant.organisation);
        if (found == permitsById.end())
            return;
        found->second.addGrant(grant.granted, now);
        found->second.serve(now, decisions);
        found->second.trim(now);
        if (hasGiven)
            found->second.deferIdleSurplus(now);
    });
    run(std::move(decisions));
}

auto FleetQuotas::receive(const PermitMessage& message) -> PermitReply
{
    const auto now = m_environment.clock.now();
    PermitReply reply;
    reply.vmCount = m_neighbours.vmCount();
    if (!m_neighbours.noteChild(message, now))
        return reply;
    m_neighbours.noteAnswer(message.sender, now);
    m_neighbours.noteVmCount(message.vmCount, now);
    Decisions decisions;
    for (const auto& offer : message.offers) {
        if (const auto granted = answer(message.sender, offer, decisions); granted > Permits())
            reply.grants.push_back({ offer.organisation, granted });
    }
    run(std::move(decisions));
    reply.scarce = m_neighbours.takeScarce(message.sender, now);
    return reply;
}

auto FleetQuotas::answer(const Core::EntryVmId& child, const PermitOffer& offer, Decisions& decisions) -> Permits
{
    const auto now = m_environment.clock.now();
    const auto part = m_neighbours.part(now);
    bool isLacking = false;
    const auto toChild = m_organisations.with(offer.organisation, [&](PermitsById& permitsById) {
        const auto found = permitsById.find(offer.organisation);
        if (found == permitsById.end())
            return offer.given;
        auto& permits = found->second;
        permits.refill(part, now);
        const auto moved = permits.exchange(child, offer, now, decisions);
        isLacking = permits.lacking(now) > Permits();
        if (offer.needed > Permits() && (isLacking || permits.stock() < Permits::ofUnits(permits.room().units() / 2)))
            m_neighbours.markScarce(offer.organisation, now);
        return moved;
    });
    if (isLacking)
        addNeedy(offer.organisation);
    return toChild;
}

auto FleetQuotas::recordParent(const std::string& parent) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_recordedParent == parent)
            return;
        m_recordedParent = parent;
    }
    m_environment.events.record({ Ports::EventKind("quota.parent"), {},
        { { "vm", parent }, { "vms", std::to_string(m_neighbours.vmCount()) } } });
}

auto FleetQuotas::states(std::size_t limit) const -> std::vector<OrganisationState>
{
    std::vector<OrganisationState> result;
    m_organisations.forEach([&result](const PermitsById& permitsById) {
        for (const auto& [id, permits] : permitsById)
            result.push_back({ id, permits.counts(), permits.stock() });
    });
    const auto requests = [](const OrganisationState& state) { return state.counts.admitted + state.counts.refused; };
    std::sort(result.begin(), result.end(), [&requests](const OrganisationState& one, const OrganisationState& other) {
        return std::pair(requests(one), one.organisation) > std::pair(requests(other), other.organisation);
    });
    result.resize(std::min(limit, result.size()));
    return result;
}

} // namespace Quotas
