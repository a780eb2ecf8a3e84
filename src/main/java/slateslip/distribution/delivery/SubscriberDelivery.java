package slateslip.distribution.delivery;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import slateslip.distribution.BackendSession;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.DataPlaneMessage;
import slateslip.distribution.sessions.SessionChangeSet;
import slateslip.distribution.sessions.SessionTable;

/**
 * What one data plane's stream has been sent and has acknowledged. While the stream takes no more,
 * nothing is queued: what it missed is sent as one change, or whole, once it does again.
 */
public final class SubscriberDelivery {
  private static final long NOTHING_SENT = -1;

  /** Patches sent in a row; beyond, the complete configuration is shorter. */
  private static final int MAX_PATCHES = 8;

  private final ConfigurationSource configurations;
  private final SessionTable sessions;
  private DataPlaneMessage.Subscribe subscription;
  private long sentVersion;
  private long sentRevision = NOTHING_SENT;
  private long acknowledgedVersion;
  private long acknowledgedRevision = NOTHING_SENT;

  /** A stream whose first message has not come. */
  public SubscriberDelivery(ConfigurationSource configurations, SessionTable sessions) {
    this.configurations = configurations;
    this.sessions = sessions;
  }

  /** The data plane has said who it is and what it wants. */
  public void subscribe(DataPlaneMessage.Subscribe message) {
    subscription = message;
    sentVersion = message.configurationVersion();
    acknowledgedVersion = message.configurationVersion();
    sentRevision = NOTHING_SENT;
    acknowledgedRevision = NOTHING_SENT;
  }

  /** The data plane has put these in force. */
  public void acknowledge(DataPlaneMessage.Acknowledge message) {
    acknowledgedVersion = Math.max(acknowledgedVersion, message.configurationVersion());
    acknowledgedRevision = Math.max(acknowledgedRevision, message.sessionRevision());
  }

  /** The subscription; empty before the first message. */
  public Optional<DataPlaneMessage.Subscribe> subscription() {
    return Optional.ofNullable(subscription);
  }

  /** Whether configurations and sessions are delivered on this stream. */
  public boolean isActive() {
    return subscription != null && subscription.active();
  }

  /** Version in force at the data plane, as far as it has said. */
  public long acknowledgedVersion() {
    return acknowledgedVersion;
  }

  /** Revision of the sessions in force at the data plane, as far as it has said; -1 if none. */
  public long acknowledgedRevision() {
    return acknowledgedRevision;
  }

  /** What is to be sent now; only asked while the stream takes more. */
  public List<ControlPlaneMessage> pending() {
    if (!isActive()) {
      return List.of();
    }
    List<ControlPlaneMessage> messages = new ArrayList<>();
    addConfigurations(messages);
    addSessions(messages);
    return messages;
  }

  private void addConfigurations(List<ControlPlaneMessage> messages) {
    long newestVersion = configurations.version();
    if (sentVersion >= newestVersion) {
      return;
    }
    List<ControlPlaneMessage> patches = patches(sentVersion, newestVersion);
    if (patches.isEmpty()) {
      messages.add(
          new ControlPlaneMessage.ConfigurationSnapshot(newestVersion, configurations.document()));
    } else {
      messages.addAll(patches);
    }
    sentVersion = newestVersion;
  }

  /** The patches that lead from one version to the other; empty if not all are known. */
  private List<ControlPlaneMessage> patches(long from, long to) {
    List<ControlPlaneMessage> patches = new ArrayList<>();
    long version = from;
    while (version < to && patches.size() < MAX_PATCHES) {
      Optional<ConfigurationSource.Patch> patch = configurations.patchFrom(version);
      if (patch.isEmpty()) {
        return List.of();
      }
      long next = patch.get().toVersion();
      patches.add(new ControlPlaneMessage.ConfigurationPatch(version, next, patch.get().body()));
      version = next;
    }
    return version == to ? patches : List.of();
  }

  private void addSessions(List<ControlPlaneMessage> messages) {
    long newestVersion = sessions.revision();
    if (sentRevision == newestVersion) {
      return;
    }
    Optional<SessionChangeSet> changes =
        sentRevision == NOTHING_SENT ? Optional.empty() : sessions.changesAfter(sentRevision);
    if (changes.isPresent()) {
      messages.add(delta(newestVersion, changes.get()));
    } else {
      addFullTable(messages, newestVersion);
    }
    sentRevision = newestVersion;
  }

  /** What is missing in a table may live all the same, so what has departed is named. */
  private void addFullTable(List<ControlPlaneMessage> messages, long revision) {
    messages.add(
        new ControlPlaneMessage.SessionSnapshot(
            revision, sessions.isComplete(), sessions.sessions()));
    List<String> deregistered = sessions.deregisteredIds();
    if (!deregistered.isEmpty()) {
      messages.add(new ControlPlaneMessage.SessionDelta(revision, List.of(), deregistered));
    }
  }

  private ControlPlaneMessage delta(long revision, SessionChangeSet change) {
    List<BackendSession> changed = new ArrayList<>();
    change.changed().forEach(id -> sessions.session(id).ifPresent(changed::add));
    return new ControlPlaneMessage.SessionDelta(revision, changed, change.removed());
  }
}
