package slateslip.controlplane.agent;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.jboss.logging.Logger;
import slateslip.configuration.ConfigurationDocument;
import slateslip.controlplane.state.ConfigurationState;
import slateslip.coordination.ControlReplica;
import slateslip.coordination.NodeAddress;
import slateslip.coordination.NodeId;
import slateslip.distribution.BackendSession;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.DataPlaneMessage;
import slateslip.distribution.peer.ControlPeerMessage;
import slateslip.distribution.peer.OperatorRequest;
import slateslip.distribution.peer.OperatorResponse;
import slateslip.distribution.sessions.SessionTable;
import slateslip.distribution.transfer.SegmentOutcome;
import slateslip.logging.LogContext;
import slateslip.protocol.coordination.ReplicaFrame;

/**
 * One control agent. This class creates the components and connects them; all decisions are made by
 * the components: see {@link ReplicaHost} for the replicated state, {@link SessionService} for
 * backends, {@link OperatorRequestHandler} and {@link RolloutTracker} for the configuration, and
 * {@link QuotaService} for quotas. Confined to the event loop.
 */
public final class ControlAgent implements IncomingConnection.Listener {
  private static final Logger LOG = Logger.getLogger(ControlAgent.class);
  private static final long MICROS_PER_MILLI = 1_000;

  /**
   * Number of heartbeat intervals without a heartbeat after which the session of a backend expires.
   */
  private static final int EXPIRY_HEARTBEATS = 3;

  private static final long PEER_HEARTBEAT_INTERVAL_MICROS = 150_000;
  private static final long STREAM_HEARTBEAT_INTERVAL_MICROS = 200_000;
  private static final long RENEWAL_BATCH_INTERVAL_MICROS = 300_000;
  private static final long EXPIRY_CHECK_INTERVAL_MICROS = 200_000;
  private static final long SHUTDOWN_CHECK_INTERVAL_MICROS = 20_000;
  private static final long QUOTA_INTERVAL_MICROS = 250_000;
  private static final long SNAPSHOT_THRESHOLD_BYTES = 6L * 1024 * 1024;

  private final Scheduler scheduler;
  private final ConfigurationState state = new ConfigurationState();
  private final SessionTable sessionTable;
  private final PeerLinks links;
  private final ReplicaHost replica;
  private final DataPlaneSubscriptions subscribers;
  private final PendingAcknowledgements pendingAcknowledgements;
  private final SessionService sessions;
  private final OperatorRequestHandler operatorRequests;
  private final RolloutTracker rollout;
  private final PeerMessageDispatcher peerMessages;
  private final long startedMicros;
  private final QuotaService quotas;
  private final VersionConfirmation versionConfirmation;
  private final PlacementMonitor placementMonitor = new PlacementMonitor();
  private final PeerTransferReceiver peerTransfers = new PeerTransferReceiver();
  private AgentSettings settings;

  /**
   * Creates a control agent that does nothing before {@link #start}.
   *
   * @param onBrokenInvariant called when an invariant of the replica is violated; must end the
   *     process, because its replica of the control state can no longer be trusted
   */
  public ControlAgent(
      Scheduler scheduler,
      PeerConnector connector,
      AgentSettings settings,
      AgentIdentity identity,
      WriteAheadLog writeAheadLog,
      Consumer<RuntimeException> onBrokenInvariant) {
    this.scheduler = scheduler;
    this.settings = settings;
    startedMicros = scheduler.nowMicros();
    sessionTable =
        new SessionTable(EXPIRY_HEARTBEATS * settings.heartbeatMillis() * MICROS_PER_MILLI);
    sessionTable.suspendExpiry(startedMicros);
    pendingAcknowledgements = new PendingAcknowledgements(scheduler);
    links = new PeerLinks(scheduler, identity.hello(), connector, new LinkListener());
    replica =
        new ReplicaHost(
            scheduler,
            newReplica(settings, identity),
            writeAheadLog,
            new ReplicaSender(),
            this::configurationChanged,
            onBrokenInvariant);
    subscribers =
        new DataPlaneSubscriptions(
            scheduler,
            new CommittedConfigurations(state),
            sessionTable,
            this::dataPlaneHeartbeat,
            new StreamListener(),
            this::hasLeasedKeys,
            this::confirmVersion);
    rollout =
        new RolloutTracker(
            scheduler,
            replica,
            links,
            subscribers,
            pendingAcknowledgements,
            settings.acknowledgeTimeoutMillis() / 2 * MICROS_PER_MILLI);
    sessions =
        new SessionService(
            identity.incarnation(),
            scheduler,
            sessionTable,
            links,
            subscribers,
            pendingAcknowledgements,
            this::reachesMajority);
    operatorRequests =
        new OperatorRequestHandler(
            identity.incarnation(), scheduler, replica, state, links, rollout);
    versionConfirmation = new VersionConfirmation(scheduler, operatorRequests, state::version);
    quotas =
        new QuotaService(
            identity.address(),
            scheduler,
            links,
            subscribers,
            new PrimaryAllocatorRole(replica),
            settings.quotaWindowMicros());
    peerMessages =
        new PeerMessageDispatcher(sessionTable, links, sessions, operatorRequests, rollout, quotas);
  }

