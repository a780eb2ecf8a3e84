package slateslip.dataplane.subscription;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import slateslip.loadbalancer.net.Backoff;

/**
 * The known control agents and the streams to them. A data plane keeps streams to its three most
 * preferred agents. While none of its streams leads to a current agent, all of these agents may be
 * in the minority of a network partition; the data plane then tries the other agents one after the
 * other.
 */
final class ControlStreams {
  /** Number of streams that are kept open. */
  private static final int MAX_STREAMS = 3;

  /**
   * Shortest backoff between two attempts to reach another agent while no stream leads to a current
   * agent.
   */
  private static final long MIN_SEARCH_BACKOFF_MILLIS = 150;

  private static final long MAX_SEARCH_BACKOFF_MILLIS = 1_500;

  private final DataPlaneIdentity identity;
  private final Map<String, ControlStream> streams = new LinkedHashMap<>();
  private final Set<String> seeds = new LinkedHashSet<>();

  /** The agents in the last heartbeat of a current agent. */
  private final Set<String> lastKnownAgents = new LinkedHashSet<>();

  private final Backoff searchBackoff;
  private long nextSearchMillis;

  ControlStreams(DataPlaneIdentity identity, Collection<String> seeds) {
    this.identity = identity;
    this.seeds.addAll(seeds);
    searchBackoff =
        new Backoff(MIN_SEARCH_BACKOFF_MILLIS, MAX_SEARCH_BACKOFF_MILLIS, identity.incarnation());
  }

  void seedsChanged(Collection<String> changed) {
    seeds.clear();
    seeds.addAll(changed);
  }

  /** Returns the stream to an agent in any state, or null if the agent is not known. */
  ControlStream of(String agent) {
    return streams.get(agent);
  }

  List<ControlStream> all() {
    return List.copyOf(streams.values());
  }

  private List<ControlStream> open() {
    return streams.values().stream().filter(ControlStream::isOpen).toList();
  }

  /** Records the agents that a heartbeat names, if its sender is current. */
  void heartbeatReceived(ControlStream stream) {
    if (stream.isCurrent()) {
      lastKnownAgents.clear();
      lastKnownAgents.addAll(stream.heartbeat.controlAgents());
    }
  }

  /** Returns the streams to dial now, and marks them as being dialled. */
  List<ControlStream> dial(long nowMillis) {
    Set<String> candidates = candidates();
    streams
        .values()
        .removeIf(
            stream ->
                stream.state == ControlStream.State.CLOSED && !candidates.contains(stream.agent));
    candidates.forEach(agent -> streams.computeIfAbsent(agent, this::newStream));
    List<ControlStream> dialled = new ArrayList<>(dialPreferred(nowMillis));
    dialNextIfNoneCurrent(nowMillis).ifPresent(dialled::add);
    return dialled;
  }

  /**
   * Marks streams for dialling: until {@link #MAX_STREAMS} are in use, and one more to a preferred
   * agent, which then replaces a less preferred one.
   */
  private List<ControlStream> dialPreferred(long nowMillis) {
    List<ControlStream> dialled = new ArrayList<>();
    long openOrDialling = openOrDialling();
    int position = 0;
    for (ControlStream stream : byRank()) {
      boolean preferred = position++ < MAX_STREAMS;
      if (stream.mayBeDialled(nowMillis)
          && (openOrDialling < MAX_STREAMS || (preferred && openOrDialling == MAX_STREAMS))) {
        stream.dialled(nowMillis);
        openOrDialling++;
        dialled.add(stream);
      }
    }
    return dialled;
  }

