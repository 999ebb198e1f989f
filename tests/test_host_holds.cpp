#include <catch2/catch.hpp>

#include "host_holds_p.h"

#include <vector>

using namespace agatedrum;

namespace {

Time at(int ms)
{
    return Time(Millis(1000 + ms));
}

/// Returns all polls that are due now.
std::vector<PollSchedule::Poll> takeAllDue(PollSchedule &schedule, int ms,
                                           const std::vector<Time> &unconfirmedSince = {})
{
    std::vector<PollSchedule::Poll> result;
    while (const auto poll = schedule.takeDue(at(ms), unconfirmedSince)) {
        result.push_back(*poll);
    }
    return result;
}

} // namespace

TEST_CASE("A host polls a backend server more often only while that gives more information", "[host]")
{
    // Guards against tasks that end late because lost answers hide ended runs, and against polls that give no
    // information.
    PollSchedule schedule;
    const auto first = takeAllDue(schedule, 0);
    REQUIRE(first.size() == 1);
    REQUIRE(first[0].wait > Millis(0));
    REQUIRE(takeAllDue(schedule, 10).empty());

    SECTION("without losses, the next poll is sent after the previous one was answered")
    {
        schedule.recordAnswer(first[0]);
        REQUIRE(takeAllDue(schedule, 20).size() == 1);
        REQUIRE(takeAllDue(schedule, 20).empty());
    }

    SECTION("after a lost answer two polls are open, so that the loss of one more answer does not matter")
    {
        schedule.recordLoss(first[0], at(160));
        auto open = takeAllDue(schedule, 160);
        REQUIRE(open.size() == 2);

        SECTION("one poll is open again after no answer was lost for a while")
        {
            schedule.recordAnswer(open[0]);
            schedule.recordAnswer(open[1]);
            REQUIRE(takeAllDue(schedule, 3000).size() == 1);
        }
    }

    SECTION("an unconfirmed run triggers one immediate poll as soon as its answer can give new information")
    {
        REQUIRE(takeAllDue(schedule, 25, {at(25)}).empty());
        const auto immediatePoll = takeAllDue(schedule, 26, {at(25)});
        REQUIRE(immediatePoll.size() == 1);
        REQUIRE(immediatePoll[0].wait == Millis(0));
        REQUIRE(takeAllDue(schedule, 30, {at(25), at(28)}).empty());

        SECTION("the immediate poll is not repeated for the same run")
        {
            schedule.recordAnswer(immediatePoll[0]);
            REQUIRE(takeAllDue(schedule, 30, {at(25)}).empty());
            REQUIRE(takeAllDue(schedule, 30, {at(25), at(28)}).size() == 1);
        }
        SECTION("the immediate poll is repeated if its answer was lost")
        {
            schedule.recordLoss(immediatePoll[0], at(126));
            REQUIRE(takeAllDue(schedule, 126, {at(25)}).size() == 2); // the other one is the second long poll
        }
    }

    SECTION("a backend server that cannot be reached is polled after a delay")
    {
        schedule.recordAnswer(first[0]);
        schedule.delayUntil(at(100));
        REQUIRE(takeAllDue(schedule, 99).empty());
        REQUIRE(takeAllDue(schedule, 100).size() == 1);
    }
}
