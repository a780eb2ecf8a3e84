package slateslip.controlplane.agent;

import java.util.Arrays;
import slateslip.distribution.transfer.CompressedMessage;

/** Compresses messages to peers; the same message to several peers is compressed once. */
final class SharedCompression {
  private byte[] lastMessage;
  private CompressedMessage lastCompressed;

  /** Returns an encoded message in compressed form. */
  CompressedMessage compress(byte[] message) {
    if (!Arrays.equals(message, lastMessage)) {
      lastMessage = message;
      lastCompressed = CompressedMessage.of(message);
    }
    return lastCompressed;
  }

  /** Releases the memory of the last message. */
  void clear() {
    lastMessage = null;
    lastCompressed = null;
  }
}
