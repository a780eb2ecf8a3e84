package slateslip.distribution;

/**
 * How much of a transfer a data plane has received.
 *
 * @param transfer identity of the transfer, which is derived from its bytes
 * @param receivedBytes number of bytes received from the beginning of the transfer without a gap
 */
public record TransferPosition(long transfer, int receivedBytes) {
  /** Position of a data plane that has received no part of any transfer. */
  public static final TransferPosition NONE = new TransferPosition(0, 0);
}
