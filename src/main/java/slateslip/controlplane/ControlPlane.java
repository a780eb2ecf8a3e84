package slateslip.controlplane;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import slateslip.controlplane.agent.AgentIdentity;
import slateslip.controlplane.agent.AgentSettings;
import slateslip.controlplane.agent.ControlAgent;
import slateslip.controlplane.agent.PeerConnector;
import slateslip.coordination.FailureTolerance;
import slateslip.coordination.NodeLocation;
import slateslip.eventloop.CountingIoHandler;
import slateslip.eventloop.ProcessorTime;
import slateslip.eventloop.WakeUpCounter;
import slateslip.protocol.peer.ControlPeerCodec;
import slateslip.settings.FaultTolerance;
import slateslip.settings.NodeSettings;
import slateslip.storage.RingOptions;

/** Runs a control agent with its sockets, disk and threads. */
public final class ControlPlane {
  private static final Logger LOG = Logger.getLogger(ControlPlane.class);
  private static final int BROKEN_INVARIANT_STATUS = 70;
  private static final int RING_FILES = 3;
  private static final long RING_FILE_BYTES = 16L * 1024 * 1024;
  private static final long STOP_MILLIS = 500;

  private final WakeUpCounter wakeUps = new WakeUpCounter();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, CountingIoHandler.newFactory(wakeUps));
  private final EventLoop eventLoop = group.next();
  private final DiskWriteAheadLog writeAheadLog;
  private final ControlAgent agent;
  private final InternalServer internal;
  private final ControlApi api;

  private ControlPlane(NodeSettings settings) throws IOException {
    AgentSettings agentSettings = agentSettings(settings);
    AgentIdentity identity =
        new AgentIdentity(agentSettings.address(), ThreadLocalRandom.current().nextLong());
    writeAheadLog =
        DiskWriteAheadLog.open(
            settings.dataDirectory(), new RingOptions(RING_FILES, RING_FILE_BYTES), eventLoop);
    agent =
        new ControlAgent(
            new EventLoopScheduler(eventLoop, new MonotonicClock(), wakeUps),
            (address, encodedHello, listener) -> connect(settings, address, encodedHello, listener),
            agentSettings,
            identity,
            writeAheadLog,
            ControlPlane::halt);
    internal =
        new InternalServer(group, new ControlPeerCodec().encode(identity.hello()), agent, wakeUps);
    api =
        new ControlApi(
            settings.controlListen(),
            agent,
            eventLoop,
            () -> StatusReport.json(agent.status()),
            () -> StatusReport.metrics(agent.status(), wakeUps, ProcessorTime.ofThisProcess()));
  }

  /**
   * Ends the process after a broken invariant. The platform restarts the process, which recovers
   * its state from disk.
   */
  private static void halt(RuntimeException broken) {
    LOG.fatal("a broken invariant ends this process", broken);
    Runtime.getRuntime().halt(BROKEN_INVARIANT_STATUS);
  }

  private static AgentSettings agentSettings(NodeSettings settings) {
    FaultTolerance tolerance = settings.faultTolerance();
    return new AgentSettings(
        settings.node(),
        settings.ip().getHostAddress(),
        settings.seeds().stream().map(seed -> seed.getAddress().getHostAddress()).toList(),
        settings.bootstrap(),
        new NodeLocation(settings.zone(), settings.regionOfMachine()),
        new FailureTolerance(tolerance.machines(), tolerance.zones(), tolerance.regions()),
        settings.heartbeatMillis(),
        settings.bounds().closed(),
        TimeUnit.MILLISECONDS.toMicros(settings.bounds().quotaWindowMillis()),
        settings.bounds().acknowledgeTimeoutMillis());
  }

  private PeerConnector.PeerConnection connect(
      NodeSettings settings, String address, byte[] encodedHello, PeerConnector.Listener listener) {
    InetSocketAddress peer = new InetSocketAddress(address, settings.ports().first());
    ReconnectingPeerConnection link =
        new ReconnectingPeerConnection(eventLoop, peer, encodedHello, listener);
    link.connect();
    return link;
  }

  /**
   * Starts a control agent.
   *
   * @throws IOException if the agent's disk or ports cannot be used
   */
  public static ControlPlane start(NodeSettings settings) throws IOException {
    settings.warnings().forEach(LOG::warn);
    ControlPlane started = new ControlPlane(settings);
    started.internal.listen(new InetSocketAddress(settings.ip(), settings.ports().first()));
    started.eventLoop.execute(started.agent::start);
    started.api.start();
    return started;
  }

  /** Applies the setting that may change while the agent runs: the seed nodes. */
  public void settingsChanged(NodeSettings settings) {
    eventLoop.execute(() -> agent.settingsChanged(agentSettings(settings)));
  }

  /**
   * Asks the other agents to take over this agent's role for the control state. The agent keeps
   * serving until then.
   *
   * @param timeoutMillis time after which {@code onReleased} is called in any case, in milliseconds
   * @param onReleased called once on the event loop, when the control state no longer needs this
   *     agent's copy
   */
  public void shutDownGracefully(long timeoutMillis, Runnable onReleased) {
    eventLoop.execute(
        () -> agent.shutDownGracefully(TimeUnit.MILLISECONDS.toMicros(timeoutMillis), onReleased));
  }

  /** Stops accepting requests and ends all threads. */
  public void stop() {
    api.stop();
    internal.close();
    writeAheadLog.stop();
    group.shutdownGracefully(0, STOP_MILLIS, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }
}
