#include "app/servesettings.h"

#include <algorithm>
#include <boost/program_options.hpp>

namespace App {

namespace {

    namespace po = boost::program_options;

    constexpr std::size_t defaultThreads = 2;
    constexpr std::string_view environmentPrefix = "DRAGONFLYWINCH_";

    auto description() -> po::options_description
    {
        po::options_description options("serve");
        auto add = options.add_options();
        add("id", po::value<std::string>()->required(), "name of this entry VM");
        add("failure-domain", po::value<std::string>()->required(), "failure domain of this entry VM");
        add("region", po::value<std::string>()->required(), "region of this entry VM");
        add("listen", po::value<std::string>()->required(), "IP:PORT for callers");
        add("peer-listen", po::value<std::string>()->required(), "IP:PORT for other entry VMs");
        add("store", po::value<std::string>()->required(), "IP:PORT of the platform's object API");
        add("threads", po::value<std::size_t>()->default_value(defaultThreads), "threads, 1 to 64");
        return options;
    }

    auto optionFor(const std::string& variable) -> std::string
    {
        if (!variable.starts_with(environmentPrefix))
            return {};
        auto option = variable.substr(environmentPrefix.size());
        std::transform(option.begin(), option.end(), option.begin(), [](unsigned char character) {
            return character == '_' ? '-' : static_cast<char>(std::tolower(character));
        });
        return option;
    }

} // namespace

auto parseServeSettings(const std::vector<std::string>& arguments) -> Core::Result<ServeSettings>
{
    try {
        const auto options = description();
        po::variables_map values;
        po::store(po::command_line_parser(arguments).options(options).run(), values);
        po::store(po::parse_environment(options, optionFor), values);
        po::notify(values);
        const auto text = [&values](const char* name) { return values[name].as<std::string>(); };
        return ServeSettings { Core::EntryVmId(text("id")), Core::FailureDomainId(text("failure-domain")),
            Core::RegionId(text("region")), Core::Address(text("listen")), Core::Address(text("peer-listen")),
            Core::Address(text("store")), values["threads"].as<std::size_t>() };
    } catch (const po::error& error) {
        return Core::fail(Core::ErrorKind::InvalidArgument, error.what(), "see 'dragonflywinch serve --help'");
    }
}

} // namespace App