  private ControlReplica newReplica(AgentSettings agentSettings, AgentIdentity identity) {
    return new ControlReplica(
        agentSettings.replicaSettings(SNAPSHOT_THRESHOLD_BYTES), state, identity.incarnation());
  }

  /**
   * Connects to the seed agents and starts the replica and the periodic tasks. Must be called on
   * the event loop.
   */
  public void start() {
    links.connectTo(settings.seeds());
    replica.start();
    scheduler.scheduleAtFixedRate(PEER_HEARTBEAT_INTERVAL_MICROS, this::sendHeartbeats);
    scheduler.scheduleAtFixedRate(STREAM_HEARTBEAT_INTERVAL_MICROS, subscribers::sendHeartbeats);
    scheduler.scheduleAtFixedRate(RENEWAL_BATCH_INTERVAL_MICROS, sessions::flushRenewals);
    scheduler.scheduleAtFixedRate(EXPIRY_CHECK_INTERVAL_MICROS, this::expireSessions);
    scheduler.scheduleAtFixedRate(QUOTA_INTERVAL_MICROS, quotas::tick);
  }

  /**
   * Asks the other agents to take over this agent's role in the view, so that the process can end.
   *
   * @param timeoutMicros time after which {@code onReleased} is called in any case, in microseconds
   * @param onReleased called once on the event loop, when the view no longer counts this agent's
   *     copy of the state
   */
  public void shutDownGracefully(long timeoutMicros, Runnable onReleased) {
    replica.shutDown();
    awaitRelease(scheduler.nowMicros() + timeoutMicros, onReleased);
  }

  private void awaitRelease(long deadlineMicros, Runnable onReleased) {
    if (!replica.isMember() || scheduler.nowMicros() >= deadlineMicros) {
      onReleased.run();
    } else {
      scheduler.schedule(
          SHUTDOWN_CHECK_INTERVAL_MICROS, () -> awaitRelease(deadlineMicros, onReleased));
    }
  }

  /** Replaces the settings and connects to the seed agents that are not known yet. */
  public void settingsChanged(AgentSettings changed) {
    settings = changed;
    links.connectTo(settings.seeds());
  }

  /**
   * Handles a heartbeat of a backend; {@code onComplete} is called once with whether the heartbeat
   * is acknowledged.
   */
  public void backendHeartbeat(BackendSession session, Consumer<Boolean> onComplete) {
    sessions.heartbeat(session, onComplete);
  }

  /**
   * Removes a backend that has stopped; {@code onComplete} is called once with whether the removal
   * is acknowledged.
   */
  public void deregister(String id, Consumer<Boolean> onComplete) {
    sessions.deregister(id, onComplete);
  }

  /** Handles a request of the operator; {@code onResponse} is called exactly once. */
  public void handleOperatorRequest(
      OperatorRequest request, Consumer<OperatorResponse> onResponse) {
    operatorRequests.handleRequest(request, onResponse);
  }

  /** Returns the current state of this agent. Must be called on the event loop. */
  public AgentStatus status() {
    return new AgentStatus(
        settings.node(),
        replica.role().epoch(),
        replica.role().primary().toString(),
        replica.isServing(),
        replica.isPrimaryReachable() && reachesMajority(),
        state.version(),
        sessionTable.sessions().size(),
        sessionTable.isComplete(),
        sessionTable.revision(),
        subscribers.streams().size(),
        links.reachability().reachablePeers(scheduler.nowMicros()),
        quotas.status(),
        replica.placement());
  }

  private void sendHeartbeats() {
    Set<String> retainedAgents = new LinkedHashSet<>(settings.seeds());
    retainedAgents.addAll(witnessAddresses());
    links.connectTo(retainedAgents);
    links.sendHeartbeats(sessionTable.isComplete(), retainedAgents);
    rollout.reportProgress(true);
    placementMonitor.observe(scheduler.nowMicros(), replica.placement());
  }

  private void expireSessions() {
    boolean expiryElapsedSinceStart = scheduler.nowMicros() - startedMicros > expiryMicros();
    if (expiryElapsedSinceStart && reachesMajority()) {
      sessionTable.markComplete();
    }
    sessions.expire();
  }