  /**
   * Selects the agent whose last dial is the longest ago, if all open streams lead to agents that
   * are not current and the backoff has passed. Returns empty otherwise.
   */
  private Optional<ControlStream> dialNextIfNoneCurrent(long nowMillis) {
    if (!allReportNotCurrent()) {
      searchBackoff.reset();
      return Optional.empty();
    }
    if (nowMillis < nextSearchMillis || openOrDialling() > MAX_STREAMS + 1) {
      return Optional.empty();
    }
    Optional<ControlStream> next =
        byRank().stream()
            .filter(stream -> stream.mayBeDialled(nowMillis))
            .min(Comparator.comparingLong(stream -> stream.lastDialMillis));
    next.ifPresent(
        stream -> {
          stream.dialled(nowMillis);
          nextSearchMillis = nowMillis + searchBackoff.next();
        });
    return next;
  }

  /**
   * Returns whether at least one stream is open and the agent of every open stream reports that it
   * is not current.
   */
  private boolean allReportNotCurrent() {
    List<ControlStream> open = open();
    return !open.isEmpty() && open.stream().allMatch(ControlStream::reportsNotCurrent);
  }

  private long openOrDialling() {
    return streams.values().stream()
        .filter(stream -> stream.state != ControlStream.State.CLOSED)
        .count();
  }

  private List<ControlStream> byRank() {
    return streams.values().stream()
        .sorted(Comparator.comparingLong(stream -> stream.rank))
        .toList();
  }

  /**
   * Returns the agents that may be dialled: the seeds, the agents with open streams, and the agents
   * that a current agent names. An agent that is not current may know only the agents in its part
   * of a network partition, so the agents that it names are added to the known agents and replace
   * none of them.
   */
  private Set<String> candidates() {
    Set<String> candidates = new LinkedHashSet<>(seeds);
    boolean anyCurrent = false;
    for (ControlStream stream : open()) {
      candidates.add(stream.agent);
      if (stream.isCurrent()) {
        candidates.addAll(stream.heartbeat.controlAgents());
        anyCurrent = true;
      }
    }
    if (!anyCurrent) {
      candidates.addAll(lastKnownAgents);
      open().stream()
          .filter(ControlStream::reportsNotCurrent)
          .forEach(stream -> candidates.addAll(stream.heartbeat.controlAgents()));
    }
    return candidates;
  }

  private ControlStream newStream(String agent) {
    return new ControlStream(
        agent, identity.rank(agent), identity.incarnation() + agent.hashCode());
  }

  /**
   * Returns a stream to close, or empty if no more streams are open than are kept. One additional
   * stream may stay open while an open stream has received no heartbeat yet. A stream to an agent
   * that is not current is closed first, and among equals the least preferred one. The active
   * stream is never returned.
   */
  Optional<ControlStream> surplus(ControlStream active) {
    List<ControlStream> open = open();
    boolean awaitingHeartbeat = open.stream().anyMatch(stream -> stream.heartbeat == null);
    if (open.size() <= MAX_STREAMS || (awaitingHeartbeat && open.size() == MAX_STREAMS + 1)) {
      return Optional.empty();
    }
    return open.stream()
        .filter(stream -> stream != active)
        .max(
            Comparator.comparing(ControlStream::reportsNotCurrent)
                .thenComparingLong(stream -> stream.rank));
  }

  /**
   * Returns the best open stream, or null if no heartbeat has arrived: a stream to a current agent
   * first, then one to an agent with a newer configuration version, then the most preferred one.
   *
   * @param configurationVersion version in force at this data plane; older versions count as equal
   *     to it
   */
  ControlStream best(long configurationVersion) {
    ControlStream best = null;
    for (ControlStream stream : open()) {
      boolean eligible = stream.heartbeat != null;
      if (eligible && (best == null || isBetter(stream, best, configurationVersion))) {
        best = stream;
      }
    }
    return best;
  }

  private static boolean isBetter(ControlStream one, ControlStream other, long known) {
    if (one.isCurrent() != other.isCurrent()) {
      return one.isCurrent();
    }
    long oneVersion = Math.max(known, one.configurationVersion());
    long otherVersion = Math.max(known, other.configurationVersion());
    return oneVersion == otherVersion ? one.rank < other.rank : oneVersion > otherVersion;
  }
}
