#include "agatedrum/config.h"
#include "control_state_p.h"

#include <algorithm>
#include <tuple>
#include <utility>

// Assignment of owners and holders to cells.

namespace agatedrum {

namespace {

wire::HolderRecord *findHolder(wire::CellRecord &cell, const std::string &name)
{
    const auto found = std::find_if(cell.holders.begin(), cell.holders.end(),
                                    [&name](const wire::HolderRecord &holder) { return holder.name == name; });
    return found == cell.holders.end() ? nullptr : &*found;
}

} // namespace

bool ControlState::isLiveOwner(const std::string &name, bool isLeavingAllowed) const
{
    const auto *found = this->member(name);
    return found && found->role == wire::Role::OWNER && (isLeavingAllowed || !found->leaving);
}

std::map<std::string, int> ControlState::ownerLoads(bool includeHeldCells) const
{
    std::map<std::string, int> loads;
    for (const auto &[name, member] : this->memberRecords) {
        if (member.role == wire::Role::OWNER) {
            loads[name] = 0;
        }
    }
    for (const auto &[number, cell] : this->cellRecords) {
        if (loads.count(cell.record.owner) > 0) {
            ++loads[cell.record.owner];
        }
        for (const auto &holder : cell.record.holders) {
            if (includeHeldCells && loads.count(holder.name) > 0) {
                ++loads[holder.name];
            }
        }
    }
    return loads;
}

std::string ControlState::chooseOwner(bool isLeavingAllowed) const
{
    std::string best;
    int bestLoad = 0;
    for (const auto &[name, load] : this->ownerLoads(false)) {
        if (this->isLiveOwner(name, isLeavingAllowed) && (best.empty() || load < bestLoad)) {
            best = name;
            bestLoad = load;
        }
    }
    return best;
}

std::string ControlState::chooseInSyncHolder(const wire::CellRecord &cell) const
{
    const auto loads = this->ownerLoads(false);
    std::string best;
    std::tuple<bool, int> bestRank;
    for (const auto &holder : cell.holders) {
        if (!holder.whole || !this->isLiveOwner(holder.name, true)) {
            continue;
        }
        const std::tuple<bool, int> rank {!this->isLiveOwner(holder.name, false), loads.at(holder.name)};
        if (best.empty() || rank < bestRank) {
            best = holder.name;
            bestRank = rank;
        }
    }
    return best;
}

std::string ControlState::chooseHolder(const wire::CellRecord &cell) const
{
    std::set<std::string> domains;
    for (const auto &[name, member] : this->memberRecords) {
        if (isOwnerOrHolder(cell, name)) {
            domains.insert(member.failureDomain);
        }
    }
    std::string best;
    std::tuple<bool, int> bestRank;
    for (const auto &[name, load] : this->ownerLoads(true)) {
        if (!this->isLiveOwner(name, false) || isOwnerOrHolder(cell, name)) {
            continue;
        }
        const std::tuple<bool, int> rank {domains.count(this->memberRecords.at(name).failureDomain) > 0, load};
        if (best.empty() || rank < bestRank) {
            best = name;
            bestRank = rank;
        }
    }
    return best;
}

std::size_t ControlState::targetHolderCount(const wire::CellRecord &cell) const
{
    const auto *service = this->parsedConfig.service(cell.serviceName);
    const auto targetCount = service ? std::max(0, service->recordCopies - 1) : 0;
    // A leaving owner needs a holder to hand its ledger over to, even if the service has no replicas.
    return static_cast<std::size_t>(this->isLiveOwner(cell.owner, false) ? targetCount : std::max(1, targetCount));
}

void ControlState::reconcile(std::int64_t index, std::int64_t atMs)
{
    for (auto &[number, cell] : this->cellRecords) {
        if (!this->isLiveOwner(cell.record.owner, true)) {
            this->reconcileOwner(index, atMs, cell.record);
        }
    }
    for (auto &[number, cell] : this->cellRecords) {
        this->reconcileHolders(index, cell.record);
    }
}

void ControlState::reconcileOwner(std::int64_t index, std::int64_t atMs, wire::CellRecord &cell)
{
    if (const auto holder = this->chooseInSyncHolder(cell); !holder.empty()) {
        this->assignOwner(index, cell, holder);
        return;
    }
    auto owner = this->chooseOwner(false);
    if (owner.empty()) {
        owner = this->chooseOwner(true);
    }
    if (owner.empty()) {
        if (!cell.owner.empty()) {
            cell.owner.clear();
            cell.routeVersion = index;
            this->routesVersion = index;
        }
        return;
    }
    if (cell.epoch > 0) {
        // The ledger is lost: submissions that it may have contained must not run again.
        cell.floorMs = std::max(cell.floorMs, atMs + AGATEDRUM_MAX_CLOCK_SKEW_MS);
    }
    this->assignOwner(index, cell, owner);
}

void ControlState::assignOwner(std::int64_t index, wire::CellRecord &cell, const std::string &owner)
{
    const auto previous = this->memberRecords.find(cell.owner);
    if (previous != this->memberRecords.end()) {
        previous->second.leaseVersion = index;
    }
    cell.owner = owner;
    ++cell.epoch;
    cell.routeVersion = index;
    this->routesVersion = index;
    const auto isNewOwner = [&owner](const wire::HolderRecord &holder) { return holder.name == owner; };
    cell.holders.erase(std::remove_if(cell.holders.begin(), cell.holders.end(), isNewOwner), cell.holders.end());
    for (auto &holder : cell.holders) {
        // The new owner may start tasks before this holder has its records, so the holder counts as in sync only after
        // the new owner has reported it.
        holder.whole = false;
        holder.since = index;
    }
}

bool ControlState::removeHolders(wire::CellRecord &cell, std::size_t targetCount)
{
    const auto previousCount = cell.holders.size();
    const auto isDead = [this](const wire::HolderRecord &holder) { return !this->isLiveOwner(holder.name, true); };
    cell.holders.erase(std::remove_if(cell.holders.begin(), cell.holders.end(), isDead), cell.holders.end());
    const auto isStaying = [this](const wire::HolderRecord &holder) { return this->isLiveOwner(holder.name, false); };
    const auto inSyncCount
        = std::count_if(cell.holders.begin(), cell.holders.end(),
                        [&](const wire::HolderRecord &holder) { return holder.whole && isStaying(holder); });
    if (static_cast<std::size_t>(inSyncCount) >= targetCount) {
        // Enough holders that are in sync remain, so leaving and surplus holders can be removed.
        std::stable_sort(cell.holders.begin(), cell.holders.end(), [&](const auto &a, const auto &b) {
            return std::make_tuple(!isStaying(a), !a.whole) < std::make_tuple(!isStaying(b), !b.whole);
        });
        cell.holders.resize(std::min(cell.holders.size(), targetCount));
    }
    return cell.holders.size() != previousCount;
}

void ControlState::reconcileHolders(std::int64_t index, wire::CellRecord &cell)
{
    if (cell.owner.empty()) {
        return;
    }
    const auto targetCount = this->targetHolderCount(cell);
    bool isChanged = this->removeHolders(cell, targetCount);
    const auto stayingCount = [this, &cell] {
        return static_cast<std::size_t>(
            std::count_if(cell.holders.begin(), cell.holders.end(),
                          [this](const wire::HolderRecord &holder) { return this->isLiveOwner(holder.name, false); }));
    };
    while (stayingCount() < targetCount) {
        const auto name = this->chooseHolder(cell);
        if (name.empty()) {
            break;
        }
        wire::HolderRecord holder;
        holder.name = name;
        holder.since = index;
        cell.holders.push_back(std::move(holder));
        isChanged = true;
    }
    if (isChanged) {
        cell.routeVersion = index;
        this->routesVersion = index;
    }
}

void ControlState::applyHolderWhole(std::int64_t index, const wire::HolderWhole &command)
{
    const auto found = this->cellRecords.find(command.cell);
    if (found == this->cellRecords.end() || found->second.record.epoch != command.epoch) {
        return;
    }
    auto *holder = findHolder(found->second.record, command.holder);
    // A report under an older view refers to an earlier process of that name, or to an earlier assignment as holder.
    if (holder && command.viewVersion >= holder->since) {
        holder->whole = true;
        this->reconcileHolders(index, found->second.record);
    }
}

void ControlState::applyHandOver(std::int64_t index, const wire::HandOver &command)
{
    const auto found = this->cellRecords.find(command.cell);
    if (found == this->cellRecords.end()) {
        return;
    }
    auto &cell = found->second.record;
    const auto holder = this->chooseInSyncHolder(cell);
    if (cell.epoch != command.epoch || cell.owner != command.previousOwner || !this->isLiveOwner(holder, false)) {
        return;
    }
    this->assignOwner(index, cell, holder);
    this->reconcile(index, command.atMs);
}

} // namespace agatedrum
