package slateslip.dataplane.backend;

import slateslip.routing.RouterInput.BackendLoad;
import slateslip.routing.RouterInput.ProbeOutcome;

/**
 * Result of a health probe.
 *
 * @param load load that the backend reported, or null if none
 */
public record ProbeResult(ProbeOutcome outcome, BackendLoad load) {}
