package slateslip.protocol.peer;

import slateslip.distribution.peer.ControlPeerMessage;
import slateslip.distribution.peer.OperatorResponse;
import slateslip.protocol.Decoded;

/** A response to the operator by itself, as the replicated state hands it through. */
public final class OperatorResponseCodec {
  private static final long NO_REQUEST_ID = 0;

  private OperatorResponseCodec() {}

  /** Bytes of a response. */
  public static byte[] encode(OperatorResponse response) {
    return new ControlPeerCodec()
        .encode(new ControlPeerMessage.ForwardedResponse(NO_REQUEST_ID, response));
  }

  /** Reads what {@link #encode} wrote in this process. */
  public static OperatorResponse decode(byte[] bytes) {
    if (new ControlPeerCodec().decode(bytes) instanceof Decoded.Message<ControlPeerMessage> message
        && message.value() instanceof ControlPeerMessage.ForwardedResponse response) {
      return response.response();
    }
    throw new IllegalStateException("not an answer of this process");
  }
}
