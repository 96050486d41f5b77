#include "suspicion/suspicionspread.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <utility>

namespace Suspicion {

namespace {

    /// Entry VMs that one entry VM tells; a fleet up to this size is told directly.
    constexpr std::size_t fanOut = 16;

} // namespace

SuspicionSpread::SuspicionSpread(Collaborators collaborators, Core::EntryVmId self)
    : m_collaborators(collaborators)
    , m_self(std::move(self))
{
}

auto SuspicionSpread::announce(const Dispatch::CrashSuspicion& suspicion, std::function<void()> done) -> void
{
    const auto targets = chooseTargets();
    if (targets.empty()) {
        done();
        return;
    }
    auto remaining = std::make_shared<std::atomic<std::size_t>>(targets.size());
    for (const auto& target : targets) {
        m_collaborators.port.send(target, suspicion, [remaining, done] {
            if (--*remaining == 0)
                done();
        });
    }
}

auto SuspicionSpread::accept(const Dispatch::CrashSuspicion& suspicion) -> void
{
    if (m_collaborators.quarantine.merge({ suspicion }, m_collaborators.clock.now()))
        announce(suspicion, [] {});
}

auto SuspicionSpread::chooseTargets() -> std::vector<Fleet::EntryVm>
{
    std::vector<Fleet::EntryVm> targets;
    const auto fleet = m_collaborators.fleet.current();
    for (const auto& vm : fleet->entryVms) {
        const auto member = m_collaborators.members.find(vm.id);
        const bool isSuspected = member && member->health == Membership::MemberHealth::Suspected;
        if (vm.id != m_self && !isSuspected)
            targets.push_back(vm);
    }
    // Moves a random choice to the front, as far as it is needed.
    for (std::size_t index = 0; targets.size() > fanOut && index < fanOut; ++index) {
        const auto choice = index + m_collaborators.random.next() % (targets.size() - index);
        std::swap(targets[index], targets[choice]);
    }
    targets.resize(std::min(targets.size(), fanOut));
    return targets;
}

} // namespace Suspicion
