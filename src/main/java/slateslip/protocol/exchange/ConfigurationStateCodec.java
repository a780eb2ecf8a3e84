package slateslip.protocol.exchange;

import java.util.ArrayList;
import java.util.List;
import org.agrona.DirectBuffer;
import slateslip.distribution.exchange.ConfigurationStateSnapshot;
import slateslip.distribution.exchange.ConfigurationStateSnapshot.CommittedChange;
import slateslip.protocol.Decoded;
import slateslip.protocol.MessageBuffer;
import slateslip.protocol.MessageReader;
import slateslip.protocol.exchange.generated.DocumentDecoder;
import slateslip.protocol.exchange.generated.ImageDecoder;
import slateslip.protocol.exchange.generated.ImageEncoder;
import slateslip.protocol.exchange.generated.MessageHeaderDecoder;
import slateslip.protocol.exchange.generated.MessageHeaderEncoder;

/** The replicated configuration state as it is copied and kept on disk. */
public final class ConfigurationStateCodec {
  private ConfigurationStateCodec() {}

  /** Bytes of a state. */
  public static byte[] encode(ConfigurationStateSnapshot image) {
    MessageBuffer written = new MessageBuffer();
    ImageEncoder encoder =
        new ImageEncoder().wrapAndApplyHeader(written.buffer(), 0, new MessageHeaderEncoder());
    ImageEncoder.ChangesEncoder group = encoder.changesCount(image.changes().size());
    for (CommittedChange change : image.changes()) {
      group
          .next()
          .baseVersion(change.baseVersion())
          .configurationVersion(change.version())
          .digestHigh(change.digestHigh())
          .digestLow(change.digestLow());
    }
    encoder.putContent(image.document(), 0, image.document().length);
    return written.copy(encoder.encodedLength());
  }

  /** Reads a state. */
  public static Decoded<ConfigurationStateSnapshot> decode(byte[] bytes) {
    return MessageReader.read(bytes, ControlPeerCodec.SCHEMA_ID, ConfigurationStateCodec::read);
  }

  private static ConfigurationStateSnapshot read(DirectBuffer buffer, int template) {
    if (template != ImageDecoder.TEMPLATE_ID) {
      return null;
    }
    ImageDecoder decoder =
        new ImageDecoder().wrapAndApplyHeader(buffer, 0, new MessageHeaderDecoder());
    List<CommittedChange> changes = new ArrayList<>();
    for (ImageDecoder.ChangesDecoder change : decoder.changes()) {
      changes.add(
          new CommittedChange(
              change.baseVersion(),
              change.configurationVersion(),
              change.digestHigh(),
              change.digestLow()));
    }
    int offset = decoder.limit() + DocumentDecoder.varDataEncodingOffset();
    int length = MessageReader.checkedLength(buffer, offset, decoder.contentLength());
    byte[] document = new byte[length];
    decoder.getContent(document, 0, length);
    return new ConfigurationStateSnapshot(changes, document);
  }
}
