#pragma once

#include "soak_executor.h"

namespace agatedrum::test {

/// Runs an executor and, some seconds after each of its crashes, the next one under another id at the same address.
class SoakMachine
{
public:
    SoakMachine(SoakRecord &record, const SoakExecutorOptions &options)
        : record(record)
        , options(options)
        , firstId(options.id)
        , random(options.seed)
        , executor(std::make_unique<SoakExecutor>(record, options))
        , supervisor([this] { this->run(); })
    {
    }
    ~SoakMachine()
    {
        this->isStopping = true;
        this->supervisor.join();
    }
    SoakMachine(const SoakMachine &) = delete;
    SoakMachine &operator=(const SoakMachine &) = delete;

private:
    static constexpr int leastDowntimeMs = 1500;
    static constexpr int downtimeRangeMs = 2500;

    void run()
    {
        while (!this->isStopping) {
            std::this_thread::sleep_for(SoakMillis(5));
            if (this->executor && this->executor->hasCrashed()) {
                this->executor.reset();
                this->backAt
                    = soakNow() + SoakMillis(leastDowntimeMs + static_cast<int>(this->random() % downtimeRangeMs));
            } else if (!this->executor && soakNow() >= this->backAt) {
                this->options.id = fmt::format("{}-{}", this->firstId, ++this->crashes);
                this->options.seed = this->random();
                this->executor = std::make_unique<SoakExecutor>(this->record, this->options);
            }
        }
    }

    SoakRecord &record;
    SoakExecutorOptions options;
    const std::string firstId;
    std::mt19937_64 random;
    std::atomic<bool> isStopping {false};
    int crashes = 0;
    SoakTime backAt;
    std::unique_ptr<SoakExecutor> executor; ///< null while it is down
    std::thread supervisor;
};

} // namespace agatedrum::test
