/** The replicated state of the control plane: the configuration and the changes that made it. */
package slateslip.controlplane.state;
