package slateslip.routing;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import slateslip.routing.quota.QuotaDecision;
import slateslip.routing.quota.QuotaWait;
import slateslip.routing.quota.TenantQuotas;

/** Requests that wait for quota of their tenants, in order of arrival. */
final class QuotaQueue {
  /** A request that is admitted or refused and has left the queue. */
  record Decided(PendingRequest request, QuotaDecision decision) {}

  private final TenantQuotas quotas;
  private final Map<PendingRequest, QuotaWait> waits = new LinkedHashMap<>();

  QuotaQueue(TenantQuotas quotas) {
    this.quotas = quotas;
  }

  void add(PendingRequest request, QuotaWait wait) {
    waits.put(request, wait);
  }

  /**
   * Removes a request that has ended for another reason; does nothing if the request is not in the
   * queue.
   */
  void remove(PendingRequest request) {
    QuotaWait wait = waits.remove(request);
    if (wait != null) {
      quotas.cancelWait(wait);
    }
  }

  /** Removes and returns the requests that can be admitted or refused now. */
  List<Decided> reconsider(long nowMicros) {
    if (waits.isEmpty()) {
      return List.of();
    }
    List<Decided> decided = new ArrayList<>();
    Iterator<Map.Entry<PendingRequest, QuotaWait>> waiting = waits.entrySet().iterator();
    while (waiting.hasNext()) {
      Map.Entry<PendingRequest, QuotaWait> each = waiting.next();
      QuotaDecision decision = quotas.reconsider(each.getValue(), nowMicros);
      if (!(decision instanceof QuotaDecision.Waiting)) {
        decided.add(new Decided(each.getKey(), decision));
        waiting.remove();
      }
    }
    return decided;
  }
}
