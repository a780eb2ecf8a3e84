package slateslip.controlplane.agent;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import slateslip.controlplane.state.ConfigurationState;
import slateslip.coordination.ControlReplica;
import slateslip.coordination.NodeAddress;
import slateslip.coordination.NodeId;
import slateslip.coordination.ReplicaSettings;
import slateslip.distribution.BackendSession;
import slateslip.distribution.ControlPlaneMessage;
import slateslip.distribution.DataPlaneMessage;
import slateslip.distribution.delivery.ConfigurationSource;
import slateslip.distribution.delivery.PeerProgress;
import slateslip.distribution.exchange.ControlPeerMessage;
import slateslip.distribution.exchange.OperatorRequest;
import slateslip.distribution.exchange.OperatorResponse;
import slateslip.distribution.sessions.SessionTable;
import slateslip.logging.LogContext;
import slateslip.protocol.coordination.ReplicaFrame;

/** One control agent: its parts, and what each tells the others. Confined to the event loop. */
public final class ControlAgent implements IncomingConnection.Listener {
  private static final Logger LOG = Logger.getLogger(ControlAgent.class);
  private static final long MICROS_PER_MILLI = 1_000;

  /** A backend may miss this many calls. */
  private static final int EXPIRY_HEARTBEATS = 3;

  private static final long PEER_BEAT_MICROS = 150_000;
  private static final long STREAM_BEAT_MICROS = 200_000;
  private static final long RENEWAL_MICROS = 300_000;
  private static final long EXPIRY_CHECK_MICROS = 200_000;
  private static final long LEAVE_CHECK_MICROS = 20_000;
  private static final long SHARES_MICROS = 250_000;
  private static final long JOURNAL_BYTES = 6L * 1024 * 1024;

  private final Scheduler scheduler;
  private final ConfigurationState state = new ConfigurationState();
  private final SessionTable table;
  private final PeerLinks links;
  private final ReplicaHost replica;
  private final DataPlaneSubscriptions subscribers;
  private final PendingAcknowledgements waits;
  private final SessionService sessions;
  private final OperatorRequestHandler calls;
  private final PeerProgress peerProgress = new PeerProgress();

  /** Peers whose whole table has been taken over. */
  private final Set<String> copiedFrom = new HashSet<>();

  private final long startMicros;
  private final QuotaService shares;
  private AgentSettings settings;
  private long reportedVersion = -1;

  /**
   * A control agent that does nothing before {@link #start}.
   *
   * @param brokenInvariant has to end the process: its replica of the control state is not to be
   *     trusted any more
   */
  public ControlAgent(
      Scheduler scheduler,
      PeerConnector connector,
      AgentSettings settings,
      AgentIdentity identity,
      WriteAheadLog log,
      Consumer<RuntimeException> brokenInvariant) {
    this.scheduler = scheduler;
    this.settings = settings;
    startMicros = scheduler.nowMicros();
    table = new SessionTable(EXPIRY_HEARTBEATS * settings.heartbeatMillis() * MICROS_PER_MILLI);
    table.suspendExpiry(startMicros);
    waits = new PendingAcknowledgements(scheduler);
    links = new PeerLinks(scheduler, identity.greeting(), connector, new LinkListener());
    ControlReplica machine =
        new ControlReplica(replicaSettings(identity), state, identity.incarnation());
    replica =
        new ReplicaHost(
            scheduler,
            machine,
            log,
            (to, message) -> links.send(to.toString(), message),
            this::configurationChanged,
            brokenInvariant);
    subscribers =
        new DataPlaneSubscriptions(
            new CommittedConfigurations(), table, this::heartbeat, new StreamListener());
    sessions =
        new SessionService(
            identity.incarnation(),
            scheduler,
            table,
            links,
            subscribers,
            waits,
            this::reachesMajority);
    calls =
        new OperatorRequestHandler(
            identity.incarnation(), scheduler, replica, state, links, this::awaitDelivery);
    shares =
        new QuotaService(
            identity.address(), scheduler, links, subscribers, new PrimaryAllocatorRole());
  }

  private ReplicaSettings replicaSettings(AgentIdentity identity) {
    return new ReplicaSettings(
        NodeAddress.parse(identity.address()),
        settings.seeds().stream().map(NodeAddress::parse).toList(),
        settings.bootstrap(),
        settings.toleratedMachines(),
        JOURNAL_BYTES);
  }

