package slateslip.simulation.dataplane;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import slateslip.routing.RouterOutput;

/** One client request inside the data plane. */
final class Exchange {
  final long id;
  final ClientAttempt content;
  final long acceptedMicros;
  final Map<Integer, BackendCall> live = new TreeMap<>();
  final Set<Integer> numbers = new HashSet<>();
  final Set<Integer> started = new HashSet<>();
  final Map<Integer, Long> idleMicros = new HashMap<>();
  final Map<Integer, Long> heardMicros = new HashMap<>();
  final Map<Integer, Integer> failures = new HashMap<>();

  /** The attempt that ended last, if the data plane ended it. */
  BackendCall lastLeft;

  final Map<Integer, Long> lastEventWhenSent = new HashMap<>();
  long lastEventId = -1;

  /** The attempt whose events the client gets; -1 before the first. */
  int streaming = -1;

  boolean over;

  Exchange(long id, ClientAttempt content, long acceptedMicros) {
    this.id = id;
    this.content = content;
    this.acceptedMicros = acceptedMicros;
  }

  /** Id of the last event that the client has had when an attempt is sent; 0 if none. */
  long resumeAfter(RouterOutput.SendAttempt send) {
    boolean afterLast = send.resumeAfter() == RouterOutput.AFTER_LAST_EVENT;
    long routed = afterLast ? lastEventId : send.resumeAfter();
    long clientHas = content.attributes().lastEventId();
    return Math.max(0, routed == RouterOutput.AS_SENT ? clientHas : routed);
  }

  /** Whether a call's events are those that the client gets; see the data plane's own rule. */
  boolean takesStream(BackendCall call) {
    return streaming == call.attempt()
        || !live.containsKey(streaming)
        || lastEventId == lastEventWhenSent.get(call.attempt());
  }
}
