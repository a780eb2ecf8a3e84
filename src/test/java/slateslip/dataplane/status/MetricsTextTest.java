package slateslip.dataplane.status;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

import java.util.List;
import org.junit.jupiter.api.Test;
import slateslip.dataplane.DataPlaneMetrics;
import slateslip.routing.quota.QuotaStatus;
import slateslip.routing.quota.TenantQuotaStatus;

class MetricsTextTest {
  @Test
  void containsTheQuotaOfEachTenant() {
    List<TenantQuotaStatus> quotas =
        List.of(new TenantQuotaStatus("a \"b\"", 900, 100, 70, 800, 50, 0.25));
    String text =
        MetricsText.of(new DataPlaneMetrics(), 0, 0, 0, 1, new QuotaStatus(94, 7, quotas));
    String label = "{tenant=\"a \\\"b\\\"\"} ";
    assertThat(text, containsString("slateslip_dataplane_quota_data_planes 94\n"));
    assertThat(text, containsString("slateslip_dataplane_quota_epoch 7\n"));
    assertThat(text, containsString("quota_admitted_units_total" + label + "900\n"));
    assertThat(text, containsString("quota_returned_units_total" + label + "100\n"));
    assertThat(text, containsString("quota_refused_units_total" + label + "70\n"));
    assertThat(text, containsString("quota_window_units" + label + "800\n"));
    assertThat(text, containsString("quota_waiting_units" + label + "50\n"));
    assertThat(text, containsString("quota_fraction" + label + "0.25\n"));
  }
}
