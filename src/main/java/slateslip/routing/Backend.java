package slateslip.routing;

import slateslip.distribution.BackendSession;

/** What this data plane knows of one incarnation of a backend. */
final class Backend {
  /** Its newest registration. */
  BackendSession session;

  /** Whether the registration is withdrawn; kept only until its attempts have ended. */
  boolean gone;

  /** Own attempts that have not ended. */
  int inFlight;

  Backend(BackendSession session) {
    this.session = session;
  }

  /** Its incarnation id. */
  String id() {
    return session.id();
  }

  /** Whether new requests may be sent to it at all. */
  boolean registered() {
    return !gone && !session.draining();
  }
}
