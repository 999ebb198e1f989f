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

/// Decision on a configuration file or on an order of an operator.
struct ConfigDecision
{
    bool isAccepted = false;
    /// "accepted"; of a file also "conflict", "lower-number" or "invalid"; of an order also "unknown-domain" or
    /// "superseded"
    std::string code;
    std::string message;
};

/// A cell and the names of the agents that are assigned to it.
struct ControlCell
{
    wire::CellRecord record;
    std::set<std::string> agents;
};

/// Returns the state of a failure domain after the order, in words for operators. Thread-safe.
std::string describeEvacuation(const wire::Evacuation &order);

/// The replicated state machine of the control group: configuration, members, cells and evacuations. All replicas that
/// apply the same commands must reach the same state, so this class uses neither clocks nor random numbers. Not
/// thread-safe.
class ControlState
{
public:
    /// Applies a committed command.
    /// @param index index of the command in the log.
    /// @return the decision on a SetConfig or SetEvacuation command, else std::nullopt.
    std::optional<ConfigDecision> apply(std::int64_t index, const wire::Command &command);

    /// Returns the decision that the file would get now, without applying it.
    ConfigDecision evaluate(const wire::ConfigFile &file) const;

    /// Returns the newest accepted file, or one with number 0 if there is none.
    const wire::ConfigFile &file() const;
    const ClusterConfig &config() const;
    /// Returns the accepted files, oldest first. Only the newest ones still have their text.
    const std::vector<wire::ConfigFile> &history() const;
    const std::map<std::string, wire::MemberRecord> &members() const;
    const std::map<std::int32_t, ControlCell> &cells() const;
    /// Returns the newest order for each failure domain that has had one, by domain.
    const std::map<std::string, wire::Evacuation> &evacuations() const;
    /// Returns the newest order for the failure domain, or an inactive one with index 0 if there is none.
    wire::Evacuation evacuation(const std::string &failureDomain) const;
    /// @return null if there is no such member.
    const wire::MemberRecord *member(const std::string &name) const;

    /// Returns the version of the newest change in a member's view, or 0 if there is no such member.
    std::int64_t viewVersion(const std::string &member) const;
    /// Returns the cluster view for the member, according to its role. Precondition: the member exists.
    wire::ClusterView view(const std::string &member) const;
    /// Returns whether the named process owns the cell or holds a replica of its ledger.
    static bool isOwnerOrHolder(const wire::CellRecord &cell, const std::string &owner);

    /// Returns the whole state, for a snapshot.
    wire::ControlImage image() const;
    /// Replaces the whole state by the one of a snapshot.
    void restore(const wire::ControlImage &image);

private:
    struct ValidatedConfig
    {
        ConfigDecision decision;
        std::optional<ClusterConfig> next; ///< configuration to put in force, if any
    };

    ValidatedConfig validate(const wire::ConfigFile &file) const;
    ConfigDecision setConfig(std::int64_t index, const wire::ConfigFile &file);
    /// Removes the texts of earlier files beyond the limits of their number and size.
    void limitHistory();
    void applyMemberJoin(std::int64_t index, const wire::MemberJoin &command);
    void applyMemberGone(std::int64_t index, const wire::MemberGone &command);
    void applyMemberLeaving(std::int64_t index, const wire::MemberLeaving &command);
    void applyHolderWhole(std::int64_t index, const wire::HolderWhole &command);
    void applyHandOver(std::int64_t index, const wire::HandOver &command);
    ConfigDecision applyEvacuation(std::int64_t index, const wire::SetEvacuation &command);

    // The parameter index is the log index of the command being applied; it becomes the version of what changes.
    void updateCells(std::int64_t index);
    void assignAgentToCell(std::int64_t index, wire::MemberRecord &agent);
    void removeAgentFromCell(std::int64_t index, wire::MemberRecord &agent);
    void removeMember(std::int64_t index, const std::string &name);
    /// Assigns new owners to cells whose owner has failed or left, and adjusts the holders of all cells.
    void reconcile(std::int64_t index, std::int64_t atMs);
    void reconcileOwner(std::int64_t index, std::int64_t atMs, wire::CellRecord &cell);
    void reconcileHolders(std::int64_t index, wire::CellRecord &cell);
    void assignOwner(std::int64_t index, wire::CellRecord &cell, const std::string &owner);
    bool removeHolders(wire::CellRecord &cell, std::size_t targetCount);
    std::string chooseHolder(const wire::CellRecord &cell) const;
    std::string chooseOwner(bool isLeavingAllowed) const;
    std::string chooseInSyncHolder(const wire::CellRecord &cell) const;
    std::map<std::string, int> ownerLoads(bool includeHeldCells) const;
    std::size_t targetHolderCount(const wire::CellRecord &cell) const;
    bool isLiveOwner(const std::string &name, bool isLeavingAllowed) const;

    bool isEvacuated(const std::string &failureDomain) const;
    wire::MemberRef makeMemberRef(const std::string &member) const;
    void addEntries(wire::ClusterView &view) const;
    wire::CellView cellView(const ControlCell &cell, bool withAgents) const;

    ClusterConfig parsedConfig;
    std::vector<wire::ConfigFile> acceptedFiles;
    std::map<std::string, wire::MemberRecord> memberRecords;
    std::map<std::int32_t, ControlCell> cellRecords;
    std::map<std::string, wire::Evacuation> evacuationOrders; ///< the newest one, by failure domain
    std::int32_t nextCell = 0;
    std::int64_t configVersion = 0;
    std::int64_t routesVersion = 0; ///< newest change of any cell's epoch, owner, holders or existence
    std::int64_t entriesVersion = 0; ///< newest change of the list of entries
    std::int64_t evacuationsVersion = 0; ///< newest change of the evacuated failure domains
};

} // namespace agatedrum
