#include "cli_run_p.h"

#include <cstdlib>
#include <exception>
#include <iostream>

namespace {

std::string environmentVariable(const std::string &name)
{
    const char *text = std::getenv(name.c_str()); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? std::string() : std::string(text);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const std::vector<std::string> arguments(argv + 1, argv + argc);
        const auto code = agatedrum::runCli(arguments, &environmentVariable, {std::cin, std::cout, std::cerr});
        return static_cast<int>(code);
    } catch (const std::exception &failure) {
        std::cerr << "agatedrum: " << failure.what() << "\n";
        return static_cast<int>(agatedrum::ExitCode::BadAnswer);
    }
}
