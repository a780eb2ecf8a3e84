package slateslip.routing.placement;

import slateslip.distribution.BackendSession;
import slateslip.loadbalancer.policy.RendezvousHash;
import slateslip.routing.health.BackendHealthMonitor;
import slateslip.routing.policy.Mechanism;
import slateslip.routing.policy.RoutingParameter;
import slateslip.routing.policy.RoutingPolicy;

/** What this data plane knows of one incarnation of a backend. */
public final class Backend {
  private final long hash;
  private final BackendHealthMonitor healthMonitor;
  private final EngineModel engine;
  private final RoutingPolicy policy;
  private final double loadDecayMicros;
  private BackendSession session;
  private boolean listed = true;
  private boolean replaced;
  private int inFlight;
  private int awaiting;
  private int reportedRequests;
  private long reportedMicros;

  /** A backend that was registered at this time. */
  public Backend(
      BackendSession session, long nowMicros, ServiceModel service, RoutingPolicy policy) {
    this.session = session;
    this.policy = policy;
    this.loadDecayMicros = (double) policy.micros(RoutingParameter.LOAD_DECAY_MILLIS);
    this.engine = new EngineModel(service, policy);
    this.healthMonitor = new BackendHealthMonitor(nowMicros, service.delay(), policy);
    long seed = 0;
    for (int i = 0; i < session.id().length(); i++) {
      seed = seed * 31 + session.id().charAt(i);
    }
    this.hash = seed;
  }

  /** Its incarnation id. */
  public String id() {
    return session.id();
  }

  /** Its newest registration. */
  public BackendSession session() {
    return session;
  }

  /** Takes over a newer registration. */
  public void registered(BackendSession newer) {
    session = newer;
    listed = true;
  }

  /** Its registration was withdrawn. */
  public void withdrawn() {
    listed = false;
  }

  /** Another instance was met at its address. */
  public void replaced() {
    replaced = true;
  }

  /** Whether new requests may be sent to it at all. */
  public boolean registered() {
    return listed && !replaced && !session.draining();
  }

  /** Whether nothing of it is left to keep. */
  public boolean forgettable() {
    return !listed && inFlight == 0;
  }

  /** Whether it is in the list of registrations. */
  public boolean listed() {
    return listed;
  }

  /** Its health. */
  public BackendHealthMonitor healthMonitor() {
    return healthMonitor;
  }

  /** What is believed of its engine; of use only for model services. */
  public EngineModel engine() {
    return engine;
  }

  /** Weight in the order in which all data planes turn to backends with a key. */
  public long weight(long key) {
    return RendezvousHash.weight(key, hash);
  }

  /** Own requests that have not ended there. */
  public int inFlight() {
    return inFlight;
  }

  /** Whether own requests there wait for their first event or answer. */
  public boolean someAwait() {
    return awaiting > 0;
  }

  /** A request is sent to it. */
  public void sent() {
    inFlight++;
    awaiting++;
  }

  /** The first event of a request has come, or it has ended without. */
  public void noLongerAwaiting() {
    awaiting--;
  }

  /** A request has ended. */
  public void ended() {
    inFlight--;
  }

  /** It told how many requests run and wait there. */
  public void loadReported(int requests, long nowMicros) {
    reportedRequests = requests;
    reportedMicros = nowMicros;
  }

  /** Requests there as far as known: own ones, and what it told while that is fresh. */
  public double load(long nowMicros) {
    if (!policy.uses(Mechanism.LOAD_REPORTS)) {
      return inFlight;
    }
    double fade = Math.exp((reportedMicros - nowMicros) / loadDecayMicros);
    return Math.max(inFlight, reportedRequests * fade);
  }
}
