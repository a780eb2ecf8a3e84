/**
 * What a data plane learns from control agents: configuration, backends, and its share of limits.
 */
package slateslip.dataplane.subscription;
