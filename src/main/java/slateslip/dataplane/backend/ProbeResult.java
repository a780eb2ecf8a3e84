package slateslip.dataplane.backend;

import slateslip.routing.RouterInput.BackendLoad;
import slateslip.routing.RouterInput.ProbeOutcome;

/**
 * How a health probe ended.
 *
 * @param load that the backend told; null if none
 */
public record ProbeResult(ProbeOutcome outcome, BackendLoad load) {}
