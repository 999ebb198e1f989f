#pragma once

#include "soak_cluster.h"

namespace agatedrum::test {

/// How the callers of one run behave.
struct SoakCallerOptions
{
    int threads = 8;
    int maxTasks = 4;
    int maxAttempts = 3; ///< of one job
    int maxPauseMs = 500; ///< between two jobs; the connection stays open
    SoakMillis answerSlack {300}; ///< time beyond its limit for which a caller waits for an answer
    bool exceedsLimits = false; ///< some requests are larger than the limits of the configuration
    int extraTaskMs = 0; ///< added to the run time of each task
    bool losesConnections = false; ///< closes some connections before the answer and submits the job elsewhere
    bool hasDeadlyTasks = false; ///< some jobs have a task that crashes executors
    std::uint64_t seed = 1;
};

/// Callers that submit one job after another. A job is submitted again 1.3 s after a broken connection, a 502, a 504 or
/// no answer. Each caller uses its connection until the server closes it, and then goes to the next entry.
class SoakCallers
{
public:
    static constexpr SoakMillis retryDelay {1300};

    SoakCallers(SoakRecord &record, const SoakCluster &cluster, const SoakCallerOptions &options)
        : record(record)
        , cluster(cluster)
        , options(options)
    {
        for (int i = 0; i < options.threads; ++i) {
            this->threads.emplace_back([this, i] { this->run(i); });
        }
    }
    ~SoakCallers()
    {
        this->stop();
    }
    SoakCallers(const SoakCallers &) = delete;
    SoakCallers &operator=(const SoakCallers &) = delete;

    /// Submits no further jobs and waits for the end of those that were submitted. Idempotent.
    void stop()
    {
        this->isStopping = true;
        for (auto &thread : this->threads) {
            thread.join();
        }
        this->threads.clear();
    }

    /// Submits no further jobs with deadly tasks.
    void spareExecutors()
    {
        this->isSparing = true;
    }

    static bool isRejection(int status)
    {
        return status >= 400 && status < 500 ? status != 408 : status == 503;
    }
    /// Returns whether the caller may submit the job again.
    static bool mustRetry(const SoakExchange &result)
    {
        return result.end != SoakExchange::End::Answered || result.status == 502 || result.status == 504;
    }

    static SoakJob drawJob(std::mt19937_64 &random, int maxTasks)
    {
        SoakJob job;
        job.id = fmt::format("{:016x}", random());
        job.service = SoakCluster::serviceName;
        job.cpuMillis = 500 * (1 + static_cast<std::int64_t>(random() % 6));
        const auto count = 1 + random() % static_cast<std::uint64_t>(maxTasks);
        const int longest = random() % 3 == 0 ? 900 : 250;
        for (std::uint64_t i = 0; i < count; ++i) {
            job.taskMs.push_back(30 + static_cast<int>(random() % static_cast<std::uint64_t>(longest - 29)));
            const auto luck = random() % 100;
            job.failures.push_back(luck == 0 ? 99 : luck < 4 ? 1 : 0);
        }
        return job;
    }

private:
    /// One caller's connection and the entry that it leads to.
    struct Line
    {
        SoakConnection connection;
        int entry = 1;
    };

    void run(int caller)
    {
        std::mt19937_64 random(this->options.seed * 1000 + static_cast<std::uint64_t>(caller));
        Line line;
        line.entry = 1 + caller % this->cluster.entryCount();
        while (!this->isStopping) {
            SoakSubmission submission;
            submission.job = drawJob(random, this->options.maxTasks);
            submission.timeLimit = SoakMillis(1500 + 500 * static_cast<int>(random() % 4));
            this->drawTrouble(random, submission);
            std::string headers = fmt::format("{}: {}\r\n", soak_wire::timeLimitHeader, submission.timeLimit.count());
            if (this->options.exceedsLimits && random() % 20 == 0) {
                submission.job.paddingBytes = 20000;
            } else if (this->options.exceedsLimits && random() % 20 == 0) {
                headers += "Filler: " + std::string(4000, 'x') + "\r\n";
            }
            this->submit(line, submission, headers);
            this->record.addSubmission(std::move(submission));
            std::this_thread::sleep_for(SoakMillis(random() % static_cast<std::uint64_t>(this->options.maxPauseMs)));
        }
    }

    void drawTrouble(std::mt19937_64 &random, SoakSubmission &submission) const
    {
        constexpr int deadlyShare = 40; ///< one job of so many has a deadly task
        constexpr int lossShare = 2; ///< one job of so many loses its connection at its first attempts
        auto &job = submission.job;
        for (auto &taskMs : job.taskMs) {
            taskMs += this->options.extraTaskMs;
        }
        if (this->options.hasDeadlyTasks && !this->isSparing && random() % deadlyShare == 0) {
            job.deadlyTask = static_cast<int>(random() % job.taskMs.size());
        }
        if (this->options.losesConnections && random() % lossShare == 0) {
            submission.connectionLossAfter = SoakMillis(50 + static_cast<int>(random() % 900));
        }
    }

    /// Returns how long the caller keeps its connection open for the answer.
    SoakMillis patience(const SoakSubmission &submission, int attempt) const
    {
        const auto whole = submission.timeLimit + this->options.answerSlack;
        return submission.connectionLossAfter > SoakMillis(0) && attempt + 1 < this->options.maxAttempts
            ? submission.connectionLossAfter
            : whole;
    }

    void submit(Line &line, SoakSubmission &submission, const std::string &headers)
    {
        const auto request = soakRequest("POST", soak_wire::jobPath(submission.job), soak_wire::callerHost,
                                         soak_wire::encodeJob(submission.job), headers);
        for (int attempt = 0; attempt < this->options.maxAttempts; ++attempt) {
            if (attempt > 0) {
                std::this_thread::sleep_for(retryDelay);
            }
            if (!this->open(line)) {
                continue;
            }
            const auto name = SoakCluster::nameOf("entry", line.entry);
            auto result = line.connection.exchange(request, this->patience(submission, attempt));
            const bool isDone = !mustRetry(result);
            submission.attempts.push_back({name, std::move(result)});
            if (!line.connection.isOpen()) {
                this->moveOn(line);
            }
            if (isDone) {
                return;
            }
        }
    }

    /// Makes sure that the line has a connection on which nothing is outstanding. Tries each entry once.
    bool open(Line &line)
    {
        if (line.connection.isOpen()) {
            const auto state = line.connection.checkIdle();
            if (state == SoakConnection::Idle::Usable) {
                return true;
            }
            const auto name = SoakCluster::nameOf("entry", line.entry);
            if (state == SoakConnection::Idle::UnaskedBytes) {
                this->record.addViolation(name + " sent bytes on an idle connection");
            } else if (state == SoakConnection::Idle::Reset) {
                this->record.addIdleReset(name);
            }
            this->moveOn(line);
        }
        for (int i = 0; i < this->cluster.entryCount(); ++i) {
            if (line.connection.connect(this->cluster.callerAddress(line.entry), SoakMillis(500))) {
                return true;
            }
            this->moveOn(line);
        }
        return false;
    }

    void moveOn(Line &line) const
    {
        line.entry = 1 + line.entry % this->cluster.entryCount();
    }

    SoakRecord &record;
    const SoakCluster &cluster;
    const SoakCallerOptions options;
    std::atomic<bool> isStopping {false};
    std::atomic<bool> isSparing {false};
    std::vector<std::thread> threads;
};

} // namespace agatedrum::test
