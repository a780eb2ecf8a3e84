package slateslip.routing.placement;

import slateslip.distribution.BackendSession;
import slateslip.loadbalancer.policy.RendezvousHash;
import slateslip.routing.health.BackendHealthMonitor;
import slateslip.routing.policy.Mechanism;
import slateslip.routing.policy.RoutingParameter;
import slateslip.routing.policy.RoutingPolicy;

/** The state of one incarnation of a backend as this data plane observes it. */
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
  private int awaitingFirstEvent;
  private int reportedRequests;
  private long reportedMicros;

  /** Creates a backend that was first registered at this time, in microseconds. */
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

  /** Returns the incarnation id, which changes at each start of the backend. */
  public String id() {
    return session.id();
  }

  /** Returns the latest registration of the backend. */
  public BackendSession session() {
    return session;
  }

  /** Updates the registration; the backend counts as listed again. */
  public void updateRegistration(BackendSession newer) {
    session = newer;
    listed = true;
  }

  /** Records that the backend is no longer in the list of registrations. */
  public void withdrawn() {
    listed = false;
  }

  /**
   * Records that another instance responded at the address of the backend, so that no new requests
   * are sent there.
   */
  public void replaced() {
    replaced = true;
  }

  /**
   * Returns whether new requests may be sent to the backend: it is listed, not replaced by another
   * instance and not draining.
   */
  public boolean acceptsRequests() {
    return listed && !replaced && !session.draining();
  }

  /**
   * Returns whether the backend is neither listed nor serving a request of this data plane, so that
   * its state can be removed.
   */
  public boolean canBeRemoved() {
    return !listed && inFlight == 0;
  }

  /** Returns whether the backend is in the list of registrations. */
  public boolean listed() {
    return listed;
  }

  /** Returns the monitor of the backend's health at this data plane. */
  public BackendHealthMonitor healthMonitor() {
    return healthMonitor;
  }

  /**
   * Returns the model of the backend's engine, which is meaningful only for services with engines.
   */
  public EngineModel engine() {
    return engine;
  }

  /**
   * Returns the rendezvous hash of this backend for a key. All data planes prefer backends in the
   * same order, by descending weight.
   */
  public long weight(long key) {
    return RendezvousHash.weight(key, hash);
  }

  /** Returns the number of attempts of this data plane that are in flight at the backend. */
  public int inFlight() {
    return inFlight;
  }

  /**
   * Returns whether an attempt of this data plane waits for its first event or response from the
   * backend.
   */
  public boolean hasAwaitingAttempts() {
    return awaitingFirstEvent > 0;
  }

  /** Records that an attempt is sent to the backend. */
  public void sent() {
    inFlight++;
    awaitingFirstEvent++;
  }

  /** Records that an attempt has received its first event or has ended without one. */
  public void stopAwaiting() {
    awaitingFirstEvent--;
  }

  /** Records that an attempt has ended. */
  public void ended() {
    inFlight--;
  }

  /** Records the total number of running and waiting requests that the backend reported. */
  public void loadReported(int requests, long nowMicros) {
    reportedRequests = requests;
    reportedMicros = nowMicros;
  }

  /**
   * Returns the estimated number of requests at the backend: the larger of the attempts in flight
   * from this data plane and the reported load, which decays with its age.
   */
  public double load(long nowMicros) {
    if (!policy.uses(Mechanism.LOAD_REPORTS)) {
      return inFlight;
    }
    double decay = Math.exp((reportedMicros - nowMicros) / loadDecayMicros);
    return Math.max(inFlight, reportedRequests * decay);
  }
}
