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
import slateslip.distribution.peer.ConfigurationStateSnapshot;
import slateslip.distribution.peer.ConfigurationStateSnapshot.CommittedChange;
import slateslip.distribution.peer.OperatorRequest;
import slateslip.distribution.peer.OperatorResponse;
import slateslip.protocol.Decoded;
import slateslip.protocol.peer.ConfigurationStateCodec;
import slateslip.protocol.peer.OperatorRequestCodec;
import slateslip.protocol.peer.OperatorResponseCodec;

/**
 * Holds the operator's configuration as replicated state. A command is an encoded {@link
 * OperatorRequest}; a record is a request that the primary has validated against the newest
 * version.
 */
public final class ConfigurationState implements ReplicatedState {
  /** Limits how many committed changes are retained to recognize a request that is sent again. */
  static final int MAX_RETAINED_CHANGES = 4_096;

  /** Limits how many of the newest changes are kept as patches for data planes. */
  private static final int MAX_PATCHES = 16;

  /** How many times shorter than a complete configuration its difference must be to be kept. */
  private static final int MIN_PATCH_SAVING = 2;

  private final Map<ChangeDigest, CommittedChange> changes = new LinkedHashMap<>();
  private final Map<Long, ConfigurationSource.Patch> patches = new LinkedHashMap<>();
  private ConfigurationDocument document;

  /**
   * The last request that {@link #prepare} validated, with its parsed outcome; null after {@link
   * #apply}.
   */
  private ValidatedRequest validated;

  /** Returns the newest configuration; empty before the first configuration is committed. */
  public Optional<ConfigurationDocument> document() {
    return Optional.ofNullable(document);
  }

  /**
   * Returns the version of the newest configuration; 0 before the first configuration is committed.
   */
  public long version() {
    return document == null ? 0 : document.version();
  }

  /**
   * Returns the patch that turns a version into the next one; empty if the next one was sent as a
   * complete configuration that differs in much, or if the patch is no longer kept.
   */
  public Optional<ConfigurationSource.Patch> patchFrom(long version) {
    return Optional.ofNullable(patches.get(version));
  }

  @Override
  public PreparedCommand prepare(byte[] command) {
    if (!(OperatorRequestCodec.decode(command)
        instanceof Decoded.Message<OperatorRequest> message)) {
      return respond(OperatorResponse.INVALID, "not a change");
    }
    OperatorRequest request = message.value();
    CommittedChange previous = changes.get(digest(request));
    if (previous != null) {
      return respond(new OperatorResponse(OperatorResponse.OK, previous.version(), new byte[0]));
    }
    if (request.baseVersion() != version()) {
      return respond(OperatorResponse.CONFLICT, "the current version is " + version());
    }
    ConfigurationOutcome outcome = parse(request);
    if (outcome instanceof ConfigurationOutcome.Invalid invalid) {
      return respond(OperatorResponse.INVALID, invalid.message());
    }
    validated = new ValidatedRequest(request, outcome);
    return new PreparedCommand.Change(command);
  }

  private PreparedCommand respond(int status, String message) {
    return respond(OperatorResponse.of(status, version(), message));
  }

  private PreparedCommand respond(OperatorResponse response) {
    return new PreparedCommand.Response(OperatorResponseCodec.encode(response));
  }

  private ConfigurationOutcome parse(OperatorRequest request) {
    if (request.method() == OperatorRequest.Method.PUT) {
      return ConfigurationDocument.parse(request.body(), version());
    }
    if (document == null) {
      return new ConfigurationOutcome.Invalid("there is no configuration to change yet");
    }
    return document.patched(request.body());
  }

