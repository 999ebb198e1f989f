#include "agatedrum/config.h"
#include "entry_json_p.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace agatedrum {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxNameBytes = 200;
constexpr std::int64_t maxSubmittedAtMs = 253402300799999; // the end of the year 9999
constexpr std::int64_t maxDurationMs = 86400000; // one day
constexpr std::int64_t microsPerMilli = 1000;

enum class JobField { Caller, Submission, Team, Service, SubmittedAt, DeadlineMs, Idempotent, Tasks };
constexpr std::array<std::string_view, 8> jobFields {
    {"caller", "submission", "team", "service", "submittedAt", "deadlineMs", "idempotent", "tasks"}};
constexpr std::array<JobField, 6> requiredJobFields {{JobField::Caller, JobField::Submission, JobField::Team,
                                                      JobField::Service, JobField::SubmittedAt, JobField::Tasks}};

enum class TaskField { Id, Body, DeclaredMs };
constexpr std::array<std::string_view, 3> taskFields {{"id", "body", "declaredMs"}};

/// Which fields of one object were given, and which one is being read.
template<typename Field, std::size_t Size>
class ObjectFields
{
public:
    explicit ObjectFields(const std::array<std::string_view, Size> &names)
        : names(names)
    {
    }
    /// @return what is wrong with the name, or an empty text.
    std::string enter(std::string_view name)
    {
        const auto found = std::find(this->names.begin(), this->names.end(), name);
        if (found == this->names.end()) {
            return "unknown field";
        }
        this->current = static_cast<Field>(found - this->names.begin());
        const unsigned bit = 1U << static_cast<unsigned>(this->current);
        if ((this->seen & bit) != 0) {
            return "the field appears twice";
        }
        this->seen |= bit;
        return {};
    }
    bool has(Field field) const
    {
        return (this->seen & (1U << static_cast<unsigned>(field))) != 0;
    }
    std::string_view nameOf(Field field) const
    {
        return this->names[static_cast<std::size_t>(field)];
    }
    void clear()
    {
        this->seen = 0;
    }

    Field current {};

private:
    const std::array<std::string_view, Size> &names;
    unsigned seen = 0;
};

/// Fills a job while the JSON is parsed, so that no other copy of the bodies is built.
class JobReader : public nlohmann::json_sax<Json>
{
public:
    /// Precondition: the JSON was parsed to its end or a fault was found.
    Result<wire::JobSpec, ApiFault> take()
    {
        if (this->hasFailed) {
            return this->fault;
        }
        return std::move(this->spec);
    }

    bool null() override
    {
        return this->wrongType();
    }
    bool binary(binary_t & /*bytes*/) override
    {
        return this->wrongType();
    }
    bool number_integer(number_integer_t number) override
    {
        return this->integer(number);
    }
    bool number_unsigned(number_unsigned_t number) override
    {
        // Larger numbers are above the highest accepted value of any field.
        constexpr number_unsigned_t highest = maxSubmittedAtMs + 1;
        return this->integer(static_cast<std::int64_t>(std::min(number, highest)));
    }
    bool number_float(number_float_t number, const string_t & /*text*/) override
    {
        return this->isAt(TaskField::DeclaredMs) ? this->declare(number) : this->wrongType();
    }
    bool boolean(bool flag) override;
    bool string(string_t &text) override;
    bool start_object(std::size_t /*count*/) override;
    bool key(string_t &name) override;
    bool end_object() override;
    bool start_array(std::size_t /*count*/) override;
    bool end_array() override;
    bool parse_error(std::size_t position, const std::string & /*token*/,
                     const nlohmann::detail::exception & /*error*/) override
    {
        return this->fail(this->path(), fmt::format("malformed JSON or invalid UTF-8 at byte {}", position));
    }

private:
    enum class Level { Start, Job, Tasks, Task, End };

    bool isAt(JobField field) const
    {
        return this->level == Level::Job && this->job.current == field;
    }
    bool isAt(TaskField field) const
    {
        return this->level == Level::Task && this->task.current == field;
    }
    bool fail(std::string field, std::string message);
    bool wrongType();
    bool integer(std::int64_t number);
    bool declare(double millis);
    bool setName(std::string &target, std::string &text);
    bool setBounded(std::int64_t &target, std::int64_t number, std::int64_t lowest, std::int64_t highest);
    bool finishTask();
    bool finishJob();
    std::string path() const;
    std::string taskPath() const;

    Level level = Level::Start;
    wire::JobSpec spec;
    ObjectFields<JobField, jobFields.size()> job {jobFields};
    ObjectFields<TaskField, taskFields.size()> task {taskFields};
    std::unordered_set<std::string> taskIds;
    ApiFault fault;
    bool hasFailed = false;
};

bool JobReader::boolean(bool flag)
{
    if (!this->isAt(JobField::Idempotent)) {
        return this->wrongType();
    }
    this->spec.idempotent = flag;
    return true;
}

bool JobReader::string(string_t &text)
{
    if (this->isAt(JobField::Caller)) {
        return this->setName(this->spec.key.caller, text);
    }
    if (this->isAt(JobField::Submission)) {
        return this->setName(this->spec.key.submission, text);
    }
    if (this->isAt(JobField::Team)) {
        return this->setName(this->spec.team, text);
    }
    if (this->isAt(JobField::Service)) {
        return this->setName(this->spec.serviceName, text);
    }
    if (this->isAt(TaskField::Id)) {
        return this->setName(this->spec.tasks.back().id, text);
    }
    if (this->isAt(TaskField::Body)) {
        this->spec.tasks.back().body = std::move(text);
        return true;
    }
    return this->wrongType();
}

