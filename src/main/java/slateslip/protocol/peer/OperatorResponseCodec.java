package slateslip.protocol.peer;

import slateslip.distribution.peer.ControlPeerMessage;
import slateslip.distribution.peer.OperatorResponse;
import slateslip.protocol.Decoded;

/**
 * Encodes and decodes responses to the operator that pass through the replicated state machine as
 * byte arrays.
 */
public final class OperatorResponseCodec {
  private static final long NO_REQUEST_ID = 0;

  private OperatorResponseCodec() {}

  /** Encodes a response. */
  public static byte[] encode(OperatorResponse response) {
    return new ControlPeerCodec()
        .encode(new ControlPeerMessage.ForwardedResponse(NO_REQUEST_ID, response));
  }

  /**
   * Decodes a response that {@link #encode} encoded in this process.
   *
   * @throws IllegalStateException if the bytes are not an encoded response
   */
  public static OperatorResponse decode(byte[] bytes) {
    if (new ControlPeerCodec().decode(bytes) instanceof Decoded.Message<ControlPeerMessage> message
        && message.value() instanceof ControlPeerMessage.ForwardedResponse response) {
      return response.response();
    }
    throw new IllegalStateException("the bytes are not a response encoded by this process");
  }
}
