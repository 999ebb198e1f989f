#include "entry_fixture.h"
#include "entry_key_p.h"

#include <catch2/catch.hpp>

using namespace agatedrum;
using namespace agatedrum::test;

TEST_CASE("An entry forwards a job to the owner of its cell", "[entry]")
{
    EntryFixture entry;
    entry.showView(1, {100, 100});

    SECTION("and hands the whole answer back in the order of the tasks")
    {
        entry.submit(jobSpec("s1"));
        const auto jobs = entry.sentJobs();
        REQUIRE(jobs.size() == 1);
        REQUIRE(jobs[0].epoch == 1);
        REQUIRE(jobs[0].spec.digest == jobDigest(jobSpec("s1")));
        entry.receive(100, finishedReply(jobs[0]));
        REQUIRE(entry.answers.size() == 1);
        REQUIRE(entry.answers[0].complete);
        REQUIRE(entry.answers[0].results[0].taskId == "t0");
        REQUIRE(entry.answers[0].results[1].body == "done-1");

        SECTION("a repeated answer does nothing")
        {
            entry.receive(100, finishedReply(jobs[0]));
            REQUIRE(entry.answers.size() == 1);
        }
    }
}