bool JobReader::integer(std::int64_t number)
{
    if (this->isAt(JobField::SubmittedAt)) {
        return this->setBounded(this->spec.submittedAtMs, number, 1, maxSubmittedAtMs);
    }
    if (this->isAt(JobField::DeadlineMs)) {
        return this->setBounded(this->spec.deadlineMs, number, 0, maxDurationMs);
    }
    return this->isAt(TaskField::DeclaredMs) ? this->declare(static_cast<double>(number)) : this->wrongType();
}

bool JobReader::declare(double millis)
{
    if (!(millis >= 0 && millis <= static_cast<double>(maxDurationMs))) {
        return this->fail(this->path(), fmt::format("must be a number from 0 to {}", maxDurationMs));
    }
    this->spec.tasks.back().declaredMicros = std::llround(millis * microsPerMilli);
    return true;
}

bool JobReader::setName(std::string &target, std::string &text)
{
    auto message = checkName(text);
    if (!message.empty()) {
        return this->fail(this->path(), std::move(message));
    }
    target = std::move(text);
    return true;
}

bool JobReader::setBounded(std::int64_t &target, std::int64_t number, std::int64_t lowest, std::int64_t highest)
{
    if (number < lowest || number > highest) {
        return this->fail(this->path(), fmt::format("must be a whole number from {} to {}", lowest, highest));
    }
    target = number;
    return true;
}

bool JobReader::start_object(std::size_t /*count*/)
{
    if (this->level == Level::Start) {
        this->level = Level::Job;
        return true;
    }
    if (this->level != Level::Tasks) {
        return this->wrongType();
    }
    if (this->spec.tasks.size() == AGATEDRUM_MAX_TASKS_PER_JOB) {
        return this->fail("tasks", fmt::format("more than {} tasks", AGATEDRUM_MAX_TASKS_PER_JOB));
    }
    this->spec.tasks.emplace_back();
    this->task.clear();
    this->level = Level::Task;
    return true;
}

bool JobReader::key(string_t &name)
{
    const bool isTask = this->level == Level::Task;
    auto message = isTask ? this->task.enter(name) : this->job.enter(name);
    if (!message.empty()) {
        return this->fail(isTask ? this->taskPath() + "." + name : name, std::move(message));
    }
    return true;
}

bool JobReader::end_object()
{
    return this->level == Level::Task ? this->finishTask() : this->finishJob();
}

bool JobReader::start_array(std::size_t /*count*/)
{
    if (!this->isAt(JobField::Tasks)) {
        return this->wrongType();
    }
    this->level = Level::Tasks;
    return true;
}

bool JobReader::end_array()
{
    if (this->spec.tasks.empty()) {
        return this->fail("tasks", "must hold at least one task");
    }
    this->level = Level::Job;
    return true;
}

bool JobReader::finishTask()
{
    for (const auto field : {TaskField::Id, TaskField::Body}) {
        if (!this->task.has(field)) {
            return this->fail(fmt::format("{}.{}", this->taskPath(), this->task.nameOf(field)), "missing field");
        }
    }
    if (!this->taskIds.insert(this->spec.tasks.back().id).second) {
        return this->fail(this->taskPath() + ".id", "the id appears twice in the job");
    }
    this->level = Level::Tasks;
    return true;
}

bool JobReader::finishJob()
{
    for (const auto field : requiredJobFields) {
        if (!this->job.has(field)) {
            return this->fail(std::string(this->job.nameOf(field)), "missing field");
        }
    }
    this->level = Level::End;
    return true;
}

bool JobReader::fail(std::string field, std::string message)
{
    if (!this->hasFailed) {
        this->fault = {std::move(field), std::move(message)};
        this->hasFailed = true;
    }
    return false;
}

bool JobReader::wrongType()
{
    return this->fail(this->path(), this->level == Level::Start ? "must be a JSON object" : "has the wrong type");
}

std::string JobReader::path() const
{
    switch (this->level) {
    case Level::Job:
        return std::string(this->job.nameOf(this->job.current));
    case Level::Tasks:
        return fmt::format("tasks[{}]", this->spec.tasks.size());
    case Level::Task:
        return fmt::format("{}.{}", this->taskPath(), this->task.nameOf(this->task.current));
    case Level::Start:
    case Level::End:
        break;
    }
    return {};
}

std::string JobReader::taskPath() const
{
    return fmt::format("tasks[{}]", this->spec.tasks.size() - 1);
}

} // namespace

std::string checkName(std::string_view name)
{
    if (name.empty()) {
        return "must not be empty";
    }
    if (name.size() > maxNameBytes) {
        return fmt::format("is longer than {} bytes", maxNameBytes);
    }
    const auto isControl = [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; };
    if (std::any_of(name.begin(), name.end(), isControl)) {
        return "must not contain control characters";
    }
    return {};
}

Result<wire::JobSpec, ApiFault> parseJob(const std::string &body)
{
    JobReader reader;
    Json::sax_parse(body, &reader);
    return reader.take();
}

} // namespace agatedrum
