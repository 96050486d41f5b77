#include "app/problems.h"

namespace App {

auto printProblems(std::ostream& stream, const std::vector<Core::Error>& problems) -> void
{
    for (const auto& problem : problems)
        stream << "error: " << problem.message << "; " << problem.remedy << '\n';
}

} // namespace App
