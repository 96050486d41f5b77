#pragma once

#include "dispatch/dispatcher.h"
#include "fakes/virtualworld.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Fakes {

enum class UpstreamBehaviour : std::uint8_t { Answer, Shed, LoseBeforeRun, RunAndLoseAnswer, Hold };

/// What upstreams ran and what callers were told, compared at each entry.
class UpstreamBook {
public:
    auto enterRun(const std::string& key) -> std::string;
    auto enterReply(const std::string& key, const Core::Reply& reply) -> void;
    [[nodiscard]] auto runs(const std::string& key) const -> std::size_t;
    [[nodiscard]] auto totalRuns() const -> std::size_t { return m_runs.size(); }
    [[nodiscard]] auto notRunCount() const -> std::size_t { return m_notRun.size(); }
    /// One line for each contradiction; empty when all was at most once and true.
    [[nodiscard]] auto violations() const -> const std::vector<std::string>& { return m_violations; }

private:
    std::map<std::string, std::size_t> m_runs;
    std::set<std::string> m_notRun;
    std::vector<std::string> m_violations;
};

/// Upstreams as the home's dispatcher reaches them.
class ScriptedUpstreams : public Dispatch::Dispatcher {
public:
    ScriptedUpstreams(VirtualWorld& world, NodeId home, UpstreamBook& book)
        : m_world(world)
        , m_home(std::move(home))
        , m_book(book)
    {
    }

    auto dispatch(Core::ServiceRequest request, const Configuration::ServicePolicy& policy,
        Core::ReplyCallback callback) -> void override;
    /// Runs and answers what is held.
    auto release() -> void;

    std::function<UpstreamBehaviour()> behaviour = [] { return UpstreamBehaviour::Answer; };
    Core::Duration travelTime = Core::Millis(1);

private:
    auto run(const Core::ServiceRequest& request, bool losesAnswer, const std::function<void(Core::Reply)>& respond)
        -> void;

    VirtualWorld& m_world;
    NodeId m_home;
    UpstreamBook& m_book;
    std::vector<std::function<void()>> m_held;
};

} // namespace Fakes
