#include "quotas/organisationpermits.h"

#include <iomanip>
#include <sstream>
#include <utility>

namespace Quotas {

namespace {

    using Seconds = std::chrono::duration<double>;

    constexpr auto onePermit = Permits::ofWhole(1);
    /// A child that lacks permits asks again within this time.
    constexpr Core::Millis childNeedLifetime { 300 };
    /// Requests within this time make permits useful here.
    constexpr Core::Millis demandLifetime { 1500 };
    /// Time over which the rate of permits that are taken here is averaged.
    constexpr Core::Millis supplyInterval { 500 };
    /// Once a request has waited in vain, requests wait only if a permit is to be expected, for this time.
    constexpr Core::Millis scarceTime { 1000 };
    /// All VMs may have restarted together, so that no permits are there yet: a late answer is better than none.
    constexpr Core::Millis startTime { 2000 };
    constexpr Core::Millis startWait { 1000 };
    constexpr std::size_t maximumWaiters = 1024;
    /// Other VMs may leave this one permits although it took none lately.
    constexpr double lowestSupplyRate = 1;
    constexpr Core::Millis shortestQuestionDelay { 40 };
    constexpr Core::Millis longestQuestionDelay { 80 };
    constexpr Core::Millis idleSurplusDelay { 1000 };
    constexpr Core::Millis deferredSurplusDelay { 8000 };
    /// Permits of organisations that send little gather at the root by small amounts.
    constexpr Core::Millis smallSurplusDelay { 4000 };
    constexpr Core::Millis shortestRetry { 100 };
    constexpr Core::Millis longestRetry { 5000 };

    auto rounded(double value) -> std::string
    {
        std::ostringstream text;
        text << std::setprecision(3) << value;
        return text.str();
    }

