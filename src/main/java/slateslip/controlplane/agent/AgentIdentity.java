package slateslip.controlplane.agent;

import slateslip.distribution.exchange.ExchangeMessage;

/**
 * This process, as other agents know it.
 *
 * @param address IPv4 address of its machine
 * @param incarnation drawn at random at its start
 */
public record AgentIdentity(String address, long incarnation) {
  /** What it says first on a connection. */
  public ExchangeMessage.Greeting greeting() {
    return new ExchangeMessage.Greeting(address, incarnation);
  }
}
