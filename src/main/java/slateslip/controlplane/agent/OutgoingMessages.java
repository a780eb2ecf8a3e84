package slateslip.controlplane.agent;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import slateslip.controlplane.agent.RetainedTransfers.Retained;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.transfer.CompressedMessage;
import slateslip.distribution.transfer.SegmentSender;
import slateslip.protocol.distribution.DistributionCodec;

/**
 * Encodes configurations and session tables for data planes that read segments, and compresses long
 * ones. All data planes that need the same document share one compressed copy, and so do those that
 * need the same session table within a second.
 */
final class OutgoingMessages {
  /** Longest message that is sent whole, in bytes. */
  static final int MAX_WHOLE_BYTES = SegmentSender.SEGMENT_BYTES;

  private static final int MAX_SHARED_MESSAGES = 4;

  /**
   * Time for which an encoded session table is shared, in microseconds. Renewals change the
   * remaining warm-up of backends without a new revision of the table.
   */
  private static final long MAX_TABLE_AGE_MICROS = 1_000_000;

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

  /** A message and the time at which it was encoded. */
  private record Shared(Outgoing outgoing, long encodedMicros) {}

  private final DistributionCodec codec;
  private final LongSupplier clockMicros;
  private final Map<SharedKey, Shared> shared = new LinkedHashMap<>();
  private final RetainedTransfers retained = new RetainedTransfers();

  /**
   * Creates an instance without shared messages.
   *
   * @param clockMicros the steady clock, in microseconds
   */
  OutgoingMessages(DistributionCodec codec, LongSupplier clockMicros) {
    this.codec = codec;
    this.clockMicros = clockMicros;
  }

  /** Returns a message in the form in which it is sent. */
  Outgoing of(ControlPlaneMessage message) {
    SharedKey key = sharedKey(message);
    Shared known = shared.get(key);
    if (known != null && !isOutdated(message, known)) {
      return known.outgoing();
    }
    Outgoing outgoing = encode(message);
    if (key != null) {
      retain(key, new Shared(outgoing, clockMicros.getAsLong()));
    }
    return outgoing;
  }

  private boolean isOutdated(ControlPlaneMessage message, Shared known) {
    return message instanceof ControlPlaneMessage.SessionSnapshot
        && clockMicros.getAsLong() - known.encodedMicros() >= MAX_TABLE_AGE_MICROS;
  }

  private Outgoing encode(ControlPlaneMessage message) {
    byte[] encoded = codec.encode(message);
    if (encoded.length <= MAX_WHOLE_BYTES) {
      return new Outgoing.Whole(encoded);
    }
    CompressedMessage compressed = CompressedMessage.of(encoded);
    retained.add(message, compressed);
    return new Outgoing.Segmented(compressed);
  }

  /** Returns the configuration or session table of an earlier transfer, if it is retained. */
  Optional<Retained> retained(long transfer) {
    return retained.find(transfer);
  }

  private void retain(SharedKey key, Shared message) {
    shared.put(key, message);
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
