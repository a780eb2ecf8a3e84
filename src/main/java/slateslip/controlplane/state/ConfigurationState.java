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
import slateslip.coordination.PreparedCommand;
import slateslip.coordination.ReplicatedState;
import slateslip.distribution.delivery.ConfigurationSource;
import slateslip.distribution.exchange.ConfigurationStateSnapshot;
import slateslip.distribution.exchange.ConfigurationStateSnapshot.CommittedChange;
import slateslip.distribution.exchange.OperatorRequest;
import slateslip.distribution.exchange.OperatorResponse;
import slateslip.protocol.Decoded;
import slateslip.protocol.exchange.ConfigurationStateCodec;
import slateslip.protocol.exchange.OperatorRequestCodec;
import slateslip.protocol.exchange.OperatorResponseCodec;

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
  private ValidatedRequest checked;

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
  public PreparedCommand prepare(byte[] command) {
    if (!(OperatorRequestCodec.decode(command)
        instanceof Decoded.Message<OperatorRequest> message)) {
      return answer(OperatorResponse.INVALID, "not a change");
    }
    OperatorRequest call = message.value();
    CommittedChange earlier = changes.get(digest(call));
    if (earlier != null) {
      return answer(new OperatorResponse(OperatorResponse.OK, earlier.version(), new byte[0]));
    }
    if (call.baseVersion() != version()) {
      return answer(OperatorResponse.CONFLICT, "the current version is " + version());
    }
    ConfigurationOutcome outcome = read(call);
    if (outcome instanceof ConfigurationOutcome.Invalid invalid) {
      return answer(OperatorResponse.INVALID, invalid.message());
    }
    checked = new ValidatedRequest(call, outcome);
    return new PreparedCommand.Change(command);
  }

  private PreparedCommand answer(int status, String message) {
    return answer(OperatorResponse.of(status, version(), message));
  }

  private PreparedCommand answer(OperatorResponse answer) {
    return new PreparedCommand.Response(OperatorResponseCodec.encode(answer));
  }

  private ConfigurationOutcome read(OperatorRequest call) {
    if (call.method() == OperatorRequest.Method.PUT) {
      return ConfigurationDocument.parse(call.body(), version());
    }
    if (document == null) {
      return new ConfigurationOutcome.Invalid("there is no configuration to change yet");
    }
    return document.patched(call.body());
  }

  @Override
  public void apply(byte[] record) {
    if (!(OperatorRequestCodec.decode(record)
        instanceof Decoded.Message<OperatorRequest> message)) {
      throw new IllegalStateException("a committed record that is no change");
    }
    OperatorRequest call = message.value();
    if (!(outcomeOf(call) instanceof ConfigurationOutcome.Parsed parsed)) {
      throw new IllegalStateException("a committed change that cannot be read");
    }
    document = parsed.document();
    remember(call);
  }

  /** What reading the call gave; the primary has read it once already. */
  private ConfigurationOutcome outcomeOf(OperatorRequest call) {
    ValidatedRequest earlier = checked;
    checked = null;
    if (earlier != null && digest(earlier.call()).equals(digest(call))) {
      return earlier.outcome();
    }
    return readCommitted(call);
  }

  /** Whether the change is valid was decided by the primary that took it. */
  private ConfigurationOutcome readCommitted(OperatorRequest call) {
    return call.method() == OperatorRequest.Method.PUT || document == null
        ? ConfigurationDocument.committed(call.body())
        : document.committedPatch(call.body());
  }

  private void remember(OperatorRequest call) {
    ChangeDigest digest = digest(call);
    ByteBuffer halves = ByteBuffer.wrap(digest.toBytes());
    changes.put(
        digest,
        new CommittedChange(call.baseVersion(), version(), halves.getLong(), halves.getLong()));
    dropOldest(changes, KEPT_CHANGES);
    if (call.method() == OperatorRequest.Method.PATCH) {
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
    return ConfigurationStateCodec.encode(
        new ConfigurationStateSnapshot(new ArrayList<>(changes.values()), json));
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

  private static ConfigurationStateSnapshot decode(byte[] snapshot) {
    if (ConfigurationStateCodec.decode(snapshot)
        instanceof Decoded.Message<ConfigurationStateSnapshot> message) {
      return message.value();
    }
    throw new IllegalStateException("a snapshot that is none");
  }

  private void restore(ConfigurationStateSnapshot image) {
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

  private static ChangeDigest digest(OperatorRequest call) {
    return ChangeDigest.of(call.method().name(), call.baseVersion(), call.body());
  }

  private static ChangeDigest digest(CommittedChange change) {
    ByteBuffer bytes = ByteBuffer.allocate(ChangeDigest.LENGTH);
    bytes.putLong(change.digestHigh()).putLong(change.digestLow());
    return ChangeDigest.ofBytes(bytes.array());
  }

  private record ValidatedRequest(OperatorRequest call, ConfigurationOutcome outcome) {}
}
