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

/**
 * Encodes and decodes replicated records of configuration changes. A record contains the operator's
 * request as it was sent.
 */
public final class OperatorRequestCodec {
  private OperatorRequestCodec() {}

  /** Encodes a request. */
  public static byte[] encode(OperatorRequest request) {
    MessageBuffer messageBuffer = new MessageBuffer();
    int length =
        new ConfigurationChangeEncoder()
            .wrapAndApplyHeader(messageBuffer.buffer(), 0, new MessageHeaderEncoder())
            .baseVersion(request.baseVersion())
            .method(OperatorMethods.toWire(request.method()))
            .putContent(request.body(), 0, request.body().length)
            .encodedLength();
    return messageBuffer.copy(length);
  }

  /** Decodes a request. Invalid bytes yield {@link Decoded.Malformed}. */
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