  @Override
  public void apply(byte[] record) {
    if (!(OperatorRequestCodec.decode(record)
        instanceof Decoded.Message<OperatorRequest> message)) {
      throw new IllegalStateException(
          "a committed record cannot be decoded as an operator request");
    }
    OperatorRequest request = message.value();
    if (!(outcomeOf(request) instanceof ConfigurationOutcome.Parsed parsed)) {
      throw new IllegalStateException("the document of a committed change cannot be parsed");
    }
    ConfigurationDocument previous = document;
    document = parsed.document();
    recordCommitted(request);
    recordPatch(request, previous);
  }

  /**
   * Returns the parsed request. The primary reuses the outcome of its validation instead of parsing
   * the request again.
   */
  private ConfigurationOutcome outcomeOf(OperatorRequest request) {
    ValidatedRequest previous = validated;
    validated = null;
    if (previous != null && digest(previous.request()).equals(digest(request))) {
      return previous.outcome();
    }
    return parseCommitted(request);
  }

  /**
   * Parses a committed request without validating it: the primary that accepted the request has
   * already validated it.
   */
  private ConfigurationOutcome parseCommitted(OperatorRequest request) {
    return request.method() == OperatorRequest.Method.PUT || document == null
        ? ConfigurationDocument.committed(request.body())
        : document.committedPatch(request.body());
  }

  private void recordCommitted(OperatorRequest request) {
    ChangeDigest digest = digest(request);
    ByteBuffer digestBytes = ByteBuffer.wrap(digest.toBytes());
    changes.put(
        digest,
        new CommittedChange(
            request.baseVersion(), version(), digestBytes.getLong(), digestBytes.getLong()));
    dropOldest(changes, MAX_RETAINED_CHANGES);
  }

  /**
   * Keeps the change as a patch for data planes: the operator's patch, or the difference between
   * two complete configurations if it is much shorter than the whole.
   */
  private void recordPatch(OperatorRequest request, ConfigurationDocument previous) {
    if (request.method() == OperatorRequest.Method.PATCH) {
      keepPatch(request.baseVersion(), request.body());
    } else if (previous != null) {
      document
          .patchFrom(previous)
          .filter(patch -> patch.length <= request.body().length / MIN_PATCH_SAVING)
          .ifPresent(patch -> keepPatch(previous.version(), patch));
    }
  }

  private void keepPatch(long fromVersion, byte[] patch) {
    patches.put(fromVersion, new ConfigurationSource.Patch(version(), patch));
    dropOldest(patches, MAX_PATCHES);
  }

  private static <K, V> void dropOldest(Map<K, V> map, int limit) {
    if (map.size() > limit) {
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
    validated = null;
    if (snapshot.length > 0) {
      restore(decode(snapshot));
    }
  }

  private static ConfigurationStateSnapshot decode(byte[] snapshot) {
    if (ConfigurationStateCodec.decode(snapshot)
        instanceof Decoded.Message<ConfigurationStateSnapshot> message) {
      return message.value();
    }
    throw new IllegalStateException("the snapshot of the configuration state cannot be decoded");
  }

  private void restore(ConfigurationStateSnapshot snapshot) {
    List<CommittedChange> committed = snapshot.changes();
    committed.forEach(change -> changes.put(digest(change), change));
    if (snapshot.document().length == 0) {
      return;
    }
    if (!(ConfigurationDocument.committed(snapshot.document())
        instanceof ConfigurationOutcome.Parsed parsed)) {
      throw new IllegalStateException("the configuration document of a snapshot cannot be parsed");
    }
    document = parsed.document();
  }

  private static ChangeDigest digest(OperatorRequest request) {
    return ChangeDigest.of(request.method().name(), request.baseVersion(), request.body());
  }

  private static ChangeDigest digest(CommittedChange change) {
    ByteBuffer bytes = ByteBuffer.allocate(ChangeDigest.LENGTH);
    bytes.putLong(change.digestHigh()).putLong(change.digestLow());
    return ChangeDigest.ofBytes(bytes.array());
  }

  private record ValidatedRequest(OperatorRequest request, ConfigurationOutcome outcome) {}
}
