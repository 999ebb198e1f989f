#include <catch2/catch.hpp>

#include "host_holds_p.h"

#include <vector>

using namespace agatedrum;

namespace {

Time at(int ms)
{
    return Time(Millis(1000 + ms));
}

/// Questions that are due now.
std::vector<HoldSchedule::Hold> due(HoldSchedule &schedule, int ms, const std::vector<Time> &doubts = {})
{
    std::vector<HoldSchedule::Hold> result;
    while (const auto hold = schedule.takeDue(at(ms), doubts)) {
        result.push_back(*hold);
    }
    return result;
}

} // namespace

TEST_CASE("A host asks a backend server more often only while that tells more", "[host]")
{
    HoldSchedule schedule;
    const auto first = due(schedule, 0);
    REQUIRE(first.size() == 1);
    REQUIRE(first[0].wait > Millis(0));
    REQUIRE(due(schedule, 10).empty());

    SECTION("on a calm day the next question follows an answer, so that none is in vain")
    {
        schedule.noteAnswer(first[0]);
        REQUIRE(due(schedule, 20).size() == 1);
        REQUIRE(due(schedule, 20).empty());
    }

    SECTION("a lost answer brings a second open question, which guards against the loss of the next one")
    {
        schedule.noteLoss(first[0], at(160));
        auto open = due(schedule, 160);
        REQUIRE(open.size() == 2);

        SECTION("until no answer has been lost for a while")
        {
            schedule.noteAnswer(open[0]);
            schedule.noteAnswer(open[1]);
            REQUIRE(due(schedule, 3000).size() == 1);
        }
    }

    SECTION("a doubtful run brings one question that does not wait, once an answer can tell something")
    {
        REQUIRE(due(schedule, 25, {at(25)}).empty());
        const auto look = due(schedule, 26, {at(25)});
        REQUIRE(look.size() == 1);
        REQUIRE(look[0].wait == Millis(0));
        REQUIRE(due(schedule, 30, {at(25), at(28)}).empty());

        SECTION("which is not repeated for the same doubt")
        {
            schedule.noteAnswer(look[0]);
            REQUIRE(due(schedule, 30, {at(25)}).empty());
            REQUIRE(due(schedule, 30, {at(25), at(28)}).size() == 1);
        }
        SECTION("unless its own answer was lost")
        {
            schedule.noteLoss(look[0], at(126));
            REQUIRE(due(schedule, 126, {at(25)}).size() == 2); // the other one is the second open question
        }
    }

    SECTION("a backend server that can't be reached is not asked without pause")
    {
        schedule.noteAnswer(first[0]);
        schedule.delayUntil(at(100));
        REQUIRE(due(schedule, 99).empty());
        REQUIRE(due(schedule, 100).size() == 1);
    }
}
