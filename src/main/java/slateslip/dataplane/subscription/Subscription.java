package slateslip.dataplane.subscription;

import java.util.ArrayList;
import java.util.List;
import slateslip.configuration.ConfigurationDocument;
import slateslip.configuration.ConfigurationOutcome;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.DataPlaneMessage;
import slateslip.distribution.QuotaAllocation;
import slateslip.distribution.QuotaReport;

/**
 * Keeps streams to up to three control agents. The active stream carries configurations, backend
 * sessions and quota allocations; the others carry heartbeats. This class is a state machine
 * without sockets, clocks or threads.
 *
 * <p>The version of the configuration in force never decreases. The last received configuration,
 * backends and allocations stay in force while no control agent is reachable.
 */
public final class Subscription {
  /** Interval between two ticks, in milliseconds. */
  public static final long TICK_MILLIS = 100;

  /** Time without any byte that closes a stream. Agents send several heartbeats a second. */
  private static final long STREAM_TIMEOUT_MILLIS = 700;

  /** How long a stream may take to be established. */
  private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

  /** How long the active agent may lag behind the version of another before it is replaced. */
  private static final long MAX_LAG_MILLIS = 200;

  /** How long a preferred agent has to stay current before it replaces another current agent. */
  private static final long PREFERRED_STABLE_MILLIS = 3_000;

  /** A longer time between two ticks means that this process was delayed, not its peers. */
  private static final long STALL_THRESHOLD_MILLIS = 3 * TICK_MILLIS;

  /**
   * How long the list of backends may stay incomplete after a restart of all control agents: each
   * backend registers again within three heartbeats.
   */
  private static final long SETTLING_MILLIS = 4_000;

  private final DataPlaneIdentity identity;
  private final PingSchedule pings;
  private final KeyLease lease;
  private final ControlStreams streams;
  private final BackendDirectory sessions = new BackendDirectory();
  private final TransferReceiver transfers = new TransferReceiver();
  private final QuotaReportSchedule reportSchedule = new QuotaReportSchedule();
  private List<SubscriptionOutput> outputs = new ArrayList<>();
  private ConfigurationDocument document;
  private boolean backendsReceived;
  private ControlStream active;
  private long laggingSinceMillis = Long.MAX_VALUE;
  private long lastTickMillis;
  private long readySinceMillis = Long.MAX_VALUE;

  /** Creates a subscription of a data plane that needs no key lease. */
  public Subscription(DataPlaneIdentity identity, List<String> seeds) {
    this(identity, seeds, 0);
  }

  /**
   * Creates a subscription without a configuration or backends.
   *
   * @param seeds IPv4 addresses of control agents from the settings
   * @param leaseMillis how long requests with keys may be served after the last confirmation that
   *     the newest configuration is in force, in milliseconds; 0 if no lease is needed
   */
  public Subscription(DataPlaneIdentity identity, List<String> seeds, long leaseMillis) {
    this.identity = identity;
    this.pings = new PingSchedule(leaseMillis);
    this.lease = new KeyLease(leaseMillis);
    this.streams = new ControlStreams(identity, seeds);
  }

  /** Returns the version of the configuration in force, or 0 if there is none. */
  public long configurationVersion() {
    return document == null ? 0 : document.version();
  }

  /** Returns whether a configuration and a list of backends have been received. */
  public boolean isReady() {
    return document != null && backendsReceived;
  }

  /**
   * Returns whether messages from control agents may wait for a tick. They may not wait until the
   * list of backends has had time to become complete after a restart of the whole fleet.
   */
  boolean isSettled(long nowMillis) {
    return isReady() && nowMillis - readySinceMillis >= SETTLING_MILLIS;
  }

  /**
   * Handles one input.
   *
   * @param nowMillis time of the steady clock, in milliseconds
   * @return actions that the host has to carry out in this order
   */
  public List<SubscriptionOutput> handle(long nowMillis, SubscriptionInput input) {
    outputs = new ArrayList<>();
    if (input instanceof SubscriptionInput.Connected connected) {
      connected(nowMillis, connected.agent());
    } else if (input instanceof SubscriptionInput.Disconnected disconnected) {
      disconnected(nowMillis, disconnected.agent());
    } else if (input instanceof SubscriptionInput.Received received) {
      received(nowMillis, received);
    } else if (input instanceof SubscriptionInput.BytesReceived received) {
      bytesReceived(nowMillis, received.agent());
    } else if (input instanceof SubscriptionInput.SeedsChanged changed) {
      streams.seedsChanged(changed.agents());
    } else if (input instanceof SubscriptionInput.Tick tick) {
      tick(nowMillis, tick.report());
    }
    return outputs;
  }

  private void connected(long now, String agent) {
    ControlStream stream = streams.of(agent);
    if (stream == null || stream.state != ControlStream.State.DIALLING) {
      outputs.add(new SubscriptionOutput.Close(agent));
      return;
    }
    stream.opened(now);
    subscribe(stream, false);
  }

