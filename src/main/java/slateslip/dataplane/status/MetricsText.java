package slateslip.dataplane.status;

import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import slateslip.dataplane.DataPlaneMetrics;
import slateslip.dataplane.RequestOutcome;
import slateslip.eventloop.ProcessorTime;
import slateslip.eventloop.WakeUpCause;
import slateslip.logging.MetricLabel;
import slateslip.routing.AbortReason;
import slateslip.routing.quota.QuotaStatus;
import slateslip.routing.quota.TenantQuotaStatus;

/** Formats metrics in the Prometheus text format. */
public final class MetricsText {
  private static final String PREFIX = "slateslip_dataplane_";

  private final StringBuilder text = new StringBuilder();

  private MetricsText() {}

  /** Returns the current values of all metrics of a data plane, with the given gauges. */
  public static String of(
      DataPlaneMetrics metrics,
      int openRequests,
      int clientConnections,
      int backendConnections,
      long configurationVersion,
      QuotaStatus quotas) {
    MetricsText text = new MetricsText();
    text.add("requests_total", "counter", metrics.requests);
    text.add("clients_gone_total", "counter", metrics.clientsGone);
    text.add("own_answers_total", "counter", metrics.localResponses);
    text.add("broken_off_total", "counter", metrics.brokenOff());
    for (AbortReason reason : AbortReason.values()) {
      String name = "broken_off_" + reason.name().toLowerCase(Locale.ROOT) + "_total";
      text.add(name, "counter", metrics.brokenOffFor(reason));
    }
    text.add("requests_dropped_total", "counter", metrics.dropped);
    text.add("streams_resumed_total", "counter", metrics.resumed);
    text.add("events_total", "counter", metrics.events);
    text.add("backend_connections_opened_total", "counter", metrics.dialled);
    text.add("backend_connections_reused_total", "counter", metrics.reused);
    text.add("attempts_partly_sent_total", "counter", metrics.partlySent);
    text.add("surplus_answers_total", "counter", metrics.surplusResponses);
    text.add("bad_answers_total", "counter", metrics.malformedResponses);
    text.add("open_requests", "gauge", openRequests);
    text.add("client_connections", "gauge", clientConnections);
    text.add("backend_connections", "gauge", backendConnections);
    text.add("configuration_version", "gauge", configurationVersion);
    text.add("quota_data_planes", "gauge", quotas.dataPlanes());
    text.add("quota_epoch", "gauge", quotas.allocatorEpoch());
    text.addQuotas(quotas.tenants());
    for (RequestOutcome outcome : RequestOutcome.values()) {
      String name = "requests_ended_" + outcome.label() + "_total";
      text.add(name, "counter", metrics.endedWith(outcome));
    }
    for (WakeUpCause cause : WakeUpCause.values()) {
      String name = "event_loop_turns_" + cause.label() + "_total";
      text.add(name, "counter", metrics.wakeUps.count(cause));
    }
    ProcessorTime processorTime = ProcessorTime.ofThisProcess();
    for (ProcessorTime.ThreadKind kind : ProcessorTime.ThreadKind.values()) {
      String name = "processor_milliseconds_" + kind.label() + "_total";
      text.add(name, "counter", processorTime.of(kind).toMillis());
    }
    return text.text.toString();
  }

  private void addQuotas(List<TenantQuotaStatus> quotas) {
    addByTenant("quota_admitted_units_total", "counter", quotas, TenantQuotaStatus::admittedUnits);
    addByTenant("quota_returned_units_total", "counter", quotas, TenantQuotaStatus::returnedUnits);
    addByTenant("quota_refused_units_total", "counter", quotas, TenantQuotaStatus::refusedUnits);
    addByTenant("quota_window_units", "gauge", quotas, TenantQuotaStatus::windowUnits);
    addByTenant("quota_waiting_units", "gauge", quotas, TenantQuotaStatus::waitingUnits);
    addByTenant("quota_fraction", "gauge", quotas, TenantQuotaStatus::fraction);
  }

  private void addByTenant(
      String name,
      String type,
      List<TenantQuotaStatus> quotas,
      Function<TenantQuotaStatus, Number> value) {
    if (quotas.isEmpty()) {
      return;
    }
    text.append("# TYPE ").append(PREFIX).append(name).append(' ').append(type).append('\n');
    for (TenantQuotaStatus quota : quotas) {
      text.append(PREFIX)
          .append(name)
          .append("{tenant=\"")
          .append(MetricLabel.escaped(quota.tenant()));
      text.append("\"} ").append(value.apply(quota)).append('\n');
    }
  }

  private void add(String name, String type, long value) {
    text.append("# TYPE ").append(PREFIX).append(name).append(' ').append(type).append('\n');
    text.append(PREFIX).append(name).append(' ').append(value).append('\n');
  }
}
