#pragma once

#include "base_clock_p.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <utility>

namespace agatedrum::test {

/// Seeded source of random numbers.
class RandomSource
{
public:
    explicit RandomSource(std::uint64_t seed)
        : engine(seed)
    {
    }
    double drawFraction()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->engine);
    }
    int drawBelow(int bound)
    {
        return std::uniform_int_distribution<int>(0, bound - 1)(this->engine);
    }
    Micros drawBetween(Micros low, Micros high)
    {
        return Micros(std::uniform_int_distribution<std::int64_t>(low.count(), high.count())(this->engine));
    }

private:
    std::mt19937_64 engine;
};

/// Runs scheduled actions in the order of their times, on a simulated clock.
class Timeline
{
public:
    void after(Micros delay, std::function<void()> action)
    {
        this->actions.emplace(this->simClock.now() + delay, std::move(action));
    }
    /// Repeats the action until it returns false.
    void every(Micros interval, std::function<bool()> action)
    {
        this->after(interval, [this, interval, action = std::move(action)] {
            if (action()) {
                this->every(interval, action);
            }
        });
    }
    void run(Micros time)
    {
        const auto until = this->simClock.now() + time;
        while (!this->actions.empty() && this->actions.begin()->first <= until) {
            auto node = this->actions.extract(this->actions.begin());
            this->simClock.advance(node.key() - this->simClock.now());
            node.mapped()();
        }
        this->simClock.advance(until - this->simClock.now());
    }
    const ClockI &clock() const
    {
        return this->simClock;
    }
    Time now() const
    {
        return this->simClock.now();
    }
    /// Returns the milliseconds since the start of the simulation.
    std::int64_t elapsedMs() const
    {
        return toMillis(this->simClock.now() - this->startedAt);
    }

private:
    ManualClock simClock;
    Time startedAt = simClock.now();
    std::multimap<Time, std::function<void()>> actions;
};

} // namespace agatedrum::test
