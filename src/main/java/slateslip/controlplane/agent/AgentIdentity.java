package slateslip.controlplane.agent;

import slateslip.distribution.peer.ControlPeerMessage;

/**
 * This process, as other agents know it.
 *
 * @param address IPv4 address of its machine
 * @param incarnation drawn at random at its start
 */
public record AgentIdentity(String address, long incarnation) {
  /** What it says first on a connection. */
  public ControlPeerMessage.Hello hello() {
    return new ControlPeerMessage.Hello(address, incarnation);
  }
}
