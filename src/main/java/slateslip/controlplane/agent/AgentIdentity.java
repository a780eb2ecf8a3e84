package slateslip.controlplane.agent;

import slateslip.distribution.peer.ControlPeerMessage;

/**
 * Identifies this process to other control agents.
 *
 * @param address IPv4 address of the machine that the process runs on
 * @param incarnation number drawn at random at the start of the process
 */
public record AgentIdentity(String address, long incarnation) {
  /** Returns the first message that this process sends on each connection to a peer. */
  public ControlPeerMessage.Hello hello() {
    return new ControlPeerMessage.Hello(address, incarnation, true);
  }
}
