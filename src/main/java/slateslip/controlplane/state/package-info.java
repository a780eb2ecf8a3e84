/**
 * Contains the replicated state of the control plane: the configuration and the committed changes
 * that produced it.
 */
package slateslip.controlplane.state;
