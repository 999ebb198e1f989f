#include "bench_p.h"

#include <fmt/format.h>

#include <cstdio>
#include <map>
#include <string>

namespace {

const std::map<std::string, int (*)()> benches = {
    {"policy", agatedrum::bench::runPolicyBench},
    {"decision", agatedrum::bench::runDecisionBench},
    {"owner", agatedrum::bench::runOwnerBench},
};

} // namespace

int main(int argc, char **argv)
{
    const auto found = argc == 2 ? benches.find(argv[1]) : benches.end();
    if (found == benches.end()) {
        fmt::print(stderr, "Usage: agatedrum-bench NAME, where NAME is one of:");
        for (const auto &[name, run] : benches) {
            fmt::print(stderr, " {}", name);
        }
        fmt::print(stderr, "\n");
        return 2;
    }
    return found->second();
}
