#include "randomisedbookingrun.h"

#include <array>

namespace {

using Fakes::UpstreamBehaviour;

constexpr Core::Duration longestStep = Core::Millis(15);
constexpr std::size_t maximumOldKeys = 400;

auto limits() -> Ledger::LedgerLimits
{
    Ledger::LedgerLimits small;
    small.maximumRecords = 150;
    small.epochLifetime = std::chrono::seconds(3);
    small.epochGrace = std::chrono::seconds(1);
    small.retention = std::chrono::seconds(8);
    small.refreshInterval = Core::Millis(100);
    small.intentTimeout = Core::Millis(40);
    small.storeTimeout = Core::Millis(40);
    small.resolveTimeout = Core::Millis(60);
    return small;
}

} // namespace

RandomisedBookingRun::RandomisedBookingRun(std::uint64_t seed)
    : m_fleet(seed, size, limits())
{
    for (std::size_t index = 0; index < size; ++index)
        scriptUpstreams(index);
}

auto RandomisedBookingRun::run(Core::Duration duration) -> void
{
    const auto end = m_fleet.world.now() + duration;
    while (m_fleet.world.now() < end && m_fleet.checker.violations().empty())
        step();
}

auto RandomisedBookingRun::step() -> void
{
    auto& world = m_fleet.world;
    if (world.chance(0.5))
        sendNewKey();
    if (world.chance(0.4))
        sendOldKey();
    if (world.chance(0.02))
        injectProcessFault();
    if (world.chance(0.02))
        injectNetworkFault();
    if (world.chance(0.1))
        changeViews();
    world.runFor(world.between(Core::Duration(100), longestStep));
    countReplies();
}

auto RandomisedBookingRun::scriptUpstreams(std::size_t index) -> void
{
    auto& upstreams = m_fleet.node(index)->upstreams;
    upstreams.networkDelay = m_fleet.world.between(Core::Millis(1), Core::Millis(60));
    upstreams.behaviour = [this] {
        static constexpr std::array failures { UpstreamBehaviour::Shed, UpstreamBehaviour::CrashBeforeRun,
            UpstreamBehaviour::RunAndLoseAnswer };
        return m_fleet.world.chance(0.7) ? UpstreamBehaviour::Answer
                                         : failures.at(m_fleet.world.below(failures.size()));
    };
}

auto RandomisedBookingRun::sendNewKey() -> void
{
    const auto needsBackup = m_fleet.world.chance(0.85);
    if (auto key = m_fleet.freshKey(randomNode(), needsBackup)) {
        m_keys.push_back({ std::move(*key), needsBackup ? "booking" : "hold" });
        if (m_keys.size() > maximumOldKeys)
            m_keys.pop_front();
        send(m_keys.back(), 1 + m_fleet.world.below(3));
    }
}

auto RandomisedBookingRun::sendOldKey() -> void
{
    if (!m_keys.empty())
        send(m_keys.at(m_fleet.world.below(m_keys.size())), 1 + m_fleet.world.below(size));
}

auto RandomisedBookingRun::send(const SentKey& sent, std::size_t copies) -> void
{
    for (std::size_t copy = 0; copy < copies; ++copy) {
        const auto timeout = m_fleet.world.between(Core::Duration(0), Core::Millis(500));
        m_pending.push_back(m_fleet.send(randomNode(), sent.key, sent.service, timeout));
        ++m_sent;
    }
}

auto RandomisedBookingRun::injectProcessFault() -> void
{
    const auto index = randomNode();
    if (!m_fleet.node(index)) {
        m_fleet.start(index);
        scriptUpstreams(index);
    } else if (m_fleet.world.chance(0.3)) {
        m_fleet.crash(index);
    } else if (m_fleet.world.chance(0.5)) {
        m_fleet.pause(index);
    } else {
        m_fleet.resume(index);
    }
}

auto RandomisedBookingRun::injectNetworkFault() -> void
{
    auto& world = m_fleet.world;
    if (world.chance(0.5)) {
        world.heal();
        world.setFaults({});
    } else if (world.chance(0.5)) {
        m_fleet.cut(randomNode(), randomNode());
    } else {
        world.setFaults({ 0.15, 0.2, Core::Millis(1), Core::Millis(80) });
    }
}

auto RandomisedBookingRun::changeViews() -> void
{
    if (m_fleet.world.chance(0.7))
        m_fleet.updateView(randomNode());
    else if (m_fleet.world.chance(0.3))
        m_fleet.removeFromView(randomNode(), randomNode());
    else
        m_fleet.suspect(randomNode(), randomNode());
}

auto RandomisedBookingRun::countReplies() -> void
{
    std::erase_if(m_pending, [&](const Fakes::PendingReply& reply) {
        if (!*reply)
            return reply.use_count() == 1;
        const auto* refusal = std::get_if<Core::Refusal>(&**reply);
        m_answers += refusal == nullptr ? 1 : 0;
        m_unknowns += refusal != nullptr && refusal->outcome == Core::RunOutcome::Unknown ? 1 : 0;
        return true;
    });
}
