package slateslip.routing;

import java.util.List;
import slateslip.distribution.QuotaReport;

/**
 * Makes the decisions of one data plane: admission, placement, retries, stream recovery, health
 * checks and quotas.
 *
 * <p>A router is a state machine without sockets, clocks or threads. The host passes inputs to the
 * router in the order in which they occur, from one thread, and executes the outputs in order.
 */
public interface RequestRouter {
  /**
   * Handles one input.
   *
   * @param nowMicros time of the host's steady clock in microseconds; never lower than in the
   *     previous call
   * @param input the event to handle
   * @return the actions that the host must execute now, in order; empty if there are none
   */
  List<RouterOutput> handle(long nowMicros, RouterInput input);

  /** Returns a report on the tenants' quotas at this data plane, for the quota allocator. */
  QuotaReport quotaReport(long nowMicros);
}
