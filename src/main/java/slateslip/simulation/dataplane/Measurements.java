package slateslip.simulation.dataplane;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import slateslip.routing.RequestAttributes.PromptPart;
import slateslip.simulation.dataplane.ClientRequest.Outcome;

/** What clients and engines saw, by class and tenant. */
public final class Measurements {
  private static final long HIGHEST_MICROS = 60_000_000;
  private static final int DIGITS = 3;

  /** A shared part that is read again within this time after its last use counts as read again. */
  private static final long READ_AGAIN_MICROS = 10_000_000;

  /** Worth of a request grows with its size, up to this factor. */
  private static final double LARGEST_FACTOR = 4;

  private final Map<GroupKey, Group> groups = new TreeMap<>();
  private final Map<Long, Long> lastUseByPart = new HashMap<>();
  private long probes;
  private long calls;
  private long callsToOtherZones;

  /** A class and a tenant. */
  public record GroupKey(String requestClass, String tenant) implements Comparable<GroupKey> {
    @Override
    public int compareTo(GroupKey other) {
      int byClass = requestClass.compareTo(other.requestClass);
      return byClass != 0 ? byClass : tenant.compareTo(other.tenant);
    }
  }

  /** Figures of one class and tenant, or of several together. */
  public static final class Group {
    private final Histogram firstMicros = new Histogram(HIGHEST_MICROS, DIGITS);
    private final Histogram gapMicros = new Histogram(HIGHEST_MICROS, DIGITS);
    private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
    private long cachedTokens;
    private long readTokens;
    private long sharedTokensReadAgain;
    private double valueOwed;
    private double valueEarned;

    /** Time to the first event or the whole answer, of requests that had one. */
    public Histogram firstMicros() {
      return firstMicros;
    }

    /** Longest pause between events of each stream that was served. */
    public Histogram gapMicros() {
      return gapMicros;
    }

    /** Requests served within their objectives. */
    public long inTime() {
      return count(Outcome.IN_TIME);
    }

    /** Requests served later. */
    public long late() {
      return count(Outcome.LATE);
    }

    /** Requests whose last response was a refusal. */
    public long refused() {
      return count(Outcome.REFUSED);
    }

    /** Requests that ended otherwise. */
    public long failed() {
      return count(Outcome.FAILED);
    }

    /** All requests that have ended. */
    public long total() {
      return outcomes.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Fraction of prompt tokens that engines had kept; NaN if there were none. */
    public double cachedFraction() {
      return (double) cachedTokens / (cachedTokens + readTokens);
    }

    /** Shared tokens that were read although some engine had used them a moment before. */
    public long sharedTokensReadAgain() {
      return sharedTokensReadAgain;
    }

    /** Worth earned by worth owed. */
    public double valueFraction() {
      return valueEarned / valueOwed;
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
      valueOwed += other.valueOwed;
      valueEarned += other.valueEarned;
    }
  }

  /** All groups, by class and tenant. */
  public Map<GroupKey, Group> groups() {
    return groups;
  }

  /** The tenants of each class together. */
  public Map<String, Group> byClass() {
    Map<String, Group> result = new TreeMap<>();
    groups.forEach(
        (key, group) -> result.computeIfAbsent(key.requestClass(), name -> new Group()).add(group));
    return result;
  }

  /** The classes of each tenant together. */
  public Map<String, Group> byTenant() {
    Map<String, Group> result = new TreeMap<>();
    groups.forEach(
        (key, group) -> result.computeIfAbsent(key.tenant(), name -> new Group()).add(group));
    return result;
  }

  /** Everything together. */
  public Group whole() {
    Group result = new Group();
    groups.values().forEach(result::add);
    return result;
  }

  /** Takes over what another run gave. */
  public void add(Measurements other) {
    other.groups.forEach(
        (key, group) -> groups.computeIfAbsent(key, name -> new Group()).add(group));
    probes += other.probes;
    calls += other.calls;
    callsToOtherZones += other.callsToOtherZones;
  }

  /** Fraction of calls that went to a backend of another zone. */
  public double otherZoneShare() {
    return calls == 0 ? 0 : (double) callsToOtherZones / calls;
  }

  void called(boolean otherZone) {
    calls++;
    callsToOtherZones += otherZone ? 1 : 0;
  }

  /** Health probes sent. */
  public long probes() {
    return probes;
  }

  void probed() {
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
    group.valueOwed += value;
    if (outcome == Outcome.IN_TIME) {
      group.valueEarned += value;
    } else if (outcome == Outcome.LATE) {
      group.valueEarned += value * requestClass.lateValue() / requestClass.value();
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
