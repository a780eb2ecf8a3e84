package slateslip.configuration;

/** Parses services. */
final class ServiceFormat implements ItemFormat<Service> {
  private static final String DEFAULT_HEALTH_PATH = "/health";

  @Override
  public String name(Service service) {
    return service.name();
  }

  @Override
  public Service read(FieldReader fields) {
    String name = null;
    String healthPath = null;
    int maxConnections = 0;
    Service.Engine engine = null;
    while (fields.nextField()) {
      switch (fields.field()) {
        case "name" -> name = fields.text();
        case "health_path" -> healthPath = fields.text();
        case "max_conns" -> maxConnections = fields.intCount(0);
        case "engine" -> engine = fields.beginObject() ? engine(fields) : null;
        default -> fields.skip();
      }
    }
    String path = healthPath == null ? DEFAULT_HEALTH_PATH : healthPath;
    return new Service(name, path, maxConnections, engine);
  }

  private static Service.Engine engine(FieldReader fields) {
    int slots = 0;
    long cacheTokens = 0;
    int tokensPerEvent = 1;
    while (fields.nextField()) {
      switch (fields.field()) {
        case "slots" -> slots = fields.intCount(0);
        case "kv_capacity_tokens" -> cacheTokens = fields.count(0);
        case "stride" -> tokensPerEvent = fields.intCount(1);
        default -> fields.skip();
      }
    }
    return new Service.Engine(slots, cacheTokens, Math.max(1, tokensPerEvent));
  }
}
