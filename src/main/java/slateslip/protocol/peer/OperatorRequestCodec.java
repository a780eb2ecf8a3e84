package slateslip.protocol.peer;

import org.agrona.DirectBuffer;
import slateslip.distribution.peer.OperatorRequest;
import slateslip.protocol.Decoded;
import slateslip.protocol.MessageBuffer;
import slateslip.protocol.MessageReader;
import slateslip.protocol.peer.generated.ConfigurationChangeDecoder;
import slateslip.protocol.peer.generated.ConfigurationChangeEncoder;
import slateslip.protocol.peer.generated.DocumentDecoder;
import slateslip.protocol.peer.generated.MessageHeaderDecoder;
import slateslip.protocol.peer.generated.MessageHeaderEncoder;

/** The record of a change: the operator's call as it was sent. */
public final class OperatorRequestCodec {
  private OperatorRequestCodec() {}

  /** Bytes of a call. */
  public static byte[] encode(OperatorRequest request) {
    MessageBuffer written = new MessageBuffer();
    int length =
        new ConfigurationChangeEncoder()
            .wrapAndApplyHeader(written.buffer(), 0, new MessageHeaderEncoder())
            .baseVersion(request.baseVersion())
            .method(OperatorMethods.toWire(request.method()))
            .putContent(request.body(), 0, request.body().length)
            .encodedLength();
    return written.copy(length);
  }

  /** Reads a call. */
  public static Decoded<OperatorRequest> decode(byte[] bytes) {
    return MessageReader.read(bytes, ControlPeerCodec.SCHEMA_ID, OperatorRequestCodec::read);
  }

  private static OperatorRequest read(DirectBuffer buffer, int template) {
    if (template != ConfigurationChangeDecoder.TEMPLATE_ID) {
      return null;
    }
    ConfigurationChangeDecoder decoder =
        new ConfigurationChangeDecoder().wrapAndApplyHeader(buffer, 0, new MessageHeaderDecoder());
    long baseVersion = decoder.baseVersion();
    OperatorRequest.Method method = OperatorMethods.fromWire(decoder.method());
    int offset = decoder.limit() + DocumentDecoder.varDataEncodingOffset();
    int length = MessageReader.checkedLength(buffer, offset, decoder.contentLength());
    byte[] body = new byte[length];
    decoder.getContent(body, 0, length);
    return new OperatorRequest(method, baseVersion, body);
  }
}