  /** Starts; on the event loop. */
  public void start() {
    links.learn(settings.seeds());
    replica.start();
    scheduler.repeat(PEER_BEAT_MICROS, this::beat);
    scheduler.repeat(STREAM_BEAT_MICROS, subscribers::beat);
    scheduler.repeat(RENEWAL_MICROS, sessions::flushRenewals);
    scheduler.repeat(EXPIRY_CHECK_MICROS, this::checkSessions);
    scheduler.repeat(SHARES_MICROS, shares::tick);
  }

  /**
   * The process is asked to end.
   *
   * @param boundMicros after this time it ends in any case
   * @param left told once, when the view no longer counts on this agent's copy of the state
   */
  public void leave(long boundMicros, Runnable left) {
    replica.leave();
    awaitLeave(scheduler.nowMicros() + boundMicros, left);
  }

  private void awaitLeave(long latestMicros, Runnable left) {
    if (!replica.isMember() || scheduler.nowMicros() >= latestMicros) {
      left.run();
    } else {
      scheduler.schedule(LEAVE_CHECK_MICROS, () -> awaitLeave(latestMicros, left));
    }
  }

  /** Takes over seeds that have changed. */
  public void settingsChanged(AgentSettings changed) {
    settings = changed;
    links.learn(settings.seeds());
  }

  /** A backend's call; {@code acknowledged} is told once whether it is. */
  public void heartbeat(BackendSession session, Consumer<Boolean> acknowledged) {
    sessions.heartbeat(session, acknowledged);
  }

  /** A backend is gone; {@code acknowledged} is told once whether the call is. */
  public void depart(String id, Consumer<Boolean> acknowledged) {
    sessions.depart(id, acknowledged);
  }

  /** A call of the operator's; answered once. */
  public void call(OperatorRequest call, Consumer<OperatorResponse> answer) {
    calls.call(call, answer);
  }

  /** Figures of this agent. */
  public AgentStatus status() {
    return new AgentStatus(
        settings.node(),
        replica.role().epoch(),
        replica.role().primary().toString(),
        replica.isServing(),
        replica.hearsPrimary() && reachesMajority(),
        state.version(),
        table.sessions().size(),
        table.isComplete(),
        table.revision(),
        subscribers.streams().size(),
        links.reachability().reachablePeers(scheduler.nowMicros()));
  }

  private void beat() {
    Set<String> kept = new LinkedHashSet<>(settings.seeds());
    kept.addAll(electorate());
    links.learn(kept);
    links.beat(table.isComplete(), kept);
    reportProgress(true);
  }

  private void checkSessions() {
    boolean heardEverybody = scheduler.nowMicros() - startMicros > expiryMicros();
    if (heardEverybody && reachesMajority()) {
      table.markComplete();
    }
    sessions.expire();
  }

  private long expiryMicros() {
    return EXPIRY_HEARTBEATS * settings.heartbeatMillis() * MICROS_PER_MILLI;
  }

  /** Addresses of those whose majority decides who leads. */
  private Collection<String> electorate() {
    List<String> addresses = new ArrayList<>();
    for (NodeId witness : replica.view().witnesses()) {
      addresses.add(witness.address().toString());
    }
    return addresses;
  }

  private boolean reachesMajority() {
    Collection<String> electorate = electorate();
    return !electorate.isEmpty()
        && links.reachability().reachesMajority(scheduler.nowMicros(), electorate);
  }

  private void configurationChanged() {
    LogContext.version(state.version());
    subscribers.pump();
    reportProgress(false);
    waits.check();
  }

  /** Tells the primary how far the data planes here are, if that is news or it is time to. */
  private void reportProgress(boolean always) {
    long version = subscribers.progress().slowestVersion();
    if (replica.isServing() || (!always && version == reportedVersion)) {
      return;
    }
    reportedVersion = version;
    String primary = replica.role().primary().address().toString();
    links.send(primary, new ControlPeerMessage.DeliveryReport(version));
  }

  private void awaitDelivery(long version, long boundMillis, Runnable then) {
    waits.await(() -> isDelivered(version), boundMillis, inTime -> then.run());
  }

