/**
 * Carries out what the router decides: attempts, answers, streams that go on at another backend.
 */
package slateslip.dataplane.forwarding;
