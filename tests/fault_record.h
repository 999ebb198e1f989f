#pragma once

#include "agatedrum_types.h"
#include "base_clock_p.h"

#include <fmt/format.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace agatedrum::test {

/// Records what the backend servers ran and which answers the callers got, independently of the processes under test,
/// and checks both against the guarantees.
class FaultRecord
{
public:
    struct Run
    {
        Time startedAt;
        wire::Outcome::type outcome = wire::Outcome::PENDING;
        std::string agent;
    };
    struct Request
    {
        std::string job; ///< submission id
        Time sentAt;
        std::optional<Time> completedAt; ///< when it was answered or abandoned
        bool isAbandoned = false; ///< the entry replied that the outcome is unknown, or the caller disconnected
        std::optional<wire::JobAnswer> answer;
    };

    /// Records the start of a task.
    /// @param header caller, submission id and task id, as the backend server gets them.
    Run &started(const std::string &header, const std::string &agent, Time now)
    {
        auto &runs = this->runs[header];
        runs.push_back({now, wire::Outcome::PENDING, agent});
        return runs.back();
    }
    /// Records the outcome of the last run of a task.
    void ended(const std::string &header, wire::Outcome::type outcome)
    {
        this->runs.at(header).back().outcome = outcome;
    }
    Request &request(std::int64_t id)
    {
        return this->requests[id];
    }
    std::map<std::int64_t, Request> &allRequests()
    {
        return this->requests;
    }
    std::size_t runCount(const std::string &job) const
    {
        std::size_t count = 0;
        for (const auto &[header, runs] : this->runs) {
            count += header.rfind("desk/" + job + "/", 0) == 0 ? runs.size() : 0;
        }
        return count;
    }
    std::size_t totalRuns() const
    {
        std::size_t count = 0;
        for (const auto &[header, runs] : this->runs) {
            count += runs.size();
        }
        return count;
    }

    /// Adds a violation that was detected during the run.
    void addViolation(std::string violation)
    {
        this->observedViolations.push_back(std::move(violation));
    }
    /// Returns a description of each violation of the guarantees; empty if there are none.
    std::vector<std::string> violations() const
    {
        auto violations = this->observedViolations;
        for (const auto &[header, runs] : this->runs) {
            if (runs.size() > 1) {
                violations.push_back(fmt::format("task {} started {} times", header, runs.size()));
            }
        }
        std::map<std::string, std::map<int, wire::Outcome::type>> knownOutcomes;
        for (const auto &[id, request] : this->requests) {
            if (request.answer) {
                this->checkAnswer(id, request, violations);
                this->checkAgreement(id, *request.answer, knownOutcomes[request.job], violations);
            }
        }
        return violations;
    }

private:
    std::string headerOf(const wire::JobAnswer &answer, int index) const
    {
        return fmt::format("desk/{}/t{}", answer.key.submission, index);
    }
    const std::vector<Run> &runsOf(const std::string &header) const
    {
        static const std::vector<Run> none;
        const auto known = this->runs.find(header);
        return known == this->runs.end() ? none : known->second;
    }
    void checkAnswer(std::int64_t id, const Request &request, std::vector<std::string> &violations) const
    {
        const auto &answer = *request.answer;
        if (answer.key.submission != request.job) {
            violations.push_back(
                fmt::format("request {} for {} got the answer of {}", id, request.job, answer.key.submission));
        }
        if (answer.__isset.refusal && answer.refusal.notRun) {
            this->checkNotRun(id, request, violations);
        }
        if (!answer.done) {
            return;
        }
        for (const auto &result : answer.results) {
            this->checkResult(id, answer, result, violations);
        }
    }
    /// Checks that nothing ran for a request that was refused as "not run". A run after the refusal is only allowed if
    /// another request for the job was still open at that time or was sent later.
    void checkNotRun(std::int64_t id, const Request &refused, std::vector<std::string> &violations) const
    {
        if (refused.answer->refusal.code == wire::RefusalCode::CONFLICT) {
            return;
        }
        for (const auto &[header, runs] : this->runs) {
            if (header.rfind("desk/" + refused.job + "/", 0) != 0) {
                continue;
            }
            for (const auto &run : runs) {
                if (run.startedAt <= *refused.completedAt || !this->hasOtherRequest(id, refused, run.startedAt)) {
                    violations.push_back(fmt::format("request {} was refused as \"not run\", but {} ran", id, header));
                }
            }
        }
    }
    bool hasOtherRequest(std::int64_t id, const Request &refused, Time until) const
    {
        for (const auto &[other, request] : this->requests) {
            const bool wasOpen = !request.completedAt || *request.completedAt > *refused.completedAt;
            if (other != id && request.job == refused.job && request.sentAt <= until && wasOpen) {
                return true;
            }
        }
        return false;
    }
    void checkResult(std::int64_t id, const wire::JobAnswer &answer, const wire::TaskResult &result,
                     std::vector<std::string> &violations) const
    {
        const auto header = this->headerOf(answer, result.index);
        const auto &runs = this->runsOf(header);
        const auto actualOutcome = runs.empty() ? wire::Outcome::NOT_RUN : runs.back().outcome;
        const bool mayHaveRun = result.outcome == wire::Outcome::UNKNOWN;
        if (!mayHaveRun && result.outcome != actualOutcome) {
            violations.push_back(fmt::format("request {} got outcome {} of {}, but the actual outcome is {}", id,
                                             static_cast<int>(result.outcome), header,
                                             static_cast<int>(actualOutcome)));
        }
        const bool hasBody = result.outcome == wire::Outcome::FINISHED && !answer.__isset.refusal;
        if (hasBody && result.body != "result of " + header) {
            violations.push_back(fmt::format("request {} got body \"{}\" for {}", id, result.body, header));
        }
    }
    /// Checks that all answers to one job have the same outcomes. UNKNOWN is allowed in a later answer, since the agent
    /// that held the result may be lost.
    void checkAgreement(std::int64_t id, const wire::JobAnswer &answer,
                        std::map<int, wire::Outcome::type> &knownOutcomes, std::vector<std::string> &violations) const
    {
        if (!answer.done) {
            return;
        }
        for (const auto &result : answer.results) {
            if (result.outcome == wire::Outcome::UNKNOWN) {
                continue;
            }
            const auto known = knownOutcomes.emplace(result.index, result.outcome).first;
            if (known->second != result.outcome) {
                violations.push_back(
                    fmt::format("request {} got a different outcome of task {} of {} than an earlier request", id,
                                result.index, answer.key.submission));
            }
        }
    }

    std::map<std::string, std::vector<Run>> runs; ///< by task header
    std::map<std::int64_t, Request> requests;
    std::vector<std::string> observedViolations;
};

} // namespace agatedrum::test
