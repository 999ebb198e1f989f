#include "cli_run_p.h"
#include "config_cluster_p.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

// Commands that only read state.

namespace agatedrum {

namespace {

using Json = nlohmann::json;
using OrderedJson = nlohmann::ordered_json;
using Rows = Result<OrderedJson, CliFailure>;

Rows requestRows(const CommandContext &context, const std::string &target)
{
    const auto answer = context.client.requestJson("GET", target);
    if (!isOk(answer)) {
        return error(answer);
    }
    return OrderedJson(value(answer));
}

Result<ClusterConfig, CliFailure> requestConfig(const CommandContext &context)
{
    const auto answer = context.client.requestJson("GET", "/v1/configuration");
    if (!isOk(answer)) {
        return error(answer);
    }
    auto config = parseConfig(value(answer).at("text").get<std::string>());
    if (!isOk(config)) {
        return CliFailure {ExitCode::BadAnswer, "the current configuration is invalid: " + error(config).text()};
    }
    return takeValue(std::move(config));
}

Rows serviceRows(const CommandContext &context)
{
    const auto config = requestConfig(context);
    if (!isOk(config)) {
        return error(config);
    }
    auto rows = OrderedJson::array();
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

Rows teamRows(const CommandContext &context)
{
    const auto config = requestConfig(context);
    if (!isOk(config)) {
        return error(config);
    }
    auto rows = OrderedJson::array();
    for (const auto &team : value(config).teams) {
        rows.push_back({{"name", team.name},
                        {"weight", team.weight},
                        {"maxTasksPerSecond", team.maxTasksPerSecond},
                        {"maxTasksInFlight", team.maxTasksInFlight},
                        {"maxQueuedTasks", team.maxQueuedTasks}});
    }
    return rows;
}

OrderedJson backendServerRow(const std::string &name, const BackendServerConfig *config)
{
    return {{"name", name},
            {"announced", false},
            {"drain", config != nullptr && config->isDrained},
            {"maxSlots", config != nullptr ? config->maxSlots : 0}};
}

/// Lists the backend servers that have announced themselves, followed by configured ones that have not.
Rows backendServerRows(const CommandContext &context)
{
    const auto config = requestConfig(context);
    if (!isOk(config)) {
        return error(config);
    }
    auto members = requestRows(context, "/v1/members");
    if (!isOk(members)) {
        return members;
    }
    auto rows = OrderedJson::array();
    std::vector<std::string> announcedNames;
    for (const auto &member : value(members)) {
        if (member.value("role", "") != "agent") {
            continue;
        }
        const auto name = member.at("name").get<std::string>();
        auto row = backendServerRow(name, value(config).backendServer(name));
        row["announced"] = true;
        for (const auto *field : {"service", "cell", "failureDomain", "address", "leaving", "silentMs"}) {
            row[field] = member.contains(field) ? member[field] : OrderedJson();
        }
        rows.push_back(row);
        announcedNames.push_back(name);
    }
    for (const auto &server : value(config).backendServers) {
        if (std::find(announcedNames.begin(), announcedNames.end(), server.name) == announcedNames.end()) {
            rows.push_back(backendServerRow(server.name, &server));
        }
    }
    return rows;
}

Rows configurationRows(const CommandContext &context)
{
    return requestRows(context, "/v1/configuration/history");
}

Rows memberRows(const CommandContext &context)
{
    return requestRows(context, "/v1/members");
}

Rows cellRows(const CommandContext &context)
{
    return requestRows(context, "/v1/cells");
}

Rows evacuationRows(const CommandContext &context)
{
    return requestRows(context, "/v1/evacuations");
}

struct ResourceKind
{
    const char *name;
    const char *key; ///< field that identifies one item
    Rows (*rows)(const CommandContext &);
};

constexpr std::array<ResourceKind, 7> resourceKinds {{
    {"services", "name", &serviceRows},
    {"backendservers", "name", &backendServerRows},
    {"teams", "name", &teamRows},
    {"configurations", "number", &configurationRows},
    {"members", "name", &memberRows},
    {"cells", "cell", &cellRows},
    {"evacuations", "failureDomain", &evacuationRows},
}};

constexpr auto resourceKindNames = "services|backendservers|teams|configurations|members|cells|evacuations";

const ResourceKind *findKind(const std::string &name)
{
    const auto found = std::find_if(resourceKinds.begin(), resourceKinds.end(),
                                    [&name](const ResourceKind &kind) { return kind.name == name; });
    return found == resourceKinds.end() ? nullptr : &*found;
}

CliFailure unknownKind(const std::string &name)
{
    return {ExitCode::BadInput, fmt::format("\"{}\" is not one of {}", name, resourceKindNames)};
}

CliResult get(const CommandContext &context)
{
    const auto *kind = findKind(context.options.arguments[0]);
    if (kind == nullptr) {
        return unknownKind(context.options.arguments[0]);
    }
    const auto rows = kind->rows(context);
    if (!isOk(rows)) {
        return error(rows);
    }
    printAnswer(context, value(rows));
    return ExitCode::Done;
}

/// Shows one configuration, including its text.
CliResult describeConfiguration(const CommandContext &context, const std::string &number)
{
    const auto answer = context.client.requestJson("GET", "/v1/configuration?number=" + encodePercent(number));
    if (!isOk(answer)) {
        return error(answer);
    }
    printAnswer(context, value(answer));
    return ExitCode::Done;
}

CliResult describe(const CommandContext &context)
{
    const auto *kind = findKind(context.options.arguments[0]);
    const auto &name = context.options.arguments[1];
    if (kind == nullptr) {
        return unknownKind(context.options.arguments[0]);
    }
    if (kind->rows == &configurationRows) {
        return describeConfiguration(context, name);
    }
    const auto rows = kind->rows(context);
    if (!isOk(rows)) {
        return error(rows);
    }
    for (const auto &row : value(rows)) {
        const auto &key = row.at(kind->key);
        if ((key.is_string() ? key.get<std::string>() : key.dump()) == name) {
            printAnswer(context, row);
            return ExitCode::Done;
        }
    }
    return CliFailure {ExitCode::NotFound, fmt::format("\"{}\" not found in {}", name, kind->name)};
}

CliResult dump(const CommandContext &context)
{
    const CliClient client(context.options.arguments[0], context.options.timeout);
    const auto answer = client.requestJson("GET", "");
    if (!isOk(answer)) {
        return error(answer);
    }
    constexpr int indent = 2;
    context.streams.out << value(answer).dump(indent, ' ', false, Json::error_handler_t::replace) << "\n";
    return ExitCode::Done;
}

CliResult overview(const CommandContext &context)
{
    const auto answer = context.client.requestJson("GET", "/v1/overview");
    if (!isOk(answer)) {
        return error(answer);
    }
    printAnswer(context, value(answer));
    return ExitCode::Done;
}

CliResult version(const CommandContext &context)
{
    context.streams.out << "agatedrum " << AGATEDRUM_VERSION << "\n";
    return ExitCode::Done;
}

} // namespace

std::vector<CliCommand> showCommands()
{
    const std::vector<std::string> readOptions {"entry", "output", "timeout"};
    return {{"get", resourceKindNames, "list items", 1, 1, readOptions, true, &get},
            {"describe", std::string(resourceKindNames) + " NAME", "show one item in full", 2, 2, readOptions, true,
             &describe},
            {"dump",
             "URL",
             "show the state of one process, such as http://127.0.0.1:8101/v1/dump",
             1,
             1,
             {"timeout"},
             false,
             &dump},
            {"overview", "", "show leader, configuration, unresponsive members, and cells with a problem", 0, 0,
             readOptions, true, &overview},
            {"version", "", "show the version", 0, 0, {}, false, &version}};
}

} // namespace agatedrum
