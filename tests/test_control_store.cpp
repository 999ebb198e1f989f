#include "base_log_p.h"
#include "control_faults.h"
#include "control_journal_p.h"
#include "control_store_p.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <random>
#include <sys/resource.h>
#include <thread>

using namespace agatedrum;
using namespace agatedrum::test;

namespace {

ControlWrite makeEntryWrite(std::int64_t index, const std::string &command, std::int64_t sequence = 0)
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

ControlWrite makeSnapshotWrite(std::int64_t lastIndex)
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

/// Folder for one test, in the working directory; removed at the end.
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

void waitUntil(const std::function<bool()> &condition)
{
    for (int i = 0; i < 500 && !condition(); ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    REQUIRE(condition());
}

void waitUntilWritten(const ControlStore &store, std::int64_t sequence)
{
    waitUntil([&] { return store.status().written >= sequence; });
}

/// Makes writes to files of the process fail beyond a size, after a partial write, as long as the object exists.
class FileSizeLimit
{
public:
    explicit FileSizeLimit(std::uintmax_t bytes)
    {
        // The default action of this signal ends the process.
        this->previousHandler = std::signal(SIGXFSZ, SIG_IGN);
        ::getrlimit(RLIMIT_FSIZE, &this->previousLimit);
        auto limit = this->previousLimit;
        limit.rlim_cur = bytes;
        REQUIRE(::setrlimit(RLIMIT_FSIZE, &limit) == 0);
    }
    ~FileSizeLimit()
    {
        ::setrlimit(RLIMIT_FSIZE, &this->previousLimit);
        std::signal(SIGXFSZ, this->previousHandler);
    }
    FileSizeLimit(const FileSizeLimit &) = delete;
    FileSizeLimit &operator=(const FileSizeLimit &) = delete;

private:
    void (*previousHandler)(int) = SIG_DFL;
    struct rlimit previousLimit = {};
};

/// Returns all ways in which a full disk refuses writes.
std::vector<FullDisk> fullDisks()
{
    std::vector<FullDisk> result;
    for (const auto status : {DiskStatus::Full, DiskStatus::Failed}) {
        for (const bool isRefusedAtSync : {false, true}) {
            for (const bool refusesTruncation : {false, true}) {
                for (const std::size_t percent : {0, 50, 100}) {
                    result.push_back({status, percent, isRefusedAtSync, refusesTruncation});
                }
            }
        }
    }
    return result;
}

/// A disk that renames files but refuses to sync their folder, so that a crash keeps or loses each new name.
class UnsyncedNames : public FakeDisk
{
public:
    DiskOutcome replace(const std::string &name, const std::string &bytes) override
    {
        const auto previous = this->files[name];
        auto outcome = FakeDisk::replace(name, bytes);
        if (this->replacementsToSync-- > 0) {
            this->previousFiles.clear(); // the sync covers earlier names too
            return outcome;
        }
        this->previousFiles.emplace(name, previous);
        return {DiskStatus::Failed, "the folder was not synced"};
    }
    void loseNames(std::mt19937_64 &random)
    {
        for (const auto &[name, file] : this->previousFiles) {
            if (random() % 2 == 0) {
                this->files[name] = file;
            }
        }
        this->previousFiles.clear();
    }
    int replacementsToSync = 1000;

private:
    std::map<std::string, File> previousFiles;
};

} // namespace

// Guards against a journal that loses synced entries or accepts corrupt ones. A crash can leave an incomplete last
// write, which must be discarded; any other damage must be reported.
TEST_CASE("The journal discards an incomplete last write and refuses corrupt data", "[control]")
{
    setLogLevel(LogLevel::Error);
    FakeDisk disk;
    auto journal = openJournal(disk);
    std::vector<std::size_t> frameEnds;
    for (int index = 1; index <= 3; ++index) {
        REQUIRE(journal->write({makeEntryWrite(index, "command")}).status == DiskStatus::Ok);
        frameEnds.push_back(disk.files["log"].content.size());
    }
    const auto intact = disk.files["log"].content;

    SECTION("a log truncated anywhere in its last frame loses only that frame and accepts further writes")
    {
        for (auto size = frameEnds[1]; size < frameEnds[2]; ++size) {
            disk.files["log"] = {intact.substr(0, size), size};
            auto reopened = openJournal(disk);
            REQUIRE(reopened->loaded().entries.size() == 2);
            REQUIRE(reopened->write({makeEntryWrite(3, "again")}).status == DiskStatus::Ok);
            REQUIRE(openJournal(disk)->loaded().entries.back().command == "again");
        }
    }

    SECTION("a flipped bit in an earlier frame is reported with file and offset")
    {
        for (auto at = frameEnds[0]; at < frameEnds[1]; ++at) {
            auto damaged = intact;
            damaged[at] = static_cast<char>(damaged[at] ^ 1);
            disk.files["log"] = {damaged, damaged.size()};
            const auto opened = ControlJournal::open(disk);
            REQUIRE_FALSE(isOk(opened));
            REQUIRE(error(opened).file == "log");
            REQUIRE(error(opened).offset == static_cast<std::int64_t>(frameEnds[0]));
        }
    }

    SECTION("a corrupt snapshot, an unknown format or a missing log is refused")
    {
        REQUIRE(journal->write({makeSnapshotWrite(2)}).status == DiskStatus::Ok);
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

    SECTION("a write to a full disk changes nothing and can be retried later")
    {
        disk.isFull = true;
        REQUIRE(journal->write({makeEntryWrite(4, "late")}).status == DiskStatus::Full);
        REQUIRE(journal->write({makeSnapshotWrite(2)}).status == DiskStatus::Full);
        disk.isFull = false;
        REQUIRE(disk.files["log"].content == intact);
        REQUIRE(journal->write({makeEntryWrite(4, "late")}).status == DiskStatus::Ok);
        REQUIRE(openJournal(disk)->loaded().entries.size() == 4);
    }

    SECTION("however a full disk refuses writes, they succeed once it has room, and survive a crash then")
    {
        std::mt19937_64 random(7);
        const auto files = disk.files;
        for (const auto &full : fullDisks()) {
            disk.files = files;
            disk.full = full;
            auto writer = openJournal(disk);
            for (int index = 4; index <= 6; ++index) {
                disk.isFull = true;
                REQUIRE(writer->write({makeEntryWrite(index, "late")}).status == full.status);
                REQUIRE(writer->write({makeEntryWrite(index, "late")}).status == full.status);
                disk.isFull = false;
                REQUIRE(writer->write({makeEntryWrite(index, "late")}).status == DiskStatus::Ok);
                disk.crash(random);
                REQUIRE(openJournal(disk)->loaded().entries.size() == static_cast<std::size_t>(index));
            }
            disk.isFull = true;
            REQUIRE(writer->write({makeEntryWrite(7, "late")}).status == full.status);
            REQUIRE(writer->write({makeSnapshotWrite(7)}).status == full.status);
            disk.isFull = false;
            REQUIRE(writer->write({makeSnapshotWrite(7)}).status == DiskStatus::Ok);
            REQUIRE(writer->write({makeEntryWrite(8, "next")}).status == DiskStatus::Ok);
            REQUIRE(openJournal(disk)->loaded().entries.size() == 1);
        }
    }

    SECTION("after a crash between writing the snapshot and the log, both are readable and accept further writes")
    {
        const auto files = disk.files;
        for (int operations = 0; operations < 4; ++operations) {
            disk.files = files;
            auto writer = openJournal(disk);
            disk.cutPowerAfter(operations);
            auto write = makeSnapshotWrite(2);
            write.entries = makeEntryWrite(3, "command").entries;
            REQUIRE_THROWS_AS(writer->write({write}), PowerCut);
            disk.cutPowerAfter(-1);
            auto reopened = openJournal(disk);
            const auto &loaded = reopened->loaded();
            REQUIRE(loaded.entries.back().index == 3);
            REQUIRE(loaded.entries.size() == (loaded.snapshot ? 1 : 3));
            REQUIRE(reopened->write({makeEntryWrite(4, "next")}).status == DiskStatus::Ok);
            REQUIRE(openJournal(disk)->loaded().entries.back().command == "next");
        }
    }

    SECTION("a crash after writing a snapshot that is newer than the whole log leaves no gap between them")
    {
        disk.cutPowerAfter(2);
        REQUIRE_THROWS_AS(journal->write({makeSnapshotWrite(9)}), PowerCut);
        disk.cutPowerAfter(-1);
        REQUIRE(openJournal(disk)->write({makeEntryWrite(10, "next")}).status == DiskStatus::Ok);
        REQUIRE(openJournal(disk)->loaded().entries.size() == 1);
    }

    SECTION("an unsynced write with any sectors missing is discarded, and synced writes are kept")
    {
        std::mt19937_64 random(7);
        for (int i = 0; i < 200; ++i) {
            disk.files["log"] = {intact, intact.size()};
            auto writer = openJournal(disk);
            disk.cutPowerAfter(1);
            REQUIRE_THROWS_AS(writer->write({makeEntryWrite(4, std::string(500, 'x'))}), PowerCut);
            disk.crash(random);
            REQUIRE(openJournal(disk)->loaded().entries.size() >= 3);
        }
    }
}

// Guards against a journal that cannot be read after a crash, or loses entries, when names were changed in a folder
// that was not synced.
TEST_CASE("A crash may keep or lose each replaced file whose folder was not synced", "[control]")
{
    setLogLevel(LogLevel::Error);
    std::mt19937_64 random(7);
    for (int round = 0; round < 100; ++round) {
        UnsyncedNames disk;
        auto journal = openJournal(disk);
        REQUIRE(journal->write({makeEntryWrite(1, "a")}).status == DiskStatus::Ok);
        REQUIRE(journal->write({makeSnapshotWrite(1)}).status == DiskStatus::Ok);
        for (int index = 2; index <= 4; ++index) {
            REQUIRE(journal->write({makeEntryWrite(index, "b")}).status == DiskStatus::Ok);
        }
        auto write = makeSnapshotWrite(3);
        write.entries = makeEntryWrite(4, "b").entries;
        for (int attempt = 0; attempt < 3; ++attempt) {
            disk.replacementsToSync = static_cast<int>(random() % 2);
            REQUIRE(journal->write({write}).status == DiskStatus::Failed);
        }
        disk.loseNames(random);
        disk.replacementsToSync = 1000;
        auto reopened = openJournal(disk);
        REQUIRE(reopened->loaded().entries.back().index == 4);
        REQUIRE(reopened->loaded().snapshot->lastIndex + 1 == reopened->loaded().entries.front().index);
        REQUIRE(reopened->write({makeEntryWrite(5, "next")}).status == DiskStatus::Ok);
        REQUIRE(openJournal(disk)->loaded().entries.back().command == "next");
    }
}

// Guards against a store that loses votes or entries over a restart, or that two processes use at the same time.
TEST_CASE("The store persists terms, entries and snapshots in a folder", "[control]")
{
    const TestFolder folder;
    auto store = openStore(folder.path);
    ControlWrite vote;
    vote.sequence = 1;
    vote.state.emplace();
    vote.state->term = 3;
    vote.state->vote = "c1/1";
    store->submit(vote);
    waitUntilWritten(*store, 1);
    store->submit(makeEntryWrite(1, "a", 2));
    store->submit(makeEntryWrite(2, "b", 3));
    waitUntilWritten(*store, 3);

    SECTION("opening the folder a second time fails")
    {
        const auto second = ControlStore::open(folder.path);
        REQUIRE_FALSE(isOk(second));
        REQUIRE_THAT(error(second).message, Catch::Contains("another process"));
    }

    SECTION("all data is loaded after a restart, with truncations and snapshots applied")
    {
        auto truncation = makeEntryWrite(2, "c", 4);
        truncation.truncateFrom = 2;
        store->submit(truncation);
        store.reset();
        store = openStore(folder.path);
        auto loaded = store->load();
        REQUIRE(loaded.state.vote == "c1/1");
        REQUIRE(loaded.entries.size() == 2);
        REQUIRE(loaded.entries[1].command == "c");
        auto snapshot = makeSnapshotWrite(2);
        snapshot.sequence = 1;
        store->submit(snapshot);
        store.reset();
        loaded = openStore(folder.path)->load();
        REQUIRE(loaded.entries.empty());
        REQUIRE(loaded.snapshot->data == "state");
        REQUIRE(loaded.state.term == 4);
    }

    SECTION("writes that the disk refuses are retried until it accepts them")
    {
        const auto isRefused = [&store] { return store->status().isFull || !store->status().failure.empty(); };
        {
            const FileSizeLimit limit(std::filesystem::file_size(folder.path + "/log") + 20);
            store->submit(makeEntryWrite(3, std::string(4000, 'x'), 4));
            waitUntil(isRefused);
            REQUIRE(store->status().written == 3);
        }
        waitUntilWritten(*store, 4);
        REQUIRE_FALSE(isRefused());
        {
            const FileSizeLimit limit(20);
            auto snapshot = makeSnapshotWrite(3);
            snapshot.sequence = 5;
            store->submit(snapshot);
            store->submit(makeEntryWrite(4, "d", 6));
            waitUntil(isRefused);
        }
        waitUntilWritten(*store, 6);
        store.reset();
        const auto loaded = openStore(folder.path)->load();
        REQUIRE(loaded.snapshot->lastIndex == 3);
        REQUIRE(loaded.entries.size() == 1);
        REQUIRE(loaded.entries[0].command == "d");
    }

    SECTION("the error for corrupt data contains the full path")
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
