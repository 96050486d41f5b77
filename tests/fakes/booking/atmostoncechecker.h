#pragma once

#include "dispatch/dispatcher.h"
#include "fakes/virtualworld.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Fakes {

enum class UpstreamBehaviour : std::uint8_t { Answer, Shed, CrashBeforeRun, RunAndLoseAnswer, Hold };

/// Records the runs at the upstreams and the replies to the callers, and checks them against each other: a key runs at
/// most once, a key reported as not run never runs, and an answer belongs to its key.
class AtMostOnceChecker {
public:
    auto recordRun(const std::string& key) -> std::string;
    auto recordReply(const std::string& key, const Core::Reply& reply) -> void;
    [[nodiscard]] auto runs(const std::string& key) const -> std::size_t;
    [[nodiscard]] auto totalRuns() const -> std::size_t { return m_runs.size(); }
    [[nodiscard]] auto notRunCount() const -> std::size_t { return m_notRun.size(); }
    /// Returns one line for each violation.
    [[nodiscard]] auto violations() const -> const std::vector<std::string>& { return m_violations; }

private:
    std::map<std::string, std::size_t> m_runs;
    std::set<std::string> m_notRun;
    std::vector<std::string> m_violations;
};

/// Dispatcher of a home whose upstreams behave as set by the test.
class ScriptedUpstreams : public Dispatch::Dispatcher {
public:
    ScriptedUpstreams(VirtualWorld& world, NodeId home, AtMostOnceChecker& checker)
        : m_world(world)
        , m_home(std::move(home))
        , m_checker(checker)
    {
    }

    auto dispatch(Core::ServiceRequest request, const Configuration::ServicePolicy& policy,
        Core::ReplyCallback callback) -> void override;
    /// Runs and answers all held requests.
    auto release() -> void;

    std::function<UpstreamBehaviour()> behaviour = [] { return UpstreamBehaviour::Answer; };
    Core::Duration networkDelay = Core::Millis(1);

private:
    auto run(const Core::ServiceRequest& request, bool losesAnswer, const std::function<void(Core::Reply)>& respond)
        -> void;

    VirtualWorld& m_world;
    NodeId m_home;
    AtMostOnceChecker& m_checker;
    std::vector<std::function<void()>> m_held;
};

} // namespace Fakes
