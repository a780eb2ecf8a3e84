package slateslip.controlplane.agent;

import java.util.LinkedHashMap;
import java.util.Map;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.transfer.CompressedMessage;
import slateslip.distribution.transfer.SegmentSender;
import slateslip.protocol.distribution.DistributionCodec;

/**
 * Encodes configurations and session tables for data planes that read segments, and compresses long
 * ones. All data planes that need the same document or table share one compressed copy.
 */
final class OutgoingMessages {
  /** Longest message that is sent whole, in bytes. */
  static final int MAX_WHOLE_BYTES = SegmentSender.SEGMENT_BYTES;

  private static final int MAX_SHARED_MESSAGES = 4;

  /** A message in the form in which it is sent. */
  sealed interface Outgoing {
    /** A message that is sent whole. */
    record Whole(byte[] encoded) implements Outgoing {}

    /** A message that is sent in segments. */
    record Segmented(CompressedMessage message) implements Outgoing {}
  }

  /** Identifies a message that is the same for all data planes. */
  private record SharedKey(
      Class<? extends ControlPlaneMessage> type, long from, long to, boolean complete) {}

  private final DistributionCodec codec;
  private final Map<SharedKey, Outgoing> shared = new LinkedHashMap<>();

  OutgoingMessages(DistributionCodec codec) {
    this.codec = codec;
  }

  /** Returns a message in the form in which it is sent. */
  Outgoing of(ControlPlaneMessage message) {
    SharedKey key = sharedKey(message);
    Outgoing known = shared.get(key);
    if (known != null) {
      return known;
    }
    Outgoing outgoing = encode(message);
    if (key != null) {
      retain(key, outgoing);
    }
    return outgoing;
  }

  private Outgoing encode(ControlPlaneMessage message) {
    byte[] encoded = codec.encode(message);
    return encoded.length <= MAX_WHOLE_BYTES
        ? new Outgoing.Whole(encoded)
        : new Outgoing.Segmented(CompressedMessage.of(encoded));
  }

  private void retain(SharedKey key, Outgoing outgoing) {
    shared.put(key, outgoing);
    if (shared.size() > MAX_SHARED_MESSAGES) {
      shared.remove(shared.keySet().iterator().next());
    }
  }

  /** Returns the key of a message, or null if the message is for one data plane only. */
  private static SharedKey sharedKey(ControlPlaneMessage message) {
    if (message instanceof ControlPlaneMessage.ConfigurationSnapshot snapshot) {
      return new SharedKey(snapshot.getClass(), 0, snapshot.version(), true);
    }
    if (message instanceof ControlPlaneMessage.ConfigurationPatch patch) {
      return new SharedKey(patch.getClass(), patch.fromVersion(), patch.toVersion(), true);
    }
    if (message instanceof ControlPlaneMessage.SessionSnapshot snapshot) {
      return new SharedKey(snapshot.getClass(), 0, snapshot.revision(), snapshot.complete());
    }
    return null;
  }
}
