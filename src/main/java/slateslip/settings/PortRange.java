package slateslip.settings;

/**
 * Ports that are free for traffic between agents, the same on every machine; both ends included.
 */
public record PortRange(int first, int last) {}
