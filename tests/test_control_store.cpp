#include "base_log_p.h"
#include "control_faults.h"
#include "control_journal_p.h"
#include "control_store_p.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <random>
#include <thread>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

ControlWrite entryWrite(std::int64_t index, const std::string &command, std::int64_t sequence = 0)
{
    ControlWrite write;
    write.sequence = sequence == 0 ? index : sequence;
    wire::LogEntry entry;
    entry.index = index;
    entry.term = 1;
    entry.command = command;
    write.entries.push_back(entry);
    return write;
}

ControlWrite snapshotWrite(std::int64_t lastIndex)
{
    ControlWrite write;
    write.snapshot.emplace();
    write.snapshot->lastIndex = lastIndex;
    write.snapshot->lastTerm = 1;
    write.snapshot->data = "state";
    write.state.emplace();
    write.state->term = 4;
    return write;
}

std::unique_ptr<ControlJournal> openJournal(DiskI &disk)
{
    auto opened = ControlJournal::open(disk);
    REQUIRE(isOk(opened));
    return takeValue(std::move(opened));
}

/// A folder of its own below the build's working directory, removed at the end.
struct TestFolder
{
    TestFolder()
        : path("control-store-test")
    {
        std::filesystem::remove_all(this->path);
    }
    ~TestFolder()
    {
        std::filesystem::remove_all(this->path);
    }
    std::string path;
};

std::unique_ptr<ControlStore> openStore(const std::string &path)
{
    auto opened = ControlStore::open(path);
    REQUIRE(isOk(opened));
    return takeValue(std::move(opened));
}

void waitWritten(const ControlStore &store, std::int64_t sequence)
{
    for (int i = 0; i < 500 && store.status().written < sequence; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    REQUIRE(store.status().written >= sequence);
}

} // namespace

TEST_CASE("The journal tells a torn write from damage", "[control]")
{
    setLogLevel(LogLevel::Error);
    FakeDisk disk;
    auto journal = openJournal(disk);
    std::vector<std::size_t> ends;
    for (int index = 1; index <= 3; ++index) {
        REQUIRE(journal->write({entryWrite(index, "command")}).status == DiskStatus::Ok);
        ends.push_back(disk.files["log"].content.size());
    }
    const auto intact = disk.files["log"].content;

    SECTION("a log cut anywhere in its last frame loses that frame only, and goes on")
    {
        for (auto size = ends[1]; size < ends[2]; ++size) {
            disk.files["log"] = {intact.substr(0, size), size};
            auto reopened = openJournal(disk);
            REQUIRE(reopened->loaded().entries.size() == 2);
            REQUIRE(reopened->write({entryWrite(3, "again")}).status == DiskStatus::Ok);
            REQUIRE(openJournal(disk)->loaded().entries.back().command == "again");
        }
    }

    SECTION("a flipped bit in an earlier frame is refused with file and offset")
    {
        for (auto at = ends[0]; at < ends[1]; ++at) {
            auto damaged = intact;
            damaged[at] = static_cast<char>(damaged[at] ^ 1);
            disk.files["log"] = {damaged, damaged.size()};
            const auto opened = ControlJournal::open(disk);
            REQUIRE_FALSE(isOk(opened));
            REQUIRE(error(opened).file == "log");
            REQUIRE(error(opened).offset == static_cast<std::int64_t>(ends[0]));
        }
    }

    SECTION("a damaged snapshot, an unknown format or a missing log is refused")
    {
        REQUIRE(journal->write({snapshotWrite(2)}).status == DiskStatus::Ok);
        const auto files = disk.files;
        disk.files["snapshot"].content.back() ^= 1;
        REQUIRE(error(ControlJournal::open(disk)).file == "snapshot");
        disk.files = files;
        disk.files["snapshot"].content[19] = '2';
        REQUIRE_THAT(error(ControlJournal::open(disk)).message, Catch::Contains("format version 1"));
        disk.files = files;
        disk.files["log"].content.back() ^= 1;
        REQUIRE(error(ControlJournal::open(disk)).offset == 16);
        disk.files = files;
        disk.files.erase("log");
        REQUIRE_THAT(error(ControlJournal::open(disk)).message, Catch::Contains("missing"));
    }

    SECTION("a full disk changes nothing, and the same orders go through later")
    {
        disk.isFull = true;
        REQUIRE(journal->write({entryWrite(4, "late")}).status == DiskStatus::Full);
        REQUIRE(journal->write({snapshotWrite(2)}).status == DiskStatus::Full);
        disk.isFull = false;
        REQUIRE(disk.files["log"].content == intact);
        REQUIRE(journal->write({entryWrite(4, "late")}).status == DiskStatus::Ok);
        REQUIRE(openJournal(disk)->loaded().entries.size() == 4);
    }

    SECTION("a crash between snapshot and log keeps both readable, then and after the next write")
    {
        const auto files = disk.files;
        for (int operations = 0; operations < 4; ++operations) {
            disk.files = files;
            auto writer = openJournal(disk);
            disk.cutAfter(operations);
            auto write = snapshotWrite(2);
            write.entries = entryWrite(3, "command").entries;
            REQUIRE_THROWS_AS(writer->write({write}), PowerCut);
            disk.cutAfter(-1);
            auto reopened = openJournal(disk);
            const auto &loaded = reopened->loaded();
            REQUIRE(loaded.entries.back().index == 3);
            REQUIRE(loaded.entries.size() == (loaded.snapshot ? 1 : 3));
            REQUIRE(reopened->write({entryWrite(4, "next")}).status == DiskStatus::Ok);
            REQUIRE(openJournal(disk)->loaded().entries.back().command == "next");
        }
    }

    SECTION("a crash after a snapshot that is newer than the whole log leaves no gap")
    {
        disk.cutAfter(2);
        REQUIRE_THROWS_AS(journal->write({snapshotWrite(9)}), PowerCut);
        disk.cutAfter(-1);
        REQUIRE(openJournal(disk)->write({entryWrite(10, "next")}).status == DiskStatus::Ok);
        REQUIRE(openJournal(disk)->loaded().entries.size() == 1);
    }

    SECTION("an unsynced write that lost sectors in any order is dropped, synced ones stay")
    {
        std::mt19937_64 random(7);
        for (int i = 0; i < 200; ++i) {
            disk.files["log"] = {intact, intact.size()};
            auto writer = openJournal(disk);
            disk.cutAfter(1);
            REQUIRE_THROWS_AS(writer->write({entryWrite(4, std::string(500, 'x'))}), PowerCut);
            disk.crash(random);
            REQUIRE(openJournal(disk)->loaded().entries.size() >= 3);
        }
    }
}