  private long expiryMicros() {
    return EXPIRY_HEARTBEATS * settings.heartbeatMillis() * MICROS_PER_MILLI;
  }

  /**
   * Returns the IPv4 addresses of the witnesses, whose majority decides which agent is the primary.
   */
  private Collection<String> witnessAddresses() {
    List<String> addresses = new ArrayList<>();
    for (NodeId witness : replica.view().witnesses()) {
      addresses.add(witness.address().toString());
    }
    return addresses;
  }

  private boolean reachesMajority() {
    Collection<String> witnessAddresses = witnessAddresses();
    return !witnessAddresses.isEmpty()
        && links.reachability().reachesMajority(scheduler.nowMicros(), witnessAddresses);
  }

  /**
   * Returns whether data planes need a key lease. A configuration without tenants has no API keys
   * and therefore needs no lease.
   */
  private boolean hasLeasedKeys() {
    return settings.keyLeaseRequired()
        && state.document().filter(ConfigurationDocument::hasTenants).isPresent();
  }

  private void confirmVersion(LongConsumer onConfirmed) {
    versionConfirmation.confirm(onConfirmed);
  }

  private void configurationChanged() {
    LogContext.version(state.version());
    LOG.infof("configuration committed: version=%d", state.version());
    subscribers.deliverPending();
    rollout.progressChanged();
  }

  /**
   * Returns a heartbeat for data planes that lists the control agents in reach. An agent that is
   * cut off from the primary or the majority also lists all witnesses, because a data plane may
   * reach witnesses that this agent does not reach.
   */
  private ControlPlaneMessage.Heartbeat dataPlaneHeartbeat() {
    Set<String> agents =
        new LinkedHashSet<>(links.reachability().reachablePeers(scheduler.nowMicros()));
    agents.add(settings.address());
    boolean current = replica.isPrimaryReachable() && reachesMajority();
    if (!current) {
      agents.addAll(witnessAddresses());
    }
    return new ControlPlaneMessage.Heartbeat(
        current, state.version(), sessionTable.revision(), List.copyOf(agents));
  }

  @Override
  public void dataPlaneMessageReceived(DataPlaneStream stream, DataPlaneMessage message) {
    subscribers.received(stream, message);
  }

  @Override
  public void dataPlaneWritable(DataPlaneStream stream) {
    subscribers.writable(stream);
  }

  @Override
  public void dataPlaneClosed(DataPlaneStream stream) {
    subscribers.closed(stream);
  }

  @Override
  public void replicaMessageReceived(ReplicaFrame frame) {
    replica.received(frame);
  }

  @Override
  public void peerMessageReceived(ControlPeerMessage.Hello sender, ControlPeerMessage message) {
    peerMessages.dispatch(sender, message);
  }

  @Override
  public SegmentOutcome peerSegmentReceived(
      ControlPeerMessage.Hello sender, ControlPeerMessage.Segment segment) {
    SegmentOutcome outcome = peerTransfers.add(sender.address(), segment);
    outcome
        .reached()
        .ifPresent(
            position ->
                links.send(sender.address(), new ControlPeerMessage.SegmentAcknowledge(position)));
    return outcome;
  }

  /** Sends the messages of the replica to peers. */
  private final class ReplicaSender implements ReplicaHost.PeerSender {
    @Override
    public void send(NodeAddress to, byte[] message) {
      links.send(to.toString(), message);
    }

    @Override
    public boolean transfer(NodeAddress to, byte[] message, PeerTransferQueue.Order order) {
      return links.transfer(to.toString(), message, order);
    }
  }

  private final class LinkListener implements PeerLinks.Listener {
    @Override
    public void peerConnected(String peer, long incarnation) {
      LOG.infof("control agent connected: peer=%s", peer);
      sessions.connected(peer, incarnation);
    }

    @Override
    public void peerDisconnected(String peer) {
      LOG.infof("control agent disconnected: peer=%s", peer);
      sessions.disconnected(peer);
    }

    @Override
    public void transferProgressed(String peer) {
      replica.transferProgressed(NodeAddress.parse(peer), links.isInTransfer(peer));
    }

    @Override
    public void peerRemoved(String peer) {
      peerTransfers.remove(peer);
      rollout.peerRemoved(peer);
      sessions.peerRemoved(peer);
    }
  }

  private final class StreamListener implements DataPlaneSubscriptions.Listener {
    @Override
    public void progressChanged() {
      rollout.progressChanged();
    }

    @Override
    public void demandReceived(
        DataPlaneMessage.Subscribe subscriber, DataPlaneMessage.Demand demand) {
      quotas.demandReceived(subscriber, demand);
    }
  }
}
