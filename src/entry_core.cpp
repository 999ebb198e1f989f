#include "entry_core_p.h"

#include "base_log_p.h"
#include "entry_control_p.h"
#include "entry_jobs_p.h"
#include "entry_key_p.h"

#include <atomic>
#include <utility>

namespace agatedrum {

namespace {

/// Returns the first request id, derived from the wall clock so that an answer to an earlier process of the same name
/// matches no request of this process.
std::int64_t firstRequestId(const ClockI &clock)
{
    constexpr int idsPerMillisecond = 1 << 20;
    return clock.wallMs() * idsPerMillisecond;
}

} // namespace

struct EntryCore::Impl
{
    Impl(MessageSinkI &sink, const ClockI &clock, MemberLink &link, const EntryOptions &options)
        : link(link)
        , jobs(sink, clock, link, options, firstRequestId(clock))
        , control(sink, clock, link, options, firstRequestId(clock))
    {
    }

    void start(JobCallKind kind, wire::JobSpec spec, const JobAnswerHandler &reply);

    MemberLink &link;
    EntryJobs jobs;
    EntryControl control;
    std::atomic<bool> isStopping {false};
};

void EntryCore::Impl::start(JobCallKind kind, wire::JobSpec spec, const JobAnswerHandler &reply)
{
    if (this->isStopping) {
        wire::JobAnswer answer;
        answer.key = spec.key;
        answer.__set_refusal(
            makeRefusal(wire::RefusalCode::STOPPING, "this entry is shutting down, use another one", false));
        reply(answer);
        return;
    }
    this->jobs.start(kind, std::move(spec), reply);
}

EntryCore::EntryCore(MessageSinkI &sink, const ClockI &clock, MemberLink &link, EntryOptions options)
    : impl(std::make_unique<Impl>(sink, clock, link, options))
{
}

EntryCore::~EntryCore() = default;

void EntryCore::submit(wire::JobSpec spec, const JobAnswerHandler &reply)
{
    spec.digest = jobDigest(spec);
    this->impl->start(JobCallKind::Submit, std::move(spec), reply);
}

void EntryCore::cancel(const wire::JobKey &key, const std::string &service, const JobAnswerHandler &reply)
{
    wire::JobSpec spec;
    spec.key = key;
    spec.serviceName = service;
    this->impl->start(JobCallKind::Cancel, std::move(spec), reply);
}

void EntryCore::query(const wire::JobKey &key, const std::string &service, const JobAnswerHandler &reply)
{
    wire::JobSpec spec;
    spec.key = key;
    spec.serviceName = service;
    this->impl->start(JobCallKind::Query, std::move(spec), reply);
}

void EntryCore::apply(const std::string &text, const std::string &author, bool isDryRun, ApplyHandler reply)
{
    wire::ApplyConfig message;
    message.text = text;
    message.author = author;
    message.dryRun = isDryRun;
    this->impl->control.apply(std::move(message), std::move(reply));
}

void EntryCore::orderEvacuation(const std::string &failureDomain, bool isActive, const std::string &author,
                                ApplyHandler reply)
{
    wire::OrderEvacuation message;
    message.failureDomain = failureDomain;
    message.active = isActive;
    message.author = author;
    this->impl->control.orderEvacuation(std::move(message), std::move(reply));
}

void EntryCore::controlQuery(const std::string &kind, const std::string &argument, ControlHandler reply)
{
    wire::ControlQuery message;
    message.kind = kind;
    message.argument = argument;
    this->impl->control.query(std::move(message), std::move(reply));
}

wire::ConfigFile EntryCore::configuration() const
{
    return this->impl->link.view().config;
}

void EntryCore::handle(const IncomingMessage &incoming)
{
    const auto previousVersion = this->impl->link.viewVersion();
    if (this->impl->link.handle(incoming)) {
        if (this->impl->link.viewVersion() != previousVersion) {
            this->impl->jobs.reroute();
        }
    } else if (const auto *reply = std::get_if<wire::JobReply>(&incoming.payload)) {
        this->impl->jobs.handleJobReply(*reply, incoming.address);
    } else if (const auto *notOwner = std::get_if<wire::NotOwner>(&incoming.payload)) {
        this->impl->jobs.handleNotOwner(*notOwner, incoming.address);
    } else if (const auto *applied = std::get_if<wire::ApplyReply>(&incoming.payload)) {
        this->impl->control.handleApplyReply(*applied);
    } else if (const auto *answer = std::get_if<wire::ControlAnswer>(&incoming.payload)) {
        this->impl->control.handleQueryAnswer(*answer);
    }
}

void EntryCore::tick()
{
    MemberReport report;
    report.isLeaving = this->impl->isStopping;
    this->impl->link.tick(report);
    this->impl->jobs.tick();
    this->impl->control.tick();
}

nlohmann::json EntryCore::dump() const
{
    auto state = this->impl->jobs.dump();
    state["role"] = "entry";
    state["configNumber"] = this->configNumber();
    state["viewVersion"] = this->impl->link.viewVersion();
    state["isStopping"] = this->impl->isStopping.load();
    state["openControlRequests"] = this->impl->control.openCount();
    return state;
}

bool EntryCore::isReady() const
{
    return this->impl->link.hasView() && !this->impl->isStopping;
}

void EntryCore::beginStop()
{
    this->impl->isStopping = true;
}

bool EntryCore::isDrained() const
{
    return this->impl->jobs.openCount() == 0 && this->impl->control.openCount() == 0;
}

std::int64_t EntryCore::configNumber() const
{
    return this->impl->link.configNumber();
}

} // namespace agatedrum
