package slateslip.controlplane.state;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import slateslip.configuration.ChangeDigest;
import slateslip.configuration.ConfigurationDocument;
import slateslip.configuration.ConfigurationOutcome;
import slateslip.coordination.Preparation;
import slateslip.coordination.ReplicatedState;
import slateslip.distribution.delivery.ConfigurationSource;
import slateslip.distribution.exchange.OperatorAnswer;
import slateslip.distribution.exchange.OperatorCall;
import slateslip.distribution.exchange.StateImage;
import slateslip.distribution.exchange.StateImage.CommittedChange;
import slateslip.protocol.Decoded;
import slateslip.protocol.exchange.AnswerCodec;
import slateslip.protocol.exchange.ChangeCodec;
import slateslip.protocol.exchange.StateImageCodec;

/**
 * The operator's configuration as replicated state: a command is a call of the operator's, a record
 * is the call once it has been found valid on top of the newest version.
 */
public final class ConfigurationState implements ReplicatedState {
  /** Committed changes by which a call that is sent again is known. */
  static final int KEPT_CHANGES = 4_096;

  /** Newest changes that are handed to data planes as patches. */
  private static final int KEPT_PATCHES = 16;

  private final Map<ChangeDigest, CommittedChange> changes = new LinkedHashMap<>();
  private final Map<Long, ConfigurationSource.Patch> patches = new LinkedHashMap<>();
  private ConfigurationDocument document;
  private CheckedCall checked;

  /** The newest configuration; empty before the first. */
  public Optional<ConfigurationDocument> document() {
    return Optional.ofNullable(document);
  }

  /** Version of the newest configuration; 0 before the first. */
  public long version() {
    return document == null ? 0 : document.version();
  }

  /** The change that led on from a version, if it was a patch and is still kept. */
  public Optional<ConfigurationSource.Patch> patchFrom(long version) {
    return Optional.ofNullable(patches.get(version));
  }

  @Override
  public Preparation prepare(byte[] command) {
    if (!(ChangeCodec.decode(command) instanceof Decoded.Message<OperatorCall> message)) {
      return answer(OperatorAnswer.INVALID, "not a change");
    }
    OperatorCall call = message.value();
    CommittedChange earlier = changes.get(digest(call));
    if (earlier != null) {
      return answer(new OperatorAnswer(OperatorAnswer.OK, earlier.version(), new byte[0]));
    }
    if (call.baseVersion() != version()) {
      return answer(OperatorAnswer.CONFLICT, "the current version is " + version());
    }
    ConfigurationOutcome outcome = read(call);
    if (outcome instanceof ConfigurationOutcome.Invalid invalid) {
      return answer(OperatorAnswer.INVALID, invalid.message());
    }
    checked = new CheckedCall(call, outcome);
    return new Preparation.Change(command);
  }

  private Preparation answer(int status, String message) {
    return answer(OperatorAnswer.of(status, version(), message));
  }

  private Preparation answer(OperatorAnswer answer) {
    return new Preparation.Answer(AnswerCodec.encode(answer));
  }

  private ConfigurationOutcome read(OperatorCall call) {
    if (call.method() == OperatorCall.Method.PUT) {
      return ConfigurationDocument.parse(call.body(), version());
    }
    if (document == null) {
      return new ConfigurationOutcome.Invalid("there is no configuration to change yet");
    }
    return document.patched(call.body());
  }

  @Override
  public void apply(byte[] record) {
    if (!(ChangeCodec.decode(record) instanceof Decoded.Message<OperatorCall> message)) {
      throw new IllegalStateException("a committed record that is no change");
    }
    OperatorCall call = message.value();
    if (!(outcomeOf(call) instanceof ConfigurationOutcome.Parsed parsed)) {
      throw new IllegalStateException("a committed change that cannot be read");
    }
    document = parsed.document();
    remember(call);
  }

  /** What reading the call gave; the primary has read it once already. */
  private ConfigurationOutcome outcomeOf(OperatorCall call) {
    CheckedCall earlier = checked;
    checked = null;
    if (earlier != null && digest(earlier.call()).equals(digest(call))) {
      return earlier.outcome();
    }
    return readCommitted(call);
  }

  /** Whether the change is valid was decided by the primary that took it. */
  private ConfigurationOutcome readCommitted(OperatorCall call) {
    return call.method() == OperatorCall.Method.PUT || document == null
        ? ConfigurationDocument.committed(call.body())
        : document.committedPatch(call.body());
  }

  private void remember(OperatorCall call) {
    ChangeDigest digest = digest(call);
    ByteBuffer halves = ByteBuffer.wrap(digest.toBytes());
    changes.put(
        digest,
        new CommittedChange(call.baseVersion(), version(), halves.getLong(), halves.getLong()));
    dropOldest(changes, KEPT_CHANGES);
    if (call.method() == OperatorCall.Method.PATCH) {
      patches.put(call.baseVersion(), new ConfigurationSource.Patch(version(), call.body()));
      dropOldest(patches, KEPT_PATCHES);
    }
  }

  private static <K, V> void dropOldest(Map<K, V> map, int kept) {
    if (map.size() > kept) {
      map.remove(map.keySet().iterator().next());
    }
  }

  @Override
  public byte[] snapshot() {
    byte[] json = document == null ? new byte[0] : document.toJson();
    return StateImageCodec.encode(new StateImage(new ArrayList<>(changes.values()), json));
  }

  @Override
  public void restore(byte[] snapshot) {
    changes.clear();
    patches.clear();
    document = null;
    checked = null;
    if (snapshot.length > 0) {
      restore(decode(snapshot));
    }
  }

  private static StateImage decode(byte[] snapshot) {
    if (StateImageCodec.decode(snapshot) instanceof Decoded.Message<StateImage> message) {
      return message.value();
    }
    throw new IllegalStateException("a snapshot that is none");
  }

  private void restore(StateImage image) {
    List<CommittedChange> committed = image.changes();
    committed.forEach(change -> changes.put(digest(change), change));
    if (image.document().length == 0) {
      return;
    }
    if (!(ConfigurationDocument.committed(image.document())
        instanceof ConfigurationOutcome.Parsed parsed)) {
      throw new IllegalStateException("a snapshot whose configuration cannot be read");
    }
    document = parsed.document();
  }

  private static ChangeDigest digest(OperatorCall call) {
    return ChangeDigest.of(call.method().name(), call.baseVersion(), call.body());
  }

  private static ChangeDigest digest(CommittedChange change) {
    ByteBuffer bytes = ByteBuffer.allocate(ChangeDigest.LENGTH);
    bytes.putLong(change.digestHigh()).putLong(change.digestLow());
    return ChangeDigest.ofBytes(bytes.array());
  }

  private record CheckedCall(OperatorCall call, ConfigurationOutcome outcome) {}
}
