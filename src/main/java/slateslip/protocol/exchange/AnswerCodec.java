package slateslip.protocol.exchange;

import slateslip.distribution.exchange.ExchangeMessage;
import slateslip.distribution.exchange.OperatorAnswer;
import slateslip.protocol.Decoded;

/** An answer to the operator by itself, as the replicated state hands it through. */
public final class AnswerCodec {
  private static final long NO_CALL = 0;

  private AnswerCodec() {}

  /** Bytes of an answer. */
  public static byte[] encode(OperatorAnswer answer) {
    return new ExchangeCodec().encode(new ExchangeMessage.Answered(NO_CALL, answer));
  }

  /** Reads what {@link #encode} wrote in this process. */
  public static OperatorAnswer decode(byte[] bytes) {
    if (new ExchangeCodec().decode(bytes) instanceof Decoded.Message<ExchangeMessage> message
        && message.value() instanceof ExchangeMessage.Answered answered) {
      return answered.answer();
    }
    throw new IllegalStateException("not an answer of this process");
  }
}