TEST_CASE("The store keeps terms, entries and snapshots in a folder", "[control]")
{
    const TestFolder folder;
    auto store = openStore(folder.path);
    ControlWrite vote;
    vote.sequence = 1;
    vote.state.emplace();
    vote.state->term = 3;
    vote.state->vote = "c1/1";
    store->submit(vote);
    waitWritten(*store, 1);
    store->submit(entryWrite(1, "a", 2));
    store->submit(entryWrite(2, "b", 3));
    waitWritten(*store, 3);

    SECTION("a second process is refused")
    {
        const auto second = ControlStore::open(folder.path);
        REQUIRE_FALSE(isOk(second));
        REQUIRE_THAT(error(second).message, Catch::Contains("another process"));
    }

    SECTION("a restart finds everything; a truncation and a snapshot replace what they should")
    {
        auto truncation = entryWrite(2, "c", 4);
        truncation.truncateFrom = 2;
        store->submit(truncation);
        store.reset();
        store = openStore(folder.path);
        auto loaded = store->load();
        REQUIRE(loaded.state.vote == "c1/1");
        REQUIRE(loaded.entries.size() == 2);
        REQUIRE(loaded.entries[1].command == "c");
        auto snapshot = snapshotWrite(2);
        snapshot.sequence = 1;
        store->submit(snapshot);
        store.reset();
        loaded = openStore(folder.path)->load();
        REQUIRE(loaded.entries.empty());
        REQUIRE(loaded.snapshot->data == "state");
        REQUIRE(loaded.state.term == 4);
    }

    SECTION("damage names the whole path")
    {
        store.reset();
        std::fstream file(folder.path + "/log", std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(20);
        file.put('!');
        file.close();
        const auto opened = ControlStore::open(folder.path);
        REQUIRE_FALSE(isOk(opened));
        REQUIRE_THAT(error(opened).text(), Catch::StartsWith(folder.path + "/log at offset 16"));
    }
}
