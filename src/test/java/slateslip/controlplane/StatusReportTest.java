package slateslip.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

import java.util.List;
import org.junit.jupiter.api.Test;
import slateslip.controlplane.agent.AgentStatus;
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
    AgentStatus status =
        new AgentStatus("core-1", 1, "p", true, true, 1, 0, true, 0, 0, List.of(), quotas);
    String text = StatusReport.metrics(status, new WakeUpCounter(), ProcessorTime.ofThisProcess());
    assertThat(text, containsString("quota_spent{tenant=\"Z\u00f3na \u010c\u0001\t/\"} 0.5\n"));
  }
}
