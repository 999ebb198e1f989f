#pragma once

#include "agatedrum_types.h"
#include "base_clock_p.h"

#include <fmt/format.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace agatedrum::test {

/// What backend servers ran and what callers heard, kept apart from the processes under test, and the check of both.
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
        std::optional<Time> heardAt;
        bool isGivenUp = false; ///< the entry said outcome unknown
        std::optional<wire::JobAnswer> answer;
    };

    /// @param header caller, submission id and task id, as the backend server gets them.
    Run &started(const std::string &header, const std::string &agent, Time now)
    {
        auto &runs = this->runs[header];
        runs.push_back({now, wire::Outcome::PENDING, agent});
        return runs.back();
    }
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

    /// Notes a fault that was seen while it happened.
    void addFault(std::string fault)
    {
        this->seen.push_back(std::move(fault));
    }
    /// Everything that contradicts the guarantees; empty when all is well.
    std::vector<std::string> faults() const
    {
        auto found = this->seen;
        for (const auto &[header, runs] : this->runs) {
            if (runs.size() > 1) {
                found.push_back(fmt::format("task {} started {} times", header, runs.size()));
            }
        }
        std::map<std::string, std::map<int, wire::Outcome::type>> said;
        for (const auto &[id, request] : this->requests) {
            if (request.answer) {
                this->checkAnswer(id, request, found);
                this->checkAgreement(id, *request.answer, said[request.job], found);
            }
        }
        return found;
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
    void checkAnswer(std::int64_t id, const Request &request, std::vector<std::string> &found) const
    {
        const auto &answer = *request.answer;
        if (answer.key.submission != request.job) {
            found.push_back(
                fmt::format("request {} for {} got the answer of {}", id, request.job, answer.key.submission));
        }
        if (answer.__isset.refusal && answer.refusal.notRun) {
            this->checkNotRun(id, request, found);
        }
        if (!answer.done) {
            return;
        }
        for (const auto &result : answer.results) {
            this->checkResult(id, answer, result, found);
        }
    }
    /// A run after the refusal needs another request for the job that was still open then or came later.
    void checkNotRun(std::int64_t id, const Request &refused, std::vector<std::string> &found) const
    {
        if (refused.answer->refusal.code == wire::RefusalCode::CONFLICT) {
            return;
        }
        for (const auto &[header, runs] : this->runs) {
            if (header.rfind("desk/" + refused.job + "/", 0) != 0) {
                continue;
            }
            for (const auto &run : runs) {
                if (run.startedAt <= *refused.heardAt || !this->hasOtherRequest(id, refused, run.startedAt)) {
                    found.push_back(fmt::format("request {} was told \"not run\", but {} ran", id, header));
                }
            }
        }
    }
    bool hasOtherRequest(std::int64_t id, const Request &refused, Time until) const
    {
        for (const auto &[other, request] : this->requests) {
            const bool wasOpen = !request.heardAt || *request.heardAt > *refused.heardAt;
            if (other != id && request.job == refused.job && request.sentAt <= until && wasOpen) {
                return true;
            }
        }
        return false;
    }
    void checkResult(std::int64_t id, const wire::JobAnswer &answer, const wire::TaskResult &result,
                     std::vector<std::string> &found) const
    {
        const auto header = this->headerOf(answer, result.index);
        const auto &runs = this->runsOf(header);
        const auto ran = runs.empty() ? wire::Outcome::NOT_RUN : runs.back().outcome;
        const bool mayHaveRun = result.outcome == wire::Outcome::UNKNOWN;
        if (!mayHaveRun && result.outcome != ran) {
            found.push_back(fmt::format("request {} was told outcome {} of {}, which is {}", id,
                                        static_cast<int>(result.outcome), header, static_cast<int>(ran)));
        }
        const bool hasBody = result.outcome == wire::Outcome::FINISHED && !answer.__isset.refusal;
        if (hasBody && result.body != "result of " + header) {
            found.push_back(fmt::format("request {} got body \"{}\" for {}", id, result.body, header));
        }
    }
    /// Two answers to one job agree, but that a later one may say unknown when the agent that held the result is gone.
    void checkAgreement(std::int64_t id, const wire::JobAnswer &answer, std::map<int, wire::Outcome::type> &said,
                        std::vector<std::string> &found) const
    {
        if (!answer.done) {
            return;
        }
        for (const auto &result : answer.results) {
            if (result.outcome == wire::Outcome::UNKNOWN) {
                continue;
            }
            const auto known = said.emplace(result.index, result.outcome).first;
            if (known->second != result.outcome) {
                found.push_back(fmt::format("request {} got another outcome of task {} of {} than an earlier one", id,
                                            result.index, answer.key.submission));
            }
        }
    }

    std::map<std::string, std::vector<Run>> runs; ///< by task header
    std::map<std::int64_t, Request> requests;
    std::vector<std::string> seen;
};

} // namespace agatedrum::test