  private boolean isDelivered(long version) {
    if (subscribers.progress().slowestVersion() < version) {
      return false;
    }
    for (String peer : links.reachability().reachablePeers(scheduler.nowMicros())) {
      if (!peerProgress.isDelivered(peer, replica.role().epoch(), version)) {
        return false;
      }
    }
    return true;
  }

  private ControlPlaneMessage.Heartbeat heartbeat() {
    List<String> agents =
        new ArrayList<>(links.reachability().reachablePeers(scheduler.nowMicros()));
    agents.add(settings.address());
    boolean current = replica.hearsPrimary() && reachesMajority();
    return new ControlPlaneMessage.Heartbeat(current, state.version(), table.revision(), agents);
  }

  @Override
  public void fromDataPlane(DataPlaneStream stream, DataPlaneMessage message) {
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
  public void fromReplica(ReplicaFrame frame) {
    replica.received(frame);
  }

  @Override
  public void fromPeer(ControlPeerMessage.Hello sender, ControlPeerMessage message) {
    String peer = sender.address();
    if (message instanceof ControlPeerMessage.Heartbeat beat) {
      links.heard(peer, beat);
      if (beat.complete() && copiedFrom.contains(peer)) {
        table.markComplete();
      }
      sessions.confirmed(peer, links.reachability().acknowledgedMicros(peer));
    } else if (message instanceof ControlPeerMessage.SessionChanges changes) {
      sessions.merge(peer, changes);
      if (changes.fullTable()) {
        copiedFrom.add(peer);
      }
    } else if (message instanceof ControlPeerMessage.SessionRenewals renewals) {
      sessions.merge(peer, renewals);
    } else if (message instanceof ControlPeerMessage.SessionChangesAcknowledged stored) {
      sessions.stored(peer, stored.number());
    } else {
      fromPeerAboutConfiguration(sender, message);
    }
  }

  private void fromPeerAboutConfiguration(
      ControlPeerMessage.Hello sender, ControlPeerMessage message) {
    String peer = sender.address();
    if (message instanceof ControlPeerMessage.Hello) {
      links.reachability().peerRestarted(peer);
      peerProgress.peerStarted(peer, sender.incarnation());
      links.learn(List.of(peer));
    } else if (message instanceof ControlPeerMessage.ForwardedRequest forwarded) {
      calls.forwarded(peer, forwarded);
    } else if (message instanceof ControlPeerMessage.ForwardedResponse answered) {
      calls.answered(peer, answered);
    } else if (message instanceof ControlPeerMessage.DeliveryReport delivered) {
      peerProgress.recordReport(
          peer, sender.incarnation(), replica.role().epoch(), delivered.slowestVersion());
      waits.check();
    } else if (message instanceof ControlPeerMessage.DemandReport demands) {
      shares.demands(peer, demands);
    } else if (message instanceof ControlPeerMessage.QuotaAllocations allotted) {
      shares.allotted(allotted);
    }
  }

  /** The committed configurations. */
  private final class CommittedConfigurations implements ConfigurationSource {
    @Override
    public long version() {
      return state.version();
    }

    @Override
    public byte[] document() {
      return state.document().orElseThrow().toJson();
    }

    @Override
    public Optional<Patch> patchFrom(long version) {
      return state.patchFrom(version);
    }
  }

  private final class LinkListener implements PeerLinks.Listener {
    @Override
    public void linkUp(String peer, long incarnation) {
      LOG.infof("control agent %s connected", peer);
      sessions.connected(peer, incarnation);
    }

    @Override
    public void linkDown(String peer) {
      LOG.infof("control agent %s disconnected", peer);
      sessions.disconnected(peer);
    }

    @Override
    public void forgotten(String peer) {
      peerProgress.remove(peer);
      sessions.forgotten(peer);
    }
  }

  /** The primary divides the fleet-wide limits. */
  private final class PrimaryAllocatorRole implements QuotaService.AllocatorRole {
    @Override
    public String address() {
      return replica.role().primary().address().toString();
    }

    @Override
    public boolean isSelf() {
      return replica.isServing();
    }
  }

  private final class StreamListener implements DataPlaneSubscriptions.Listener {
    @Override
    public void progressed() {
      reportProgress(false);
      waits.check();
    }

    @Override
    public void demand(DataPlaneMessage.Subscribe subscriber, DataPlaneMessage.Demand demand) {
      shares.demand(subscriber, demand);
    }
  }
}