  private void disconnected(long now, String agent) {
    ControlStream stream = streams.of(agent);
    if (stream == null) {
      return;
    }
    stream.closed(now);
    if (stream == active) {
      active = null;
      chooseActive(now);
    }
  }

  private void close(long now, ControlStream stream) {
    outputs.add(new SubscriptionOutput.Close(stream.agent));
    disconnected(now, stream.agent);
  }

  private void subscribe(ControlStream stream, boolean asActive) {
    send(
        stream,
        new DataPlaneMessage.Subscribe(
            identity.node(),
            identity.incarnation(),
            identity.zone(),
            configurationVersion(),
            asActive,
            true,
            transfers.largestPartial()));
  }

  private void send(ControlStream stream, DataPlaneMessage message) {
    outputs.add(new SubscriptionOutput.Send(stream.agent, message));
  }

  private void tick(long now, QuotaReport report) {
    extendTimeoutsAfterStall(now);
    sessions.expire(now);
    for (ControlStream stream : streams.all()) {
      closeIfTimedOut(now, stream);
    }
    streams.dial(now).forEach(stream -> outputs.add(new SubscriptionOutput.Dial(stream.agent)));
    closeSurplusStream(now);
    chooseActive(now);
    reportQuotas(now, report);
    sendPings(now);
    if (isReady() && readySinceMillis == Long.MAX_VALUE) {
      readySinceMillis = now;
    }
  }

  private void extendTimeoutsAfterStall(long now) {
    long sinceLastTick = now - lastTickMillis;
    if (sinceLastTick > STALL_THRESHOLD_MILLIS) {
      streams
          .all()
          .forEach(stream -> stream.lastReceivedMillis = Math.max(stream.lastReceivedMillis, now));
    }
    lastTickMillis = now;
  }

  private void closeIfTimedOut(long now, ControlStream stream) {
    long idleMillis = now - stream.lastReceivedMillis;
    boolean timedOut =
        (stream.isOpen() && idleMillis > STREAM_TIMEOUT_MILLIS)
            || (stream.state == ControlStream.State.DIALLING
                && idleMillis > CONNECT_TIMEOUT_MILLIS);
    if (timedOut) {
      close(now, stream);
    }
  }

  private void closeSurplusStream(long now) {
    streams.surplus(active).ifPresent(stream -> close(now, stream));
  }

  private void chooseActive(long now) {
    ControlStream best = streams.best(configurationVersion());
    if (best == null || best == active) {
      laggingSinceMillis = Long.MAX_VALUE;
      return;
    }
    if (active == null || (!active.isCurrent() && best.isCurrent())) {
      activate(best);
    } else if (best.configurationVersion()
        > Math.max(configurationVersion(), active.configurationVersion())) {
      laggingSinceMillis = Math.min(laggingSinceMillis, now);
      if (now - laggingSinceMillis >= MAX_LAG_MILLIS) {
        activate(best);
      }
    } else if (best.rank < active.rank
        && now - best.currentSinceMillis >= PREFERRED_STABLE_MILLIS) {
      activate(best);
    }
  }

  private void activate(ControlStream stream) {
    if (active != null && active.isOpen()) {
      subscribe(active, false);
    }
    active = stream;
    laggingSinceMillis = Long.MAX_VALUE;
    reportPartialTransfers(stream);
    subscribe(stream, true);
    outputs.add(new SubscriptionOutput.LogLine("active control agent: " + stream.agent));
  }

  /**
   * Reports what has been received of incomplete transfers, so that the agent continues them even
   * if there is a newer state. A data plane that is ready takes the newest state instead, because a
   * complete but older session table would remove newer backends for a moment.
   */
  private void reportPartialTransfers(ControlStream stream) {
    if (!isReady()) {
      transfers
          .partials()
          .forEach(position -> send(stream, new DataPlaneMessage.SegmentAcknowledge(position)));
    }
  }

  private void reportQuotas(long now, QuotaReport report) {
    if (active != null && reportSchedule.takeIfDue(now, report)) {
      send(active, new DataPlaneMessage.Demand(report));
    }
  }

  /**
   * Sends pings on the streams that carry no quota reports, so that the agents see that this data
   * plane is alive. Where keys are leased, all agents are pinged, because a pong confirms that the
   * agent knows the newest configuration version.
   */
  private void sendPings(long now) {
    if (!pings.takeIfDue(now, needsLease())) {
      return;
    }
    for (ControlStream stream : streams.all()) {
      if (stream.isOpen() && (stream != active || needsLease())) {
        send(stream, new DataPlaneMessage.Ping(now));
      }
    }
  }

  private boolean needsLease() {
    return lease.isNeeded(document);
  }

  private void extendLease(ControlStream stream, ControlPlaneMessage.Pong pong) {
    lease
        .extendedUntilMillis(stream, pong, document)
        .ifPresent(until -> outputs.add(new SubscriptionOutput.ExtendKeyLease(until)));
  }

