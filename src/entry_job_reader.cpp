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
constexpr std::array<std::string_view, 8> jobFieldNames {
    {"caller", "submission", "team", "service", "submittedAt", "deadlineMs", "idempotent", "tasks"}};
constexpr std::array<JobField, 6> requiredJobFields {{JobField::Caller, JobField::Submission, JobField::Team,
                                                      JobField::Service, JobField::SubmittedAt, JobField::Tasks}};

enum class TaskField { Id, Body, DeclaredMs };
constexpr std::array<std::string_view, 3> taskFieldNames {{"id", "body", "declaredMs"}};

/// Tracks which fields of a JSON object have been read, and which one is being read now.
template<typename Field, std::size_t Size>
class ObjectFields
{
public:
    explicit ObjectFields(const std::array<std::string_view, Size> &names)
        : names(names)
    {
    }
    /// Starts the field with this name. @return an empty string, or an error message for an unknown or repeated field.
    std::string beginField(std::string_view name)
    {
        const auto found = std::find(this->names.begin(), this->names.end(), name);
        if (found == this->names.end()) {
            return "unknown field";
        }
        this->currentField = static_cast<Field>(found - this->names.begin());
        const unsigned fieldBit = 1U << static_cast<unsigned>(this->currentField);
        if ((this->seenFields & fieldBit) != 0) {
            return "the field appears twice";
        }
        this->seenFields |= fieldBit;
        return {};
    }
    bool has(Field field) const
    {
        return (this->seenFields & (1U << static_cast<unsigned>(field))) != 0;
    }
    std::string_view nameOf(Field field) const
    {
        return this->names[static_cast<std::size_t>(field)];
    }
    void clear()
    {
        this->seenFields = 0;
    }

    Field currentField {};

private:
    const std::array<std::string_view, Size> &names;
    unsigned seenFields = 0;
};

/// SAX handler that fills a job while the JSON is parsed, which avoids a second copy of the task bodies.
class JobReader : public nlohmann::json_sax<Json>
{
public:
    /// Moves out the job, or returns the first error.
    /// Precondition: the JSON has been parsed to its end, or an error was found.
    Result<wire::JobSpec, ApiError> takeResult()
    {
        if (this->hasFailed) {
            return this->firstError;
        }
        return std::move(this->spec);
    }

    bool null() override
    {
        return this->failWrongType();
    }
    bool binary(binary_t & /*bytes*/) override
    {
        return this->failWrongType();
    }
    bool number_integer(number_integer_t number) override
    {
        return this->setInteger(number);
    }
    bool number_unsigned(number_unsigned_t number) override
    {
        // Clamped, so that the cast cannot overflow; the maximum is above the accepted range of every field.
        constexpr number_unsigned_t maxNumber = maxSubmittedAtMs + 1;
        return this->setInteger(static_cast<std::int64_t>(std::min(number, maxNumber)));
    }
    bool number_float(number_float_t number, const string_t & /*text*/) override
    {
        return this->isAt(TaskField::DeclaredMs) ? this->setDeclaredTime(number) : this->failWrongType();
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
        return this->fail(this->currentPath(), fmt::format("malformed JSON or invalid UTF-8 at byte {}", position));
    }

private:
    enum class Level { Start, Job, Tasks, Task, End };

    bool isAt(JobField field) const
    {
        return this->level == Level::Job && this->jobFields.currentField == field;
    }
    bool isAt(TaskField field) const
    {
        return this->level == Level::Task && this->taskFields.currentField == field;
    }
    bool fail(std::string field, std::string message);
    bool failWrongType();
    bool setInteger(std::int64_t number);
    bool setDeclaredTime(double millis);
    bool setName(std::string &target, std::string &text);
    bool setIntegerInRange(std::int64_t &target, std::int64_t number, std::int64_t minimum, std::int64_t maximum);
    bool finishTask();
    bool finishJob();
    std::string currentPath() const;
    std::string currentTaskPath() const;

    Level level = Level::Start;
    wire::JobSpec spec;
    ObjectFields<JobField, jobFieldNames.size()> jobFields {jobFieldNames};
    ObjectFields<TaskField, taskFieldNames.size()> taskFields {taskFieldNames};
    std::unordered_set<std::string> taskIds;
    ApiError firstError;
    bool hasFailed = false;
};

