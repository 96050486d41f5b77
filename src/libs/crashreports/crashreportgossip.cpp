#include "crashreports/crashreportgossip.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <utility>

namespace CrashReports {

namespace {

    /// Number of entry VMs that one entry VM sends a report to. Fleets with up to this many other entry VMs are
    /// informed directly.
    constexpr std::size_t fanOut = 16;

} // namespace

CrashReportGossip::CrashReportGossip(Dependencies dependencies, Core::EntryVmId self)
    : m_dependencies(dependencies)
    , m_self(std::move(self))
{
}

auto CrashReportGossip::publish(const Dispatch::CrashReport& crashReport, std::function<void()> done) -> void
{
    const auto targets = chooseTargets();
    if (targets.empty()) {
        done();
        return;
    }
    auto remaining = std::make_shared<std::atomic<std::size_t>>(targets.size());
    for (const auto& target : targets) {
        m_dependencies.sender.send(target, crashReport, [remaining, done] {
            if (--*remaining == 0)
                done();
        });
    }
}

auto CrashReportGossip::accept(const Dispatch::CrashReport& crashReport) -> void
{
    if (m_dependencies.quarantine.merge({ crashReport }, m_dependencies.clock.now()))
        publish(crashReport, [] {});
}

auto CrashReportGossip::chooseTargets() -> std::vector<Fleet::EntryVm>
{
    std::vector<Fleet::EntryVm> targets;
    const auto fleet = m_dependencies.fleet.current();
    for (const auto& vm : fleet->entryVms) {
        const auto member = m_dependencies.members.find(vm.id);
        const bool isSuspected = member && member->health == Membership::MemberHealth::Suspected;
        if (vm.id != m_self && !isSuspected)
            targets.push_back(vm);
    }
    // Partial Fisher-Yates shuffle: moves a random selection to the front if there are more targets than needed.
    for (std::size_t index = 0; targets.size() > fanOut && index < fanOut; ++index) {
        const auto choice = index + m_dependencies.random.next() % (targets.size() - index);
        std::swap(targets[index], targets[choice]);
    }
    targets.resize(std::min(targets.size(), fanOut));
    return targets;
}

} // namespace CrashReports
