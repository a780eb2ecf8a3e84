package slateslip.controlplane;

import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import slateslip.controlplane.agent.AgentStatus;
import slateslip.distribution.quota.QuotaAllocatorStatus;
import slateslip.distribution.quota.QuotaAllocatorStatus.TenantAllocation;
import slateslip.eventloop.ProcessorTime;
import slateslip.eventloop.WakeUpCause;
import slateslip.eventloop.WakeUpCounter;
import slateslip.logging.MetricLabel;

/** Formats an {@link AgentStatus} as JSON for operators and as metrics for Prometheus. */
final class StatusReport {
  private StatusReport() {}

  /** Returns the response body of {@code GET /status}. */
  static String json(AgentStatus status) {
    StringBuilder text = new StringBuilder("{\"node\":").append(Json.quoted(status.node()));
    append(text, "epoch", status.epoch());
    append(text, "primary", Json.quoted(status.primary()));
    append(text, "serving", status.serving());
    append(text, "current", status.current());
    append(text, "configuration_version", status.configurationVersion());
    append(text, "sessions", status.sessions());
    append(text, "sessions_complete", status.sessionsComplete());
    append(text, "session_revision", status.sessionRevision());
    append(text, "streams", status.streams());
    String peers = status.peers().stream().map(Json::quoted).collect(Collectors.joining(","));
    append(text, "peers", "[" + peers + "]");
    append(text, "tolerated_losses", Json.quoted(status.placement().description()));
    return text.append('}').toString();
  }

  private static void append(StringBuilder text, String field, Object value) {
    text.append(",\"").append(field).append("\":").append(value);
  }

  /** Returns the metrics of an agent and of its process in the Prometheus text format. */
  static String metrics(AgentStatus status, WakeUpCounter wakeUps, ProcessorTime processorTime) {
    StringBuilder text = new StringBuilder();
    gauge(text, "epoch", "Newest decided epoch", status.epoch());
    gauge(text, "serving", "1 if this agent is the primary", status.serving() ? 1 : 0);
    gauge(
        text, "current", "1 if the primary and a majority are in reach", status.current() ? 1 : 0);
    gauge(text, "configuration_version", "Newest committed version", status.configurationVersion());
    gauge(text, "sessions", "Backends registered", status.sessions());
    gauge(text, "session_revision", "Revision of the session table", status.sessionRevision());
    gauge(text, "streams", "Streams of data planes", status.streams());
    gauge(text, "peers", "Control agents in reach", status.peers().size());
    gauge(
        text,
        "tolerated_losses_at_risk",
        "1 if a tolerated loss would take all copies or leave no majority",
        status.placement().isAtRisk() ? 1 : 0);
    addQuotas(text, status.quotas());
    for (WakeUpCause cause : WakeUpCause.values()) {
      String name = "event_loop_turns_" + cause.label() + "_total";
      counter(text, name, "Turns of the event loop for this cause", wakeUps.count(cause));
    }
    for (ProcessorTime.ThreadKind kind : ProcessorTime.ThreadKind.values()) {
      String name = "processor_milliseconds_" + kind.label() + "_total";
      counter(text, name, "Processor time of these threads", processorTime.of(kind).toMillis());
    }
    return text.toString();
  }

  private static void addQuotas(StringBuilder text, QuotaAllocatorStatus quotas) {
    gauge(text, "quota_epoch", "Epoch of the quota allocator here; 0 if none", quotas.epoch());
    gauge(text, "quota_data_planes", "Data planes that hold quotas", quotas.dataPlanes());
    gauge(text, "quota_complete", "1 if all holders are known", quotas.complete() ? 1 : 0);
    addByTenant(text, "quota_spent", quotas, TenantAllocation::spent);
    addByTenant(text, "quota_reserved", quotas, TenantAllocation::reserved);
    addByTenant(text, "quota_reserved_unresponsive", quotas, TenantAllocation::unresponsive);
    addByTenant(text, "quota_reserved_ended", quotas, TenantAllocation::ended);
  }

  private static void addByTenant(
      StringBuilder text,
      String name,
      QuotaAllocatorStatus quotas,
      ToDoubleFunction<TenantAllocation> value) {
    if (quotas.tenants().isEmpty()) {
      return;
    }
    String metric = "slateslip_control_" + name;
    text.append("# HELP ").append(metric).append(" Part of a tenant's quota\n");
    text.append("# TYPE ").append(metric).append(" gauge\n");
    for (TenantAllocation tenant : quotas.tenants()) {
      String label = MetricLabel.escaped(tenant.tenant());
      text.append(metric).append("{tenant=\"").append(label).append("\"} ");
      text.append(value.applyAsDouble(tenant)).append('\n');
    }
  }

  private static void counter(StringBuilder text, String name, String help, long value) {
    append(text, name, help, "counter", value);
  }

  private static void gauge(StringBuilder text, String name, String help, long value) {
    append(text, name, help, "gauge", value);
  }

  private static void append(
      StringBuilder text, String name, String help, String type, long value) {
    String metric = "slateslip_control_" + name;
    text.append("# HELP ").append(metric).append(' ').append(help).append('\n');
    text.append("# TYPE ").append(metric).append(' ').append(type).append('\n');
    text.append(metric).append(' ').append(value).append('\n');
  }
}
