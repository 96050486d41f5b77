#include "crashreports/quarantinesync.h"

#include <algorithm>
#include <iterator>

namespace CrashReports {

namespace {

    /// Number of digests of others that are remembered.
    constexpr std::size_t maximumExamined = 64;

} // namespace

QuarantineSync::QuarantineSync(Environment environment)
    : m_environment(environment)
    , m_absentUntil(environment.clock.now())
{
}

auto QuarantineSync::catchUp() -> void
{
    const auto now = m_environment.clock.now();
    const std::lock_guard lock(m_mutex);
    m_absentUntil = now;
    m_hasCaughtUp = false;
    m_examined.clear();
}

auto QuarantineSync::digest() -> Dispatch::QuarantineDigest
{
    const auto digest = m_environment.quarantine.summary(m_environment.clock.now()).digest;
    const std::lock_guard lock(m_mutex);
    m_digest = digest;
    return digest;
}

auto QuarantineSync::requests() const -> std::size_t
{
    return m_environment.quarantine.summary(m_environment.clock.now()).requests;
}

auto QuarantineSync::isOfInterest(Dispatch::QuarantineDigest digest) const -> bool
{
    return digest != m_digest && std::find(m_examined.begin(), m_examined.end(), digest) == m_examined.end();
}

auto QuarantineSync::receive(const Core::Address& entryVm, Dispatch::QuarantineDigest digest) -> void
{
    const std::lock_guard lock(m_mutex);
    if (m_isFetching || m_position || !isOfInterest(digest))
        return;
    // Each of the VMs that differ becomes the source with the same probability.
    if (m_environment.random.next() % ++m_candidates == 0)
        m_source = { entryVm, digest };
    if (m_timer)
        return;
    const auto choice = Core::Duration(choiceTime).count();
    const auto delay
        = static_cast<Core::Duration::rep>(m_environment.random.next() % static_cast<std::uint64_t>(choice));
    schedule(Core::Duration(delay));
}

auto QuarantineSync::schedule(Core::Duration delay) -> void
{
    const auto untilNextFetch = m_nextFetch - m_environment.clock.now();
    m_timer = m_environment.scheduler.after(std::max(delay, untilNextFetch), [this] { fetch(); });
}

auto QuarantineSync::fetch() -> void
{
    const auto own = digest();
    const auto now = m_environment.clock.now();
    Source source;
    std::optional<Dispatch::RequestFingerprint> position;
    {
        const std::lock_guard lock(m_mutex);
        m_timer.reset();
        m_candidates = 0;
        if (!m_position && m_source.digest == own)
            return;
        m_isFetching = true;
        m_nextFetch = now + fetchInterval;
        ++m_counts.fetched;
        source = m_source;
        position = m_position;
    }
    m_environment.port.fetch(source.address, position,
        [this, source, now](const Core::Result<QuarantinePage>& page) { handlePage(source, now, page); });
}

auto QuarantineSync::handlePage(const Source& source, Core::Instant askedAt, const Core::Result<QuarantinePage>& page)
    -> void
{
    if (!page) {
        m_environment.events.record({ Ports::EventKind("request-content.not-told"), {},
            { { "vm", source.address.value() }, { "detail", describe(page.error()) } } });
    } else {
        // The ages were taken after the page was asked for: counted from then, no quarantine lasts longer than at the
        // source.
        (void)m_environment.quarantine.merge(select(page->reports, askedAt), askedAt);
    }
    (void)digest();
    const std::lock_guard lock(m_mutex);
    m_isFetching = false;
    proceed(source, page);
}

auto QuarantineSync::select(const std::vector<Dispatch::CrashReport>& reports, Core::Instant askedAt) const
    -> std::vector<Dispatch::CrashReport>
{
    const std::lock_guard lock(m_mutex);
    std::vector<Dispatch::CrashReport> selected;
    std::copy_if(reports.begin(), reports.end(), std::back_inserter(selected), [&](const auto& report) {
        const bool isNews = report.firstAge <= newsTime;
        const bool wasMissed = !m_hasCaughtUp && askedAt - report.age <= m_absentUntil;
        return isNews || wasMissed;
    });
    return selected;
}

auto QuarantineSync::proceed(const Source& source, const Core::Result<QuarantinePage>& page) -> void
{
    m_position.reset();
    if (!page)
        return;
    if (!page->isLast && !page->reports.empty()) {
        m_position = page->reports.back().fingerprint;
        schedule({});
        return;
    }
    m_hasCaughtUp = true;
    m_examined.push_back(source.digest);
    if (m_examined.size() > maximumExamined)
        m_examined.pop_front();
}

auto QuarantineSync::mayServe(Core::Instant now) -> bool
{
    if (now - m_servingSince >= fetchInterval) {
        m_servingSince = now;
        m_pagesServed = 0;
        m_reportsServed = 0;
    }
    return m_pagesServed < maximumPagesServed && m_reportsServed < maximumReportsServed;
}

auto QuarantineSync::page(const std::optional<Dispatch::RequestFingerprint>& after) -> Core::Result<QuarantinePage>
{
    const auto now = m_environment.clock.now();
    auto reports = m_environment.quarantine.quarantined(after, QuarantinePage::maximumReports, now);
    const bool isLast = reports.size() < QuarantinePage::maximumReports;
    const std::lock_guard lock(m_mutex);
    if (!mayServe(now))
        return Core::fail(Core::ErrorKind::Unavailable, "too many VMs ask for the quarantined requests at once",
            "ask another VM, or later");
    ++m_pagesServed;
    ++m_counts.served;
    m_reportsServed += reports.size();
    return QuarantinePage { std::move(reports), isLast };
}

auto QuarantineSync::counts() const -> Counts
{
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

} // namespace CrashReports
