package slateslip.simulation.dataplane;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import slateslip.routing.RequestAttributes.PromptPart;
import slateslip.simulation.dataplane.ClientRequest.Outcome;

/** Figures recorded by clients and engines, grouped by request class and tenant. */
public final class Measurements {
  private static final long HIGHEST_MICROS = 60_000_000;
  private static final int SIGNIFICANT_DIGITS = 3;

  /**
   * Limits the time since the last use of a shared prompt part within which a further prefill
   * counts as avoidable.
   */
  private static final long READ_AGAIN_MICROS = 10_000_000;

  /** Limits the factor by which the value of a request grows with its size. */
  private static final double LARGEST_FACTOR = 4;

  private final Map<GroupKey, Group> groups = new TreeMap<>();
  private final Map<Long, Long> lastUseByPart = new HashMap<>();
  private long probes;
  private long calls;
  private long callsToOtherZones;

  /** The request class and the tenant of a group. */
  public record GroupKey(String requestClass, String tenant) implements Comparable<GroupKey> {
    @Override
    public int compareTo(GroupKey other) {
      int byClass = requestClass.compareTo(other.requestClass);
      return byClass != 0 ? byClass : tenant.compareTo(other.tenant);
    }
  }

  /** The figures of one class and tenant, or the totals of several such groups. */
  public static final class Group {
    private final Histogram firstMicros = new Histogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram gapMicros = new Histogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS);
    private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
    private long cachedTokens;
    private long readTokens;
    private long sharedTokensReadAgain;
    private double maximumValue;
    private double earnedValue;

    /**
     * Returns the time in microseconds to the first event or to the complete response, for requests
     * that received one.
     */
    public Histogram firstMicros() {
      return firstMicros;
    }

    /**
     * Returns the longest gap between events of each stream, in microseconds; streams without a gap
     * are left out.
     */
    public Histogram gapMicros() {
      return gapMicros;
    }

    /** Returns the number of requests that met their latency targets. */
    public long inTime() {
      return count(Outcome.IN_TIME);
    }

    /** Returns the number of requests that were served but missed a latency target. */
    public long late() {
      return count(Outcome.LATE);
    }

    /**
     * Returns the number of requests that ended with a response that guarantees that the request
     * was not executed.
     */
    public long refused() {
      return count(Outcome.REFUSED);
    }

    /** Returns the number of requests that were neither served nor refused. */
    public long failed() {
      return count(Outcome.FAILED);
    }

    /** Returns the number of requests that have ended. */
    public long total() {
      return outcomes.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Returns the fraction of prompt tokens that engines found in their caches, or NaN if there
     * were no prompt tokens.
     */
    public double cachedFraction() {
      return (double) cachedTokens / (cachedTokens + readTokens);
    }

    /**
     * Returns the tokens of shared prompt parts that an engine had to prefill although a prompt
     * with the same part was admitted within the last 10 seconds.
     */
    public long sharedTokensReadAgain() {
      return sharedTokensReadAgain;
    }

    /** Returns the earned value of the requests divided by their highest possible value. */
    public double valueFraction() {
      return earnedValue / maximumValue;
    }

    private long count(Outcome outcome) {
      return outcomes.getOrDefault(outcome, 0L);
    }

    private void add(Group other) {
      firstMicros.add(other.firstMicros);
      gapMicros.add(other.gapMicros);
      other.outcomes.forEach((outcome, count) -> outcomes.merge(outcome, count, Long::sum));
      cachedTokens += other.cachedTokens;
      readTokens += other.readTokens;
      sharedTokensReadAgain += other.sharedTokensReadAgain;
      maximumValue += other.maximumValue;
      earnedValue += other.earnedValue;
    }
  }

  /** Returns all groups, ordered by class and tenant. */
  public Map<GroupKey, Group> groups() {
    return groups;
  }