  private void received(long now, SubscriptionInput.Received received) {
    ControlStream stream = streams.of(received.agent());
    if (stream == null || !stream.isOpen()) {
      return;
    }
    stream.lastReceivedMillis = now;
    if (received.message() instanceof ControlPlaneMessage.Segment segment) {
      segmentReceived(now, stream, segment);
    } else {
      messageReceived(now, stream, received.message());
    }
  }

  private void bytesReceived(long now, String agent) {
    ControlStream stream = streams.of(agent);
    if (stream != null && stream.isOpen()) {
      stream.lastReceivedMillis = now;
    }
  }

  /** Acknowledges a segment, and handles the message whose last segment has arrived. */
  private void segmentReceived(
      long now, ControlStream stream, ControlPlaneMessage.Segment segment) {
    TransferReceiver.Result result = transfers.add(segment);
    if (result instanceof TransferReceiver.Result.Incomplete incomplete) {
      send(stream, new DataPlaneMessage.SegmentAcknowledge(incomplete.position()));
    } else if (result instanceof TransferReceiver.Result.Complete complete) {
      send(stream, new DataPlaneMessage.SegmentAcknowledge(complete.position()));
      messageReceived(now, stream, complete.message());
    } else if (result instanceof TransferReceiver.Result.Malformed malformed) {
      outputs.add(
          new SubscriptionOutput.LogLine(
              "malformed transfer from control agent " + stream.agent + ": " + malformed.reason()));
      close(now, stream);
    }
  }

  private void messageReceived(long now, ControlStream stream, ControlPlaneMessage message) {
    if (message instanceof ControlPlaneMessage.Heartbeat heartbeat) {
      stream.heartbeat(now, heartbeat);
      streams.heartbeatReceived(stream);
      chooseActive(now);
    } else if (message instanceof ControlPlaneMessage.ConfigurationSnapshot snapshot) {
      applyUpdate(stream, snapshot);
    } else if (message instanceof ControlPlaneMessage.ConfigurationPatch patch) {
      applyUpdate(stream, patch);
    } else if (message instanceof ControlPlaneMessage.Pong pong) {
      extendLease(stream, pong);
    } else if (stream == active) {
      receivedOnActiveStream(now, stream, message);
    }
  }

  private void receivedOnActiveStream(long now, ControlStream stream, ControlPlaneMessage message) {
    if (message instanceof ControlPlaneMessage.SessionSnapshot snapshot) {
      boolean changed = sessions.applySnapshot(now, snapshot.complete(), snapshot.sessions());
      sessionsApplied(stream, snapshot.revision(), changed || !backendsReceived);
      backendsReceived = true;
    } else if (message instanceof ControlPlaneMessage.SessionDelta delta) {
      boolean changed = sessions.applyDelta(now, delta.changed(), delta.removedIds());
      sessionsApplied(stream, delta.revision(), changed);
    } else if (message instanceof ControlPlaneMessage.QuotaUpdate update
        && isForThisProcess(update)) {
      outputs.add(new SubscriptionOutput.ApplyAllocation(update.allocation()));
    }
  }

  /**
   * Returns whether an allocation is for this process. An allocation for an earlier process of the
   * same node may still be in flight.
   */
  private boolean isForThisProcess(ControlPlaneMessage.QuotaUpdate update) {
    QuotaAllocation.Lease lease = update.allocation().lease();
    return lease == null || lease.incarnation() == identity.incarnation();
  }

  private void sessionsApplied(ControlStream stream, long revision, boolean changed) {
    if (changed) {
      outputs.add(new SubscriptionOutput.ReplaceBackends(sessions.all()));
    }
    stream.sessionRevision = revision;
    acknowledge(stream);
  }

  private void acknowledge(ControlStream stream) {
    send(stream, new DataPlaneMessage.Acknowledge(configurationVersion(), stream.sessionRevision));
  }

  private void applyUpdate(
      ControlStream stream, ControlPlaneMessage.ConfigurationSnapshot snapshot) {
    if (snapshot.version() > configurationVersion()) {
      apply(ConfigurationDocument.committed(snapshot.document()));
    }
    acknowledge(stream);
  }

  private void applyUpdate(ControlStream stream, ControlPlaneMessage.ConfigurationPatch patch) {
    if (patch.toVersion() <= configurationVersion()) {
      acknowledge(stream);
    } else if (patch.fromVersion() == configurationVersion() && document != null) {
      apply(document.committedPatch(patch.patch()));
      acknowledge(stream);
    } else {
      // reports the version in force, so that the agent sends a complete configuration
      subscribe(stream, stream == active);
    }
  }

  private void apply(ConfigurationOutcome outcome) {
    if (outcome instanceof ConfigurationOutcome.Parsed parsed) {
      document = parsed.document();
      outputs.add(new SubscriptionOutput.Configure(document.configuration()));
    } else if (outcome instanceof ConfigurationOutcome.Invalid invalid) {
      outputs.add(new SubscriptionOutput.LogLine("configuration not usable: " + invalid.message()));
    }
  }
}
