#include "cli_run_p.h"
#include "config_cluster_p.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

// Commands that only read.

namespace agatedrum {

namespace {

using Json = nlohmann::json;
using Ordered = nlohmann::ordered_json;
using Rows = Result<Ordered, CliFailure>;

Rows requestRows(const CliRun &run, const std::string &target)
{
    const auto answer = run.client.requestJson("GET", target);
    if (!isOk(answer)) {
        return error(answer);
    }
    return Ordered(value(answer));
}

Result<ClusterConfig, CliFailure> requestConfig(const CliRun &run)
{
    const auto answer = run.client.requestJson("GET", "/v1/configuration");
    if (!isOk(answer)) {
        return error(answer);
    }
    auto config = parseConfig(value(answer).at("text").get<std::string>());
    if (!isOk(config)) {
        return CliFailure {ExitCode::BadAnswer, "the configuration in force cannot be read: " + error(config).text()};
    }
    return takeValue(std::move(config));
}

Rows serviceRows(const CliRun &run)
{
    const auto config = requestConfig(run);
    if (!isOk(config)) {
        return error(config);
    }
    auto rows = Ordered::array();
    for (const auto &service : value(config).services) {
        rows.push_back({{"name", service.name},
                        {"cells", service.cells},
                        {"recordCopies", service.recordCopies},
                        {"order", service.order},
                        {"placement", service.placement},
                        {"maxTaskMs", service.maxTaskTime.count()},
                        {"maxQueuedTasks", service.maxQueuedTasks},
                        {"maxEjectedShare", service.maxEjectedShare}});
    }
    return rows;
}

Rows teamRows(const CliRun &run)
{
    const auto config = requestConfig(run);
    if (!isOk(config)) {
        return error(config);
    }
    auto rows = Ordered::array();
    for (const auto &team : value(config).teams) {
        rows.push_back({{"name", team.name},
                        {"weight", team.weight},
                        {"maxTasksPerSecond", team.maxTasksPerSecond},
                        {"maxTasksInFlight", team.maxTasksInFlight},
                        {"maxQueuedTasks", team.maxQueuedTasks}});
    }
    return rows;
}

Ordered backendServerRow(const std::string &name, const BackendServerConfig *config)
{
    return {{"name", name},
            {"announced", false},
            {"drain", config != nullptr && config->isDrained},
            {"maxSlots", config != nullptr ? config->maxSlots : 0}};
}

/// Backend servers that announced themselves, and configured ones that did not.
Rows backendServerRows(const CliRun &run)
{
    const auto config = requestConfig(run);
    if (!isOk(config)) {
        return error(config);
    }
    auto members = requestRows(run, "/v1/members");
    if (!isOk(members)) {
        return members;
    }
    auto rows = Ordered::array();
    std::vector<std::string> seen;
    for (const auto &member : value(members)) {
        if (member.value("role", "") != "agent") {
            continue;
        }
        const auto name = member.at("name").get<std::string>();
        auto row = backendServerRow(name, value(config).backendServer(name));
        row["announced"] = true;
        for (const auto *field : {"service", "cell", "failureDomain", "address", "leaving", "silentMs"}) {
            row[field] = member.contains(field) ? member[field] : Ordered();
        }
        rows.push_back(row);
        seen.push_back(name);
    }
    for (const auto &server : value(config).backendServers) {
        if (std::find(seen.begin(), seen.end(), server.name) == seen.end()) {
            rows.push_back(backendServerRow(server.name, &server));
        }
    }
    return rows;
}

Rows configurationRows(const CliRun &run)
{
    return requestRows(run, "/v1/configuration/history");
}

Rows memberRows(const CliRun &run)
{
    return requestRows(run, "/v1/members");
}

Rows cellRows(const CliRun &run)
{
    return requestRows(run, "/v1/cells");
}

struct Kind
{
    const char *name;
    const char *key; ///< field that names one item
    Rows (*rows)(const CliRun &);
};

constexpr std::array<Kind, 6> kinds {{
    {"services", "name", &serviceRows},
    {"backendservers", "name", &backendServerRows},
    {"teams", "name", &teamRows},
    {"configurations", "number", &configurationRows},
    {"members", "name", &memberRows},
    {"cells", "cell", &cellRows},
}};

constexpr auto kindNames = "services|backendservers|teams|configurations|members|cells";

const Kind *findKind(const std::string &name)
{
    const auto found
        = std::find_if(kinds.begin(), kinds.end(), [&name](const Kind &kind) { return kind.name == name; });
    return found == kinds.end() ? nullptr : &*found;
}

CliFailure unknownKind(const std::string &name)
{
    return {ExitCode::BadInput, fmt::format("\"{}\" is not one of {}", name, kindNames)};
}

CliResult get(const CliRun &run)
{
    const auto *kind = findKind(run.options.arguments[0]);
    if (kind == nullptr) {
        return unknownKind(run.options.arguments[0]);
    }
    const auto rows = kind->rows(run);
    if (!isOk(rows)) {
        return error(rows);
    }
    printAnswer(run, value(rows));
    return ExitCode::Done;
}

/// A configuration is shown with its text.
CliResult describeConfiguration(const CliRun &run, const std::string &number)
{
    const auto answer = run.client.requestJson("GET", "/v1/configuration?number=" + encodePercent(number));
    if (!isOk(answer)) {
        return error(answer);
    }
    printAnswer(run, value(answer));
    return ExitCode::Done;
}

CliResult describe(const CliRun &run)
{
    const auto *kind = findKind(run.options.arguments[0]);
    const auto &name = run.options.arguments[1];
    if (kind == nullptr) {
        return unknownKind(run.options.arguments[0]);
    }
    if (kind->rows == &configurationRows) {
        return describeConfiguration(run, name);
    }
    const auto rows = kind->rows(run);
    if (!isOk(rows)) {
        return error(rows);
    }
    for (const auto &row : value(rows)) {
        const auto &key = row.at(kind->key);
        if ((key.is_string() ? key.get<std::string>() : key.dump()) == name) {
            printAnswer(run, row);
            return ExitCode::Done;
        }
    }
    return CliFailure {ExitCode::NotFound, fmt::format("no \"{}\" among the {}", name, kind->name)};
}

CliResult dump(const CliRun &run)
{
    const CliClient client(run.options.arguments[0], run.options.timeout);
    const auto answer = client.requestJson("GET", "");
    if (!isOk(answer)) {
        return error(answer);
    }
    constexpr int indent = 2;
    run.streams.out << value(answer).dump(indent, ' ', false, Json::error_handler_t::replace) << "\n";
    return ExitCode::Done;
}

CliResult version(const CliRun &run)
{
    run.streams.out << "agatedrum " << AGATEDRUM_VERSION << "\n";
    return ExitCode::Done;
}

} // namespace

std::vector<CliCommand> showCommands()
{
    const std::vector<std::string> readOptions {"entry", "output", "timeout"};
    return {{"get", kindNames, "list items", 1, 1, readOptions, true, &get},
            {"describe", std::string(kindNames) + " NAME", "show one item in full", 2, 2, readOptions, true, &describe},
            {"dump",
             "URL",
             "show the state of one process, such as http://127.0.0.1:8101/v1/dump",
             1,
             1,
             {"timeout"},
             false,
             &dump},
            {"version", "", "show the version", 0, 0, {}, false, &version}};
}

} // namespace agatedrum
