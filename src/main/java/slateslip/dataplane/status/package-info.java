/** Status endpoints of the process: readiness and metrics. */
package slateslip.dataplane.status;
