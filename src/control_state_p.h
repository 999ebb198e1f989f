#pragma once

#include "agatedrum_types.h"
#include "config_cluster_p.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace agatedrum {

/// Answer to a configuration file.
struct ConfigVerdict
{
    bool isAccepted = false;
    std::string code; ///< accepted, conflict, lower-number or invalid
    std::string message;
};

/// One cell and the agents in it.
struct ControlCell
{
    wire::CellRecord record;
    std::set<std::string> agents;
};

/// The state machine of the control group: configuration, members, cells. All replicas that apply the same commands
/// come to the same state, so nothing here reads a clock or draws a random number. Not thread-safe.
class ControlState
{
public:
    /// Applies a committed command.
    /// @return the verdict on a SetConfig, else nothing.
    std::optional<ConfigVerdict> apply(std::int64_t index, const wire::Command &command);

    /// What would become of a file now, without applying it.
    ConfigVerdict judge(const wire::ConfigFile &file) const;

    /// Newest accepted file; number 0 for none.
    const wire::ConfigFile &file() const;
    const ClusterConfig &config() const;
    /// Accepted files, oldest first. Only the newest ones have their text.
    const std::vector<wire::ConfigFile> &history() const;
    const std::map<std::string, wire::MemberRecord> &members() const;
    const std::map<std::int32_t, ControlCell> &cells() const;
    /// @return null when there is no such member.
    const wire::MemberRecord *member(const std::string &name) const;

    /// Version of the newest change that a member's view shows; 0 for an unknown member.
    std::int64_t viewVersion(const std::string &member) const;
    /// The view by the member's role. Precondition: the member exists.
    wire::ClusterView view(const std::string &member) const;
    /// Whether an owner owns or holds the cell.
    static bool isPlacedAt(const wire::CellRecord &cell, const std::string &owner);

    wire::ControlImage image() const;
    /// Replaces the whole state.
    void restore(const wire::ControlImage &image);

private:
    struct Examined
    {
        ConfigVerdict verdict;
        std::optional<ClusterConfig> next; ///< set when the file is to come into force
    };

    Examined examine(const wire::ConfigFile &file) const;
    ConfigVerdict setConfig(std::int64_t index, const wire::ConfigFile &file);
    void join(std::int64_t index, const wire::MemberJoin &command);
    void gone(std::int64_t index, const wire::MemberGone &command);
    void leaving(std::int64_t index, const wire::MemberLeaving &command);
    void holderWhole(std::int64_t index, const wire::HolderWhole &command);
    void handOver(std::int64_t index, const wire::HandOver &command);

    void createCells(std::int64_t index);
    void placeAgent(std::int64_t index, wire::MemberRecord &agent);
    void removeAgent(std::int64_t index, wire::MemberRecord &agent);
    void removeMember(std::int64_t index, const std::string &name);
    void settle(std::int64_t index, std::int64_t atMs);
    void settleOwner(std::int64_t index, std::int64_t atMs, wire::CellRecord &cell);
    void settleHolders(std::int64_t index, wire::CellRecord &cell);
    void giveCell(std::int64_t index, wire::CellRecord &cell, const std::string &owner);
    bool dropHolders(wire::CellRecord &cell, std::size_t wanted);
    std::string chooseHolder(const wire::CellRecord &cell) const;
    std::string chooseOwner(bool isLeavingAllowed) const;
    std::string chooseWholeHolder(const wire::CellRecord &cell) const;
    std::map<std::string, int> ownerLoads(bool withHeld) const;
    std::size_t wantedHolders(const wire::CellRecord &cell) const;
    bool isLiveOwner(const std::string &name, bool isLeavingAllowed) const;

    wire::MemberRef refOf(const std::string &member) const;
    void addEntries(wire::ClusterView &view) const;
    wire::CellView cellView(const ControlCell &cell, bool withAgents) const;

    ClusterConfig parsed;
    std::vector<wire::ConfigFile> files;
    std::map<std::string, wire::MemberRecord> memberRecords;
    std::map<std::int32_t, ControlCell> cellRecords;
    std::int32_t nextCell = 0;
    std::int64_t configVersion = 0;
    std::int64_t routesVersion = 0; ///< newest change of any cell's epoch, owner, holders or existence
    std::int64_t entriesVersion = 0; ///< last change of the list of entries
};

} // namespace agatedrum
