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
 * Tracks what was sent on one data plane's stream and what the data plane has acknowledged. While
 * the stream is not writable, no messages are queued. Once the stream is writable again, everything
 * that the data plane missed is sent as one change or as a complete state.
 */
public final class SubscriberDelivery {
  private static final long NOTHING_SENT = -1;

  /**
   * The largest number of patches that are sent in succession. Beyond this number, the complete
   * configuration is shorter.
   */
  private static final int MAX_PATCHES = 8;

  private final ConfigurationSource configurations;
  private final SessionTable sessions;
  private DataPlaneMessage.Subscribe subscription;
  private long sentVersion;
  private long sentRevision = NOTHING_SENT;
  private long acknowledgedVersion;
  private long acknowledgedRevision = NOTHING_SENT;

  /** Creates the delivery state of a stream on which no message has arrived. */
  public SubscriberDelivery(ConfigurationSource configurations, SessionTable sessions) {
    this.configurations = configurations;
    this.sessions = sessions;
  }

  /**
   * Processes a subscription, which identifies the data plane and selects what the data plane
   * receives. Session delivery starts again with the full table.
   */
  public void subscribe(DataPlaneMessage.Subscribe message) {
    subscription = message;
    sentVersion = message.configurationVersion();
    acknowledgedVersion = message.configurationVersion();
    sentRevision = NOTHING_SENT;
    acknowledgedRevision = NOTHING_SENT;
  }

  /**
   * Records the configuration version and the session revision that are in force at the data plane.
   * Lower values than those recorded are ignored.
   */
  public void acknowledge(DataPlaneMessage.Acknowledge message) {
    acknowledgedVersion = Math.max(acknowledgedVersion, message.configurationVersion());
    acknowledgedRevision = Math.max(acknowledgedRevision, message.sessionRevision());
  }

  /** Returns the latest subscription; empty before the first message. */
  public Optional<DataPlaneMessage.Subscribe> subscription() {
    return Optional.ofNullable(subscription);
  }

  /** Returns whether configurations and sessions are delivered on this stream. */
  public boolean isActive() {
    return subscription != null && subscription.active();
  }

  /**
   * Returns the newest configuration version that the data plane has acknowledged or named in its
   * subscription; 0 if there is none.
   */
  public long acknowledgedVersion() {
    return acknowledgedVersion;
  }

  /**
   * Returns the newest session revision that the data plane has acknowledged since its last
   * subscription; -1 if there is none.
   */
  public long acknowledgedRevision() {
    return acknowledgedRevision;
  }

  /**
   * Returns the messages to be sent now and records them as sent. Must only be called while the
   * stream is writable.
   */
  public List<ControlPlaneMessage> pending() {
    List<ControlPlaneMessage> messages = new ArrayList<>(pendingConfigurations());
    messages.addAll(pendingSessions());
    return messages;
  }

  /**
   * Records a complete configuration as sent of which the data plane has received a part, if only a
   * complete configuration leads to the newest version, and patches lead there from this version.
   *
   * @return whether the transfer of that configuration is to be continued
   */
  public boolean continueConfiguration(long version) {
    long newestVersion = configurations.version();
    boolean useful =
        isActive()
            && version > sentVersion
            && patches(sentVersion, newestVersion).isEmpty()
            && !patches(version, newestVersion).isEmpty();
    if (useful) {
      sentVersion = version;
    }
    return useful;
  }

  /**
   * Records a session table as sent of which the data plane has received a part, if the changes
   * since that table are known.
   *
   * @param complete whether a backend that the table does not contain is gone
   * @param outdatedIds backends whose state has changed without a new revision
   * @return the message that must follow the table; empty if the table must not be continued
   */
  public Optional<ControlPlaneMessage> continueSessions(
      long revision, boolean complete, List<String> outdatedIds) {
    boolean useful =
        isActive()
            && sentRevision == NOTHING_SENT
            && complete == sessions.isComplete()
            && sessions.changesAfter(revision).isPresent();
    if (!useful) {
      return Optional.empty();
    }
    sentRevision = revision;
    return Optional.of(
        new ControlPlaneMessage.SessionDelta(
            revision, known(outdatedIds), sessions.deregisteredIds()));
  }

  private List<BackendSession> known(List<String> ids) {
    return ids.stream().map(sessions::session).flatMap(Optional::stream).toList();
  }

  /** Returns the configurations to be sent now and records them as sent. */
  public List<ControlPlaneMessage> pendingConfigurations() {
    List<ControlPlaneMessage> messages = new ArrayList<>();
    if (isActive()) {
      addConfigurations(messages);
    }
    return messages;
  }

  /** Returns the sessions to be sent now and records them as sent. */
  public List<ControlPlaneMessage> pendingSessions() {
    List<ControlPlaneMessage> messages = new ArrayList<>();
    if (isActive()) {
      addSessions(messages);
    }
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

  /**
   * Returns the patches that lead from one version to the other; empty if not all are known or if
   * there are more than {@link #MAX_PATCHES}.
   */
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
    long newestRevision = sessions.revision();
    if (sentRevision == newestRevision) {
      return;
    }
    Optional<SessionChangeSet> changes =
        sentRevision == NOTHING_SENT ? Optional.empty() : sessions.changesAfter(sentRevision);
    if (changes.isPresent()) {
      messages.add(delta(newestRevision, changes.get()));
    } else {
      addFullTable(messages, newestRevision);
    }
    sentRevision = newestRevision;
  }

  /**
   * Adds the full session table. A data plane must not treat a backend as gone only because an
   * incomplete table does not contain it, so deregistered backends are listed explicitly.
   */
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
    return new ControlPlaneMessage.SessionDelta(
        revision, known(change.changed()), change.removed());
  }
}
