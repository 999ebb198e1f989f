#include "daemon_admin_p.h"

#include <fmt/format.h>
#include <prometheus/collectable.h>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <utility>
#include <vector>

namespace agatedrum {

namespace {

constexpr int serviceUnavailable = 503;
constexpr auto metricsContentType = "text/plain; version=0.0.4";

/// Converts the counters of the bus and of the core's dump, and the core's latency histograms, to metric families.
class ProcessCollector : public prometheus::Collectable
{
public:
    explicit ProcessCollector(const AdminSources &sources)
        : sources(sources)
    {
    }

    std::vector<prometheus::MetricFamily> Collect() const override // NOLINT(readability-identifier-naming)
    {
        std::vector<prometheus::MetricFamily> families;
        const auto &bus = this->sources.bus.counters();
        this->addMetric(families, "bus_messages_sent_total", static_cast<double>(bus.messagesSent.load()));
        this->addMetric(families, "bus_envelopes_sent_total", static_cast<double>(bus.envelopesSent.load()));
        this->addMetric(families, "bus_bytes_sent_total", static_cast<double>(bus.bytesSent.load()));
        this->addMetric(families, "bus_messages_received_total", static_cast<double>(bus.messagesReceived.load()));
        this->addMetric(families, "bus_messages_dropped_total", static_cast<double>(bus.messagesDropped.load()));
        const auto dump = this->sources.core.dump();
        if (dump.contains("counters")) {
            for (const auto &[name, number] : dump["counters"].items()) {
                if (number.is_number()) {
                    this->addMetric(families, name, number.get<double>());
                }
            }
        }
        for (auto &family : this->sources.core.latencyHistograms()) {
            for (auto &metric : family.metric) {
                metric.label = this->labels();
            }
            families.push_back(std::move(family));
        }
        return families;
    }

private:
    std::vector<prometheus::ClientMetric::Label> labels() const
    {
        return {{"role", this->sources.role}, {"process", this->sources.name}};
    }
    void addMetric(std::vector<prometheus::MetricFamily> &families, const std::string &name, double number) const
    {
        prometheus::ClientMetric metric;
        metric.label = this->labels();
        metric.untyped.value = number;
        prometheus::MetricFamily family;
        family.name = "agatedrum_" + name;
        family.help = name;
        family.type = prometheus::MetricType::Untyped;
        family.metric.push_back(std::move(metric));
        families.push_back(std::move(family));
    }

    AdminSources sources;
};

HttpResponse json(const nlohmann::json &body, int status = 200)
{
    HttpResponse response;
    response.status = status;
    response.body = body.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return response;
}

} // namespace

void registerAdminRoutes(HttpServer &server, const AdminSources &sources)
{
    server.route("GET", "/healthz", [](const HttpRequest &, const HttpReply &reply) {
        reply(json({{"status", "up"}}));
    });
    server.route("GET", "/readyz", [sources](const HttpRequest &, const HttpReply &reply) {
        const auto isReady = sources.core.isReady();
        reply(json({{"ready", isReady}}, isReady ? 200 : serviceUnavailable));
    });
    server.route("GET", "/v1/dump", [sources](const HttpRequest &, const HttpReply &reply) {
        auto dump = sources.core.dump();
        dump["process"] = {{"name", sources.name}, {"role", sources.role}};
        reply(json(dump));
    });
    server.route("GET", "/metrics",
                 [collector = ProcessCollector(sources)](const HttpRequest &, const HttpReply &reply) {
                     HttpResponse response;
                     response.contentType = metricsContentType;
                     response.body = prometheus::TextSerializer().Serialize(collector.Collect());
                     reply(std::move(response));
                 });
}

} // namespace agatedrum
