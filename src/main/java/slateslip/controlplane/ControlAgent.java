package slateslip.controlplane;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import slateslip.controlplane.state.ConfigurationState;
import slateslip.coordination.ControlReplica;
import slateslip.coordination.NodeAddress;
import slateslip.coordination.NodeId;
import slateslip.coordination.ReplicaSettings;
import slateslip.distribution.BackendSession;
import slateslip.distribution.ToControl;
import slateslip.distribution.ToDataPlane;
import slateslip.distribution.delivery.ConfigurationSource;
import slateslip.distribution.exchange.ExchangeMessage;
import slateslip.distribution.exchange.OperatorAnswer;
import slateslip.distribution.exchange.OperatorCall;
import slateslip.distribution.sessions.SessionTable;
import slateslip.logging.LogContext;
import slateslip.protocol.coordination.PeerFrame;
import slateslip.settings.NodeSettings;

/** One control agent: its parts, and what each tells the others. Confined to the event loop. */
final class ControlAgent implements InternalServer.Listener {
  private static final Logger LOG = Logger.getLogger(ControlAgent.class);
  private static final long MICROS_PER_MILLI = 1_000;

  /** A backend may miss this many calls. */
  private static final int EXPIRY_HEARTBEATS = 3;

  private static final long PEER_BEAT_MILLIS = 150;
  private static final long STREAM_BEAT_MILLIS = 200;
  private static final long RENEWAL_MILLIS = 300;
  private static final long EXPIRY_CHECK_MILLIS = 200;
  private static final long SHARES_MILLIS = 250;
  private static final long JOURNAL_BYTES = 6L * 1024 * 1024;

  private final EventLoop loop;
  private final SteadyClock clock;
  private final ConfigurationState state = new ConfigurationState();
  private final SessionTable table;
  private final PeerLinks links;
  private final ReplicaHost replica;
  private final Subscribers subscribers;
  private final DeliveryWaits waits;
  private final SessionService sessions;
  private final OperatorCalls calls;
  private final Map<String, Long> deliveredByPeer = new HashMap<>();

  /** Peers whose whole table has been taken over. */
  private final Set<String> copiedFrom = new HashSet<>();

  private final long startMicros;
  private final ShareService shares;
  private NodeSettings settings;
  private long reportedVersion = -1;

  ControlAgent(
      EventLoop loop,
      SteadyClock clock,
      NodeSettings settings,
      AgentIdentity identity,
      RecordDisk disk) {
    this.loop = loop;
    this.clock = clock;
    this.settings = settings;
    startMicros = clock.micros();
    table = new SessionTable(EXPIRY_HEARTBEATS * settings.heartbeatMillis() * MICROS_PER_MILLI);
    table.holdExpiry(startMicros);
    waits = new DeliveryWaits(loop);
    links =
        new PeerLinks(
            loop, clock, identity.greeting(), settings.ports().first(), new LinkListener());
    ControlReplica machine =
        new ControlReplica(replicaSettings(identity), state, identity.incarnation());
    replica =
        new ReplicaHost(
            loop,
            clock,
            machine,
            disk,
            (to, message) -> links.send(to.toString(), message),
            this::configurationChanged);
    subscribers = new Subscribers(new Committed(), table, this::heartbeat, new StreamListener());
    sessions = new SessionService(clock, table, links, subscribers, waits, this::reachesMajority);
    calls = new OperatorCalls(loop, replica, state, links, this::awaitDelivery);
    shares = new ShareService(identity.address(), clock, links, subscribers, new Allocator());
  }

  private ReplicaSettings replicaSettings(AgentIdentity identity) {
    return new ReplicaSettings(
        NodeAddress.parse(identity.address()),
        seedAddresses().stream().map(NodeAddress::parse).toList(),
        settings.bootstrap(),
        settings.faultTolerance().machines(),
        JOURNAL_BYTES);
  }

  private List<String> seedAddresses() {
    return settings.seeds().stream().map(seed -> seed.getAddress().getHostAddress()).toList();
  }

  /** Starts; on the event loop. */
  void start() {
    links.learn(seedAddresses());
    replica.start();
    every(PEER_BEAT_MILLIS, this::beat);
    every(STREAM_BEAT_MILLIS, subscribers::beat);
    every(RENEWAL_MILLIS, sessions::flushRenewals);
    every(EXPIRY_CHECK_MILLIS, this::checkSessions);
    every(SHARES_MILLIS, shares::tick);
  }

  /** Takes over seeds that have changed. */
  void settingsChanged(NodeSettings changed) {
    settings = changed;
    links.learn(seedAddresses());
  }

  private void every(long millis, Runnable task) {
    loop.scheduleAtFixedRate(task, millis, millis, TimeUnit.MILLISECONDS);
  }

  /** A backend's call; {@code acknowledged} is told once whether it is. */
  void heartbeat(BackendSession session, Consumer<Boolean> acknowledged) {
    sessions.heartbeat(session, acknowledged);
  }

