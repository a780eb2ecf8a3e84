package slateslip.protocol.peer;

import java.util.ArrayList;
import java.util.List;
import org.agrona.DirectBuffer;
import slateslip.distribution.peer.ConfigurationStateSnapshot;
import slateslip.distribution.peer.ConfigurationStateSnapshot.CommittedChange;
import slateslip.protocol.Decoded;
import slateslip.protocol.MessageBuffer;
import slateslip.protocol.MessageReader;
import slateslip.protocol.peer.generated.ConfigurationStateSnapshotDecoder;
import slateslip.protocol.peer.generated.ConfigurationStateSnapshotEncoder;
import slateslip.protocol.peer.generated.DocumentDecoder;
import slateslip.protocol.peer.generated.MessageHeaderDecoder;
import slateslip.protocol.peer.generated.MessageHeaderEncoder;

/**
 * Encodes and decodes snapshots of the replicated configuration state, which are sent to other
 * replicas and stored on disk.
 */
public final class ConfigurationStateCodec {
  private ConfigurationStateCodec() {}

  /** Encodes a snapshot. */
  public static byte[] encode(ConfigurationStateSnapshot snapshot) {
    MessageBuffer messageBuffer = new MessageBuffer();
    ConfigurationStateSnapshotEncoder encoder =
        new ConfigurationStateSnapshotEncoder()
            .wrapAndApplyHeader(messageBuffer.buffer(), 0, new MessageHeaderEncoder());
    ConfigurationStateSnapshotEncoder.ChangesEncoder group =
        encoder.changesCount(snapshot.changes().size());
    for (CommittedChange change : snapshot.changes()) {
      group
          .next()
          .baseVersion(change.baseVersion())
          .configurationVersion(change.version())
          .digestHigh(change.digestHigh())
          .digestLow(change.digestLow());
    }
    encoder.putContent(snapshot.document(), 0, snapshot.document().length);
    return messageBuffer.copy(encoder.encodedLength());
  }

  /** Decodes a snapshot. Invalid bytes yield {@link Decoded.Malformed}. */
  public static Decoded<ConfigurationStateSnapshot> decode(byte[] bytes) {
    return MessageReader.read(bytes, ControlPeerCodec.SCHEMA_ID, ConfigurationStateCodec::read);
  }

  private static ConfigurationStateSnapshot read(DirectBuffer buffer, int template) {
    if (template != ConfigurationStateSnapshotDecoder.TEMPLATE_ID) {
      return null;
    }
    ConfigurationStateSnapshotDecoder decoder =
        new ConfigurationStateSnapshotDecoder()
            .wrapAndApplyHeader(buffer, 0, new MessageHeaderDecoder());
    List<CommittedChange> changes = new ArrayList<>();
    for (ConfigurationStateSnapshotDecoder.ChangesDecoder change : decoder.changes()) {
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
