package slateslip.configuration;

import java.util.List;

/** Parses tenants. */
final class TenantFormat implements ItemFormat<Tenant> {
  private static final int NO_PRIORITY = -1;
  private static final String TOKENS = "tokens";

  @Override
  public String name(Tenant tenant) {
    return tenant.name();
  }

  @Override
  public Tenant read(FieldReader fields) {
    String name = null;
    List<String> keys = List.of();
    int priority = NO_PRIORITY;
    boolean countsTokens = false;
    long uncachedTokens = 0;
    double ratePerSecond = 0;
    double burst = 0;
    while (fields.nextField()) {
      switch (fields.field()) {
        case "name" -> name = fields.text();
        case "api_keys" -> keys = fields.texts();
        case "priority" -> priority = (int) fields.number(NO_PRIORITY);
        case "unit" -> countsTokens = TOKENS.equals(fields.text());
        case "uncached_tokens" -> uncachedTokens = fields.count(0);
        case "rate_per_s" -> ratePerSecond = fields.number(0);
        case "burst" -> burst = fields.number(0);
        default -> fields.skip();
      }
    }
    if (ratePerSecond < 0) {
      fields.report("rate_per_s", "is below 0");
    }
    if (burst < 0) {
      fields.report("burst", "is below 0");
    }
    return new Tenant(
        name, List.copyOf(keys), priority, countsTokens, uncachedTokens, ratePerSecond, burst);
  }
}