  /** A backend is gone; {@code acknowledged} is told once whether the call is. */
  void depart(String id, Consumer<Boolean> acknowledged) {
    sessions.depart(id, acknowledged);
  }

  /** A call of the operator's; answered once. */
  void call(OperatorCall call, Consumer<OperatorAnswer> answer) {
    calls.call(call, answer);
  }

  /** Figures of this agent as JSON. */
  String statusJson() {
    return StatusReport.json(status());
  }

  /** Figures of this agent in Prometheus' text format. */
  String metricsText() {
    return StatusReport.metrics(status());
  }

  private AgentStatus status() {
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
        links.reachability().reached(clock.micros()));
  }

  private void beat() {
    Set<String> kept = new LinkedHashSet<>(seedAddresses());
    kept.addAll(electorate());
    links.learn(kept);
    links.beat(table.isComplete(), kept);
    reportProgress(true);
  }

  private void checkSessions() {
    boolean heardEverybody = clock.micros() - startMicros > expiryMicros();
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
        && links.reachability().reachesMajority(clock.micros(), electorate);
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
    links.send(primary, new ExchangeMessage.Delivered(version));
  }

  private void awaitDelivery(long version, long boundMillis, Runnable then) {
    waits.await(() -> isDelivered(version), boundMillis, inTime -> then.run());
  }

  private boolean isDelivered(long version) {
    if (subscribers.progress().slowestVersion() < version) {
      return false;
    }
    for (String peer : links.reachability().reached(clock.micros())) {
      if (deliveredByPeer.getOrDefault(peer, 0L) < version) {
        return false;
      }
    }
    return true;
  }

  private ToDataPlane.Heartbeat heartbeat() {
    List<String> agents = new ArrayList<>(links.reachability().reached(clock.micros()));
    agents.add(settings.ip().getHostAddress());
    boolean current = replica.hearsPrimary() && reachesMajority();
    return new ToDataPlane.Heartbeat(current, state.version(), table.revision(), agents);
  }

  @Override
  public void fromDataPlane(Channel channel, ToControl message) {
    subscribers.received(channel, message);
  }

  @Override
  public void dataPlaneWritable(Channel channel) {
    subscribers.writable(channel);
  }

  @Override
  public void dataPlaneClosed(Channel channel) {
    subscribers.closed(channel);
  }

  @Override
  public void fromReplica(PeerFrame frame) {
    replica.received(frame);
  }

  @Override
  public void fromPeer(String peer, ExchangeMessage message) {
    if (message instanceof ExchangeMessage.Beat beat) {
      links.heard(peer, beat);
      if (beat.complete() && copiedFrom.contains(peer)) {
        table.markComplete();
      }
      sessions.confirmed(peer, beat.echoed());
    } else if (message instanceof ExchangeMessage.SessionChanges changes) {
      sessions.merge(peer, changes);
      if (changes.whole()) {
        copiedFrom.add(peer);
      }
    } else if (message instanceof ExchangeMessage.SessionRenewals renewals) {
      sessions.merge(renewals);
    } else if (message instanceof ExchangeMessage.SessionsStored stored) {
      sessions.stored(peer, stored.number());
    } else {
      fromPeerAboutConfiguration(peer, message);
    }
  }

  private void fromPeerAboutConfiguration(String peer, ExchangeMessage message) {
    if (message instanceof ExchangeMessage.Greeting) {
      links.reachability().restarted(peer);
      links.learn(List.of(peer));
    } else if (message instanceof ExchangeMessage.Forwarded forwarded) {
      calls.forwarded(peer, forwarded);
    } else if (message instanceof ExchangeMessage.Answered answered) {
      calls.answered(answered);
    } else if (message instanceof ExchangeMessage.Delivered delivered) {
      deliveredByPeer.put(peer, delivered.slowestVersion());
      waits.check();
    } else if (message instanceof ExchangeMessage.Demands demands) {
      shares.demands(peer, demands);
    } else if (message instanceof ExchangeMessage.Allotted allotted) {
      shares.allotted(allotted);
    }
  }

  /** The committed configurations. */
  private final class Committed implements ConfigurationSource {
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
      deliveredByPeer.remove(peer);
      sessions.forgotten(peer);
    }
  }

  /** The primary divides the fleet-wide limits. */
  private final class Allocator implements ShareService.Holder {
    @Override
    public String address() {
      return replica.role().primary().address().toString();
    }

    @Override
    public boolean isSelf() {
      return replica.isServing();
    }
  }

  private final class StreamListener implements Subscribers.Listener {
    @Override
    public void progressed() {
      reportProgress(false);
      waits.check();
    }

    @Override
    public void demand(ToControl.Subscribe subscriber, ToControl.Demand demand) {
      shares.demand(subscriber, demand);
    }
  }
}
