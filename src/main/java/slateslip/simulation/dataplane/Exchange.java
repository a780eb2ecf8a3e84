package slateslip.simulation.dataplane;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import slateslip.routing.RouterOutput;

/** The state of one client request inside a data plane. */
final class Exchange {
  final long id;
  final ClientAttempt content;
  final long acceptedMicros;
  final Map<Integer, BackendCall> activeCalls = new TreeMap<>();
  final Set<Integer> attemptNumbers = new HashSet<>();
  final Set<Integer> startedAttempts = new HashSet<>();
  final Map<Integer, Long> idleTimeoutMicros = new HashMap<>();
  final Map<Integer, Long> lastActivityMicros = new HashMap<>();
  final Map<Integer, Integer> failureStatuses = new HashMap<>();

  /** The attempt that ended last if the data plane closed its connection, otherwise null. */
  BackendCall lastClosedByDataPlane;

  final Map<Integer, Long> lastEventWhenSent = new HashMap<>();
  long lastEventId = -1;

  /**
   * The number of the attempt whose events are passed to the client, or -1 before the first event.
   */
  int streamingAttempt = -1;

  boolean finished;

  Exchange(long id, ClientAttempt content, long acceptedMicros) {
    this.id = id;
    this.content = content;
    this.acceptedMicros = acceptedMicros;
  }

  /**
   * Returns the id of the last event that the client has received when an attempt is sent, or 0 if
   * there is none.
   */
  long resumeAfter(RouterOutput.SendAttempt send) {
    boolean afterLast = send.resumeAfter() == RouterOutput.AFTER_LAST_EVENT;
    long routed = afterLast ? lastEventId : send.resumeAfter();
    long clientHas = content.attributes().lastEventId();
    return Math.max(0, routed == RouterOutput.AS_SENT ? clientHas : routed);
  }

  /**
   * Returns whether the events of a call are passed to the client; follows the rule of the real
   * data plane.
   */
  boolean passesEventsOf(BackendCall call) {
    return streamingAttempt == call.attempt()
        || !activeCalls.containsKey(streamingAttempt)
        || lastEventId == lastEventWhenSent.get(call.attempt());
  }
}
