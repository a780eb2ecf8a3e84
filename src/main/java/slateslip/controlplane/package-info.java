/** The control plane binary: sockets, threads and clocks around its state machines. */
package slateslip.controlplane;