  /** Returns the totals of each class over all tenants. */
  public Map<String, Group> byClass() {
    Map<String, Group> result = new TreeMap<>();
    groups.forEach(
        (key, group) -> result.computeIfAbsent(key.requestClass(), name -> new Group()).add(group));
    return result;
  }

  /** Returns the totals of each tenant over all classes. */
  public Map<String, Group> byTenant() {
    Map<String, Group> result = new TreeMap<>();
    groups.forEach(
        (key, group) -> result.computeIfAbsent(key.tenant(), name -> new Group()).add(group));
    return result;
  }

  /** Returns the totals over all classes and tenants. */
  public Group whole() {
    Group result = new Group();
    groups.values().forEach(result::add);
    return result;
  }

  /** Adds the figures of another run to these figures. */
  public void add(Measurements other) {
    other.groups.forEach(
        (key, group) -> groups.computeIfAbsent(key, name -> new Group()).add(group));
    probes += other.probes;
    calls += other.calls;
    callsToOtherZones += other.callsToOtherZones;
  }

  /**
   * Returns the fraction of attempts that were sent to a backend in another zone, or 0 if there
   * were no attempts.
   */
  public double otherZoneShare() {
    return calls == 0 ? 0 : (double) callsToOtherZones / calls;
  }

  void attemptSent(boolean otherZone) {
    calls++;
    callsToOtherZones += otherZone ? 1 : 0;
  }

  /** Returns the number of health probes that were sent. */
  public long probes() {
    return probes;
  }

  void probeSent() {
    probes++;
  }

  void admitted(ClientAttempt content, String backend, long nowMicros, long retained, long read) {
    Group group = group(content.requestClass(), content.tenantIndex());
    group.cachedTokens += retained;
    group.readTokens += read;
    List<PromptPart> prompt = content.attributes().prompt();
    long before = 0;
    for (PromptPart part : prompt.subList(0, Math.max(0, prompt.size() - 1))) {
      Long lastUse = lastUseByPart.put(part.id(), nowMicros);
      boolean missing = before >= retained;
      if (missing && lastUse != null && nowMicros - lastUse <= READ_AGAIN_MICROS) {
        group.sharedTokensReadAgain += part.tokens();
      }
      before += part.tokens();
    }
  }

  void ended(
      ClientRequest request, Outcome outcome, long firstMicros, long gapMicros, long beganMicros) {
    RequestClass requestClass = request.requestClass();
    Group group = group(requestClass, request.draw().tenant());
    group.outcomes.merge(outcome, 1L, Long::sum);
    double value = requestClass.value() * sizeFactor(request);
    group.maximumValue += value;
    if (outcome == Outcome.IN_TIME) {
      group.earnedValue += value;
    } else if (outcome == Outcome.LATE) {
      group.earnedValue += value * requestClass.lateValue() / requestClass.value();
    }
    if (firstMicros >= 0) {
      group.firstMicros.recordValue(Math.min(HIGHEST_MICROS, firstMicros));
    }
    if (gapMicros > 0) {
      group.gapMicros.recordValue(Math.min(HIGHEST_MICROS, gapMicros));
    }
  }

  private static double sizeFactor(ClientRequest request) {
    RequestClass requestClass = request.requestClass();
    double mean = requestClass.ownTokens().mean() + 50 * requestClass.outputEvents().mean();
    for (RequestClass.SharedPart part : requestClass.sharedParts()) {
      mean += part.tokens().mean();
    }
    if (mean == 0) {
      return 1;
    }
    double size =
        request.draw().prompt().stream().mapToLong(PromptPart::tokens).sum()
            + 10.0 * request.draw().outputTokens();
    return Math.min(LARGEST_FACTOR, 0.3 + 0.7 * size / mean);
  }

  private Group group(RequestClass requestClass, int tenant) {
    return groups.computeIfAbsent(
        new GroupKey(requestClass.name(), WorldPlans.tenantName(tenant)), key -> new Group());
  }
}
