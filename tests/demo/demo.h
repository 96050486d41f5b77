#pragma once

#include "standins/callerload.h"
#include "standins/localfleet.h"

#include <string>
#include <vector>

namespace Demo {

/// Demonstrates a small system under load of three ranks, with edits, an override, a killed entry VM and a drained
/// upstream.
class Demo {
public:
    explicit Demo(StandIns::ProgramPaths programPaths);

    /// Returns the descriptions of the checks that failed.
    auto run() -> std::vector<std::string>;

private:
    auto printStep(const std::string& line) -> void;
    auto check(bool passed, const std::string& description) -> void;
    /// Runs the binary with the given arguments, prints its output and returns the output.
    auto runCommand(const std::vector<std::string>& arguments) -> std::string;

    auto editSection() -> void;
    auto overrideSection() -> void;
    auto showConfiguration() -> void;
    auto killEntryVm() -> void;
    auto drainUpstream() -> void;
    auto report(const StandIns::LoadReport& load) -> void;
    auto showTimeline(const StandIns::LoadReport& load) -> void;

    StandIns::ProgramPaths m_programPaths;
    StandIns::LocalFleet m_fleet;
    Core::EntryVmId m_killedVm;
    std::vector<std::string> m_failedChecks;
};

} // namespace Demo
