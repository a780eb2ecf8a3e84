package slateslip.protocol.coordination;

import slateslip.coordination.DurableRecord;
import slateslip.protocol.Decoded;

/** Records on disk as SBE. */
public final class DurableRecordCodec {
  private DurableRecordCodec() {}

  /** Encodes a record. */
  public static byte[] encode(DurableRecord record) {
    throw new UnsupportedOperationException("not written yet");
  }

  /** Decodes a record that fills the array; bad input gives {@link Decoded.Malformed}. */
  public static Decoded<DurableRecord> decode(byte[] bytes) {
    throw new UnsupportedOperationException("not written yet");
  }
}
