package slateslip.protocol.exchange;

import slateslip.distribution.exchange.ControlPeerMessage;
import slateslip.distribution.exchange.OperatorResponse;
import slateslip.protocol.Decoded;

/** An answer to the operator by itself, as the replicated state hands it through. */
public final class OperatorResponseCodec {
  private static final long NO_CALL = 0;

  private OperatorResponseCodec() {}

  /** Bytes of an answer. */
  public static byte[] encode(OperatorResponse answer) {
    return new ControlPeerCodec().encode(new ControlPeerMessage.ForwardedResponse(NO_CALL, answer));
  }

  /** Reads what {@link #encode} wrote in this process. */
  public static OperatorResponse decode(byte[] bytes) {
    if (new ControlPeerCodec().decode(bytes) instanceof Decoded.Message<ControlPeerMessage> message
        && message.value() instanceof ControlPeerMessage.ForwardedResponse answered) {
      return answered.response();
    }
    throw new IllegalStateException("not an answer of this process");
  }
}
