package slateslip.controlplane.agent;

import org.jboss.logging.Logger;
import slateslip.coordination.PlacementState;

/**
 * Logs when the placement of copies and witnesses has not survived each tolerated loss for some
 * time, and when it does again. Confined to the event loop.
 */
final class PlacementMonitor {
  private static final Logger LOG = Logger.getLogger(PlacementMonitor.class);

  /** Time after which a placement at risk is logged: longer than a view change takes. */
  private static final long LOG_DELAY_MICROS = 3_000_000;

  private PlacementState state = PlacementState.NOT_PRIMARY;
  private long sinceMicros;
  private boolean logged;

  /** Records the placement at a time of the steady clock, in microseconds. */
  void observe(long nowMicros, PlacementState observed) {
    if (observed != state) {
      if (logged) {
        LOG.infof("tolerated losses: %s", observed.description());
      }
      state = observed;
      sinceMicros = nowMicros;
      logged = false;
    }
    if (state.isAtRisk() && !logged && nowMicros - sinceMicros >= LOG_DELAY_MICROS) {
      logged = true;
      LOG.warnf("tolerated losses: %s", state.description());
    }
  }
}
