/**
 * Execution of the router's decisions: attempts at backends, responses to clients, and streams that
 * continue at another backend.
 */
package slateslip.dataplane.forwarding;
