package slateslip.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

import java.util.List;
import org.junit.jupiter.api.Test;
import slateslip.controlplane.agent.AgentStatus;
import slateslip.coordination.PlacementState;
import slateslip.distribution.quota.QuotaAllocatorStatus;
import slateslip.distribution.quota.QuotaAllocatorStatus.TenantAllocation;
import slateslip.eventloop.ProcessorTime;
import slateslip.eventloop.WakeUpCounter;

class StatusReportTest {
  /**
   * JSON escapes in a label value make the complete metrics page unreadable for Prometheus, so
   * control characters and non-ASCII letters must appear unescaped.
   */
  @Test
  void tenantLabelsContainNamesWithoutJsonEscapes() {
    TenantAllocation tenant = new TenantAllocation("Z\u00f3na \u010c\u0001\t/", 0.5, 0.5, 0, 0);
    QuotaAllocatorStatus quotas = new QuotaAllocatorStatus(1, 1, true, List.of(tenant));
    AgentStatus status = status(quotas, PlacementState.SURVIVES);
    String text = StatusReport.metrics(status, new WakeUpCounter(), ProcessorTime.ofThisProcess());
    assertThat(text, containsString("quota_spent{tenant=\"Z\u00f3na \u010c\u0001\t/\"} 0.5\n"));
  }

  private static AgentStatus status(QuotaAllocatorStatus quotas, PlacementState placement) {
    return new AgentStatus(
        "core-1", 1, "p", true, true, 1, 0, true, 0, 0, List.of(), quotas, placement);
  }

  @Test
  void placementAtRiskIsToldInWords() {
    AgentStatus status = status(QuotaAllocatorStatus.NONE, PlacementState.COPIES_AT_RISK);
    assertThat(
        StatusReport.json(status),
        containsString("a tolerated loss could take all copies, so no change is accepted"));
    String text = StatusReport.metrics(status, new WakeUpCounter(), ProcessorTime.ofThisProcess());
    assertThat(text, containsString("slateslip_control_tolerated_losses_at_risk 1\n"));
  }
}
