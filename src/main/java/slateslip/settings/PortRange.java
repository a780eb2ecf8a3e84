package slateslip.settings;

/**
 * Range of ports that are free for traffic between agents, the same on every machine. Both ends are
 * included.
 */
public record PortRange(int first, int last) {}
