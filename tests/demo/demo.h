#pragma once

#include "standins/callerload.h"
#include "standins/localfleet.h"

#include <string>
#include <vector>

namespace Demo {

/// Shows a small system at work: load of three ranks, edits, an override, a killed entry VM and a drained upstream.
class Demo {
public:
    explicit Demo(StandIns::ProgramPaths programPaths);

    /// Returns what did not hold, one line each; empty when all checks passed.
    auto run() -> std::vector<std::string>;

private:
    auto say(const std::string& line) -> void;
    auto check(bool holds, const std::string& claim) -> void;
    /// Runs the binary with the arguments, prints its output and returns it as one text.
    auto command(const std::vector<std::string>& arguments) -> std::string;

    auto editSection() -> void;
    auto overrideSection() -> void;
    auto readBack() -> void;
    auto killEntryVm() -> void;
    auto drainUpstream() -> void;
    auto report(const StandIns::LoadReport& load) -> void;
    auto showTimeline(const StandIns::LoadReport& load) -> void;

    StandIns::ProgramPaths m_programPaths;
    StandIns::LocalFleet m_fleet;
    Core::EntryVmId m_killed;
    std::vector<std::string> m_broken;
};

} // namespace Demo
