/** What the process tells of itself: readiness and metrics. */
package slateslip.dataplane.status;