    auto isWithin(Core::Duration time, Core::Instant from, Core::Instant now) -> bool
    {
        return from != Core::Instant::min() && now - from <= time;
    }

} // namespace

auto OrganisationPermits::setQuota(Core::OrganisationId organisation, const Organisations::Quota& quota, double held)
    -> void
{
    m_organisation = std::move(organisation);
    if (quota.rate > m_quota.rate) {
        // What came under the old limit says nothing about what to expect now.
        m_supplyRate = quota.rate;
        m_lastExpiry = Core::Instant::min();
    }
    m_quota = quota;
    m_held = held;
}

auto OrganisationPermits::refill(const FleetPart& part, Core::Instant now) -> void
{
    m_room = Permits::of(m_held * part.heldShare);
    if (m_startedAt == Core::Instant::min())
        m_startedAt = now;
    m_mintedRate = m_quota.rate * part.mintedShare;
    if (m_refilledAt != Core::Instant::min() && m_stock < m_room) {
        const double exact = m_mintedRate * Seconds(now - m_refilledAt).count() + m_unmintedPart;
        const auto minted = Permits::of(exact);
        m_unmintedPart = exact - minted.value();
        m_stock = std::min(m_room, m_stock + minted);
    }
    m_refilledAt = now;
}

auto OrganisationPermits::tryTake(Core::Instant now) -> std::optional<QuotaPermit>
{
    while (!m_returned.empty() && now - m_returned.front() > returnLifetime)
        m_returned.pop_front();
    QuotaPermit permit { m_organisation, now };
    if (!m_returned.empty()) {
        permit.takenAt = m_returned.front();
        m_returned.pop_front();
    } else if (m_stock >= onePermit) {
        m_stock -= onePermit;
    } else {
        return std::nullopt;
    }
    permit.returnableUntil = permit.takenAt + returnLifetime;
    ++m_counts.admitted;
    ++m_takenSinceRecord;
    return permit;
}

auto OrganisationPermits::recordSupply(Core::Instant now) -> void
{
    if (m_supplyRecordedAt == Core::Instant::min()) {
        m_supplyRate = m_quota.rate;
        m_supplyRecordedAt = now;
        return;
    }
    const auto elapsed = now - m_supplyRecordedAt;
    if (elapsed < supplyInterval)
        return;
    const auto rate = m_takenSinceRecord / Seconds(elapsed).count();
    m_supplyRate = (m_supplyRate + rate) / 2;
    m_takenSinceRecord = 0;
    m_supplyRecordedAt = now;
}

auto OrganisationPermits::mayWait(Core::Instant now) const -> bool
{
    if (m_waiters.size() >= maximumWaiters)
        return false;
    const auto expected = m_supplyRate * Seconds(maximumWait).count();
    return !isWithin(scarceTime, m_lastExpiry, now) || static_cast<double>(m_waiters.size()) < expected + 1;
}

auto OrganisationPermits::acquire(
    Core::Instant latest, QuotaGate::Callback callback, Core::Instant now, Decisions& decisions) -> void
{
    recordSupply(now);
    m_lastRequest = now;
    if (m_waiters.empty()) {
        if (const auto permit = tryTake(now)) {
            decisions.push_back({ std::move(callback), *permit });
            return;
        }
    }
    if (!mayWait(now)) {
        refuse(std::move(callback), decisions);
        return;
    }
    const auto wait = isWithin(startTime, m_startedAt, now) ? startWait : maximumWait;
    m_waiters.push_back({ std::min<Core::Instant>(latest, now + wait), std::move(callback) });
}

auto OrganisationPermits::refuse(QuotaGate::Callback callback, Decisions& decisions) -> void
{
    ++m_counts.refused;
    decisions.push_back({ std::move(callback), tl::unexpected(QuotaRefusal { retryAfter(), describe() }) });
}

auto OrganisationPermits::describe() const -> std::string
{
    return "quota " + rounded(m_quota.rate) + "/s and " + rounded(m_quota.burst) + ", minted here "
        + rounded(m_mintedRate) + "/s, got lately " + rounded(m_supplyRate) + "/s, held " + rounded(m_stock.value())
        + ", waiting " + std::to_string(m_waiters.size());
}

auto OrganisationPermits::retryAfter() const -> Core::Duration
{
    const auto rate = std::max(m_supplyRate, lowestSupplyRate);
    const Seconds wait(static_cast<double>(m_waiters.size() + 1) / rate);
    return std::clamp(
        std::chrono::duration_cast<Core::Duration>(wait), Core::Duration(shortestRetry), Core::Duration(longestRetry));
}

auto OrganisationPermits::giveBack(const QuotaPermit& permit, Core::Instant now, Decisions& decisions) -> void
{
    if (now - permit.takenAt > returnLifetime)
        return;
    const auto later
        = std::find_if(m_returned.begin(), m_returned.end(), [&](auto taken) { return taken > permit.takenAt; });
    m_returned.insert(later, permit.takenAt);
    serve(now, decisions);
}

auto OrganisationPermits::serve(Core::Instant now, Decisions& decisions) -> void
{
    while (!m_waiters.empty()) {
        auto permit = tryTake(now);
        if (!permit)
            break;
        decisions.push_back({ std::move(m_waiters.front().callback), std::move(*permit) });
        m_waiters.pop_front();
    }
    const auto expired = std::stable_partition(
        m_waiters.begin(), m_waiters.end(), [now](const Waiter& waiter) { return waiter.until > now; });
    for (auto waiter = expired; waiter != m_waiters.end(); ++waiter) {
        m_lastExpiry = now;
        refuse(std::move(waiter->callback), decisions);
    }
    m_waiters.erase(expired, m_waiters.end());
}

auto OrganisationPermits::waiting() const -> Permits
{
    return Permits::ofWhole(static_cast<std::int64_t>(m_waiters.size()));
}

auto OrganisationPermits::childNeeds(Core::Instant now) const -> Permits
{
    Permits sum;
    for (const auto& [child, need] : m_childNeeds) {
        if (isWithin(childNeedLifetime, need.at, now))
            sum += need.lacking;
    }
    // Two VMs that take each other for their parent would drive their needs up without end otherwise.
    return std::min(sum, Permits::of(m_held));
}

auto OrganisationPermits::lacking(Core::Instant now) const -> Permits
{
    return (waiting() + childNeeds(now) - m_stock).notNegative();
}

auto OrganisationPermits::exchange(
    const Core::EntryVmId& child, const PermitOffer& offer, Core::Instant now, Decisions& decisions) -> Permits
{
    m_stock += offer.given;
    serve(now, decisions);
    const auto granted = grant(child, offer.needed, now);
    const auto returned = std::min(offer.given, (m_stock - limit(now)).notNegative());
    m_stock -= returned;
    return granted + returned;
}

auto OrganisationPermits::addGrant(Permits granted, Core::Instant now) -> void
{
    recordSupply(now);
    m_stock += granted;
    if (granted > Permits())
        m_questionDelay = shortestQuestionDelay;
}

auto OrganisationPermits::takeQuestion(Core::Instant now) -> std::optional<PermitOffer>
{
    if (lacking(now) <= Permits() || now < m_nextQuestion)
        return std::nullopt;
    const bool isFirst = m_nextQuestion == Core::Instant::min() || now - m_nextQuestion > longestQuestionDelay;
    m_questionDelay = isFirst ? Core::Duration(shortestQuestionDelay)
                              : std::min<Core::Duration>(2 * m_questionDelay, longestQuestionDelay);
    m_nextQuestion = now + m_questionDelay;
    const auto given = std::min(m_stock, Permits::mostMoved());
    m_stock -= given;
    return PermitOffer { m_organisation, given, std::min(waiting() + childNeeds(now), Permits::mostMoved()) };
}

auto OrganisationPermits::releaseAll(Core::Instant now, Decisions& decisions) -> void
{
    for (auto& waiter : m_waiters)
        decisions.push_back({ std::move(waiter.callback), QuotaPermit { m_organisation, now } });
    m_waiters.clear();
}

auto OrganisationPermits::grant(const Core::EntryVmId& child, Permits needed, Core::Instant now) -> Permits
{
    if (needed <= Permits()) {
        m_childNeeds.erase(child);
        return {};
    }
    const auto missing = (needed - m_stock).notNegative();
    const auto granted = (needed - missing.roundedUp()).notNegative();
    m_stock -= granted;
    if (granted < needed)
        m_childNeeds[child] = { needed - granted, now };
    else
        m_childNeeds.erase(child);
    return granted;
}

auto OrganisationPermits::hasRecentDemand(Core::Instant now) const -> bool
{
    return isWithin(demandLifetime, m_lastRequest, now);
}

auto OrganisationPermits::half() const -> Permits { return Permits::ofUnits(m_room.units() / 2); }

auto OrganisationPermits::takeSurplus(bool isScarce, Core::Instant now) -> Permits
{
    if (!m_waiters.empty() || childNeeds(now) > Permits())
        return {};
    // What is minted into a full bucket would be lost, so it is emptied before.
    if (isScarce && hasRecentDemand(now) && m_stock < half())
        return {};
    m_nextIdleSurplus = now + idleSurplusDelay;
    m_nextSmallSurplus = now + smallSurplusDelay;
    const auto kept = hasRecentDemand(now) && half() >= onePermit ? half() : Permits();
    const auto given = std::min((m_stock - kept).notNegative(), Permits::mostMoved());
    m_stock -= given;
    return given;
}

auto OrganisationPermits::hasIdleSurplus(Core::Instant now) const -> bool
{
    if (m_stock <= Permits() || now < m_nextIdleSurplus)
        return false;
    return m_stock >= half() || now >= m_nextSmallSurplus;
}

auto OrganisationPermits::deferIdleSurplus(Core::Instant now) -> void
{
    m_nextIdleSurplus = now + deferredSurplusDelay;
}

auto OrganisationPermits::trim(Core::Instant now) -> void
{
    m_stock = std::min(m_stock, limit(now));
    std::erase_if(m_childNeeds, [now](const auto& item) { return !isWithin(childNeedLifetime, item.second.at, now); });
}

} // namespace Quotas