bool JobReader::boolean(bool flag)
{
    if (!this->isAt(JobField::Idempotent)) {
        return this->failWrongType();
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
    return this->failWrongType();
}

bool JobReader::setInteger(std::int64_t number)
{
    if (this->isAt(JobField::SubmittedAt)) {
        return this->setIntegerInRange(this->spec.submittedAtMs, number, 1, maxSubmittedAtMs);
    }
    if (this->isAt(JobField::DeadlineMs)) {
        return this->setIntegerInRange(this->spec.deadlineMs, number, 0, maxDurationMs);
    }
    return this->isAt(TaskField::DeclaredMs) ? this->setDeclaredTime(static_cast<double>(number))
                                             : this->failWrongType();
}

bool JobReader::setDeclaredTime(double millis)
{
    if (!(millis >= 0 && millis <= static_cast<double>(maxDurationMs))) {
        return this->fail(this->currentPath(), fmt::format("must be a number from 0 to {}", maxDurationMs));
    }
    this->spec.tasks.back().declaredMicros = std::llround(millis * microsPerMilli);
    return true;
}

bool JobReader::setName(std::string &target, std::string &text)
{
    auto message = checkName(text);
    if (!message.empty()) {
        return this->fail(this->currentPath(), std::move(message));
    }
    target = std::move(text);
    return true;
}

bool JobReader::setIntegerInRange(std::int64_t &target, std::int64_t number, std::int64_t minimum, std::int64_t maximum)
{
    if (number < minimum || number > maximum) {
        return this->fail(this->currentPath(), fmt::format("must be a whole number from {} to {}", minimum, maximum));
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
        return this->failWrongType();
    }
    if (this->spec.tasks.size() == AGATEDRUM_MAX_TASKS_PER_JOB) {
        return this->fail("tasks", fmt::format("more than {} tasks", AGATEDRUM_MAX_TASKS_PER_JOB));
    }
    this->spec.tasks.emplace_back();
    this->taskFields.clear();
    this->level = Level::Task;
    return true;
}

bool JobReader::key(string_t &name)
{
    const bool isTask = this->level == Level::Task;
    auto message = isTask ? this->taskFields.beginField(name) : this->jobFields.beginField(name);
    if (!message.empty()) {
        return this->fail(isTask ? this->currentTaskPath() + "." + name : name, std::move(message));
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
        return this->failWrongType();
    }
    this->level = Level::Tasks;
    return true;
}

bool JobReader::end_array()
{
    if (this->spec.tasks.empty()) {
        return this->fail("tasks", "must contain at least one task");
    }
    this->level = Level::Job;
    return true;
}

bool JobReader::finishTask()
{
    for (const auto field : {TaskField::Id, TaskField::Body}) {
        if (!this->taskFields.has(field)) {
            return this->fail(fmt::format("{}.{}", this->currentTaskPath(), this->taskFields.nameOf(field)),
                              "missing field");
        }
    }
    if (!this->taskIds.insert(this->spec.tasks.back().id).second) {
        return this->fail(this->currentTaskPath() + ".id", "the id is used twice in the job");
    }
    this->level = Level::Tasks;
    return true;
}

bool JobReader::finishJob()
{
    for (const auto field : requiredJobFields) {
        if (!this->jobFields.has(field)) {
            return this->fail(std::string(this->jobFields.nameOf(field)), "missing field");
        }
    }
    this->level = Level::End;
    return true;
}

bool JobReader::fail(std::string field, std::string message)
{
    if (!this->hasFailed) {
        this->firstError = {std::move(field), std::move(message)};
        this->hasFailed = true;
    }
    return false;
}

bool JobReader::failWrongType()
{
    return this->fail(this->currentPath(),
                      this->level == Level::Start ? "must be a JSON object" : "has the wrong type");
}

std::string JobReader::currentPath() const
{
    switch (this->level) {
    case Level::Job:
        return std::string(this->jobFields.nameOf(this->jobFields.currentField));
    case Level::Tasks:
        return fmt::format("tasks[{}]", this->spec.tasks.size());
    case Level::Task:
        return fmt::format("{}.{}", this->currentTaskPath(), this->taskFields.nameOf(this->taskFields.currentField));
    case Level::Start:
    case Level::End:
        break;
    }
    return {};
}

std::string JobReader::currentTaskPath() const
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
    const auto isControlCharacter = [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; };
    if (std::any_of(name.begin(), name.end(), isControlCharacter)) {
        return "must not contain control characters";
    }
    return {};
}

Result<wire::JobSpec, ApiError> parseJob(const std::string &body)
{
    JobReader reader;
    Json::sax_parse(body, &reader);
    return reader.takeResult();
}

} // namespace agatedrum
