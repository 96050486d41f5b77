#include "report.h"

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>

namespace {

namespace po = boost::program_options;

struct Options {
    std::string preset;
    std::string scenario;
    std::string policy;
    std::uint64_t seed = 1;
    std::string output;
};

auto parse(int argc, char** argv) -> std::optional<Options>
{
    Options options;
    po::options_description description("Compares dispatch policies on a virtual clock");
    auto add = description.add_options();
    add("help", "print this text");
    add("preset", po::value(&options.preset), "run only this preset");
    add("case", po::value(&options.scenario), "run only this case");
    add("policy", po::value(&options.policy), "run only this policy");
    add("seed", po::value(&options.seed)->default_value(1), "seed of arrivals and service times");
    add("json", po::value(&options.output), "output file for the results, as JSON");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.contains("help")) {
        std::cout << description;
        return std::nullopt;
    }
    return options;
}

auto isChosen(const std::string& choice, const std::string& name) -> bool { return choice.empty() || choice == name; }

auto runAll(const Options& options) -> std::vector<PolicyBench::RunResult>
{
    std::vector<PolicyBench::RunResult> results;
    for (const auto& presetName : PolicyBench::presetNames()) {
        if (!isChosen(options.preset, presetName))
            continue;
        const auto preset = *PolicyBench::findPreset(presetName);
        for (const auto& scenario : PolicyBench::allScenarios()) {
            for (const auto& policy : PolicyBench::policyNames()) {
                if (!isChosen(options.scenario, scenario.name) || !isChosen(options.policy, policy))
                    continue;
                results.push_back(PolicyBench::runScenario(preset, scenario, policy, options.seed));
                print(std::cout, results.back());
            }
        }
    }
    return results;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    try {
        const auto options = parse(argc, argv);
        if (!options)
            return 0;
        PolicyBench::printHeading(std::cout);
        const auto results = runAll(*options);
        if (!options->output.empty())
            std::ofstream(options->output) << PolicyBench::toJson(results) << "\n";
        return 0;
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
}
