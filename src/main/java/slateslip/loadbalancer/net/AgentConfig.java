package slateslip.loadbalancer.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.util.NetUtil;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import slateslip.loadbalancer.LoadBalancer;
import slateslip.loadbalancer.SettingsParser;

/**
 * The configuration of one real agent, as read from its JSON file.
 *
 * @param listen where the application connects
 * @param discovery where the server list comes from
 * @param seed for random choices; new with each start
 * @param sockets how many file descriptors the process may hold
 * @param known the server list as this agent last had it, in discovery's form
 * @param settings what the module is told
 * @param classes names of the request classes, in the settings' order
 * @param tenants names of the tenants, in the settings' order
 * @param zones names of the zones, in the settings' order
 * @param kinds names of the kinds of machine, in the settings' order
 * @param loadFields names of the values of a load report, in the settings' order
 * @param loadByProbe whether only probes bring load reports
 * @param connectTimeoutMicros a connection not up by then has failed
 * @param idleCloseMicros a server closes a connection that has been idle for this long
 * @param live the version of the settings, or null where those of the start stay
 */
public record AgentConfig(
    InetSocketAddress listen,
    InetSocketAddress discovery,
    long seed,
    int sockets,
    JsonNode known,
    LoadBalancer.Settings settings,
    List<String> classes,
    List<String> tenants,
    List<String> zones,
    List<String> kinds,
    List<String> loadFields,
    boolean loadByProbe,
    long connectTimeoutMicros,
    long idleCloseMicros,
    Live live) {

  /**
   * Settings that may be replaced while the agent runs.
   *
   * @param version grows with each change
   * @param checkMs how often the file is looked at without a signal; 0 for never
   */
  public record Live(long version, long checkMs) {}

  private static final String LIVE = "live_settings";
  private static final String KNOWN = "known";

  /**
   * The file is looked at no more often than this: a look costs a call of the system, a change a
   * read.
   */
  private static final long MIN_CHECK_MS = 10;

  private static final int NESTING_MAX = 100;
  private static final JsonFactory JSON =
      JsonFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder().maxNestingDepth(NESTING_MAX).build())
          .build();

  /** Reads the file; an unusable one is an exception whose message is one plain line. */
  public static AgentConfig read(Path file) {
    JsonNode root;
    try {
      root = json(new ByteArrayInputStream(Files.readAllBytes(file)));
    } catch (IOException e) {
      throw unreadable(file, e);
    }
    return of(root);
  }

  /**
   * Reads a configuration that has been parsed.
   *
   * @throws IllegalArgumentException if it is unusable; the message begins with the key
   */
  public static AgentConfig of(JsonNode root) {
    JsonNode settings = need(root, "settings");
    Map<String, String> pairs = new HashMap<>();
    flatten("", settings, pairs);
    return new AgentConfig(
        address(text(root, "listen")),
        address(text(root, "discovery")),
        seed(text(root, "seed")),
        (int) requireAtLeast(64, need(root, "limits"), "sockets"),
        root.path(KNOWN),
        SettingsParser.parse(pairs),
        names(settings.path("classes")),
        names(settings.path("realms")),
        names(settings.path("zones")),
        names(settings.path("kinds")),
        names(settings.path("load-info").path("fields")),
        settings.path("load-info").path("via").asText().equals("probe"),
        requireAtLeast(1000, need(settings, "caps"), "dial-timeout-us"),
        requireAtLeast(1000, need(settings, "caps"), "idle-close-us"),
        live(root));
  }

  private static Live live(JsonNode root) {
    long version = version(root);
    if (version < 0) {
      return null;
    }
    long every = root.get(LIVE).has("check_ms") ? live(root, "check_ms") : 0;
    if (every != 0 && every < MIN_CHECK_MS) {
      throw badLive("check_ms", root.get(LIVE).get("check_ms"));
    }
    return new Live(version, every);
  }

  /** The version of the settings in a file, or -1 where they have none. */
  static long version(JsonNode root) {
    return root.path(LIVE).isMissingNode() ? -1 : live(root, "version");
  }

  private static long live(JsonNode root, String name) {
    JsonNode value = root.get(LIVE).path(name);
    if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < 0) {
      throw badLive(name, value);
    }
    return value.asLong();
  }

  private static IllegalArgumentException badLive(String name, JsonNode value) {
    return new IllegalArgumentException(
        "config: " + LIVE + "." + name + " has an unusable value: " + value);
  }

  /** Where discovery is, or null if a file does not tell. */
  static InetSocketAddress discovery(JsonNode root) {
    try {
      return address(text(root, "discovery"));
    } catch (IllegalArgumentException e) {
      return null;
    }
  }

  /**
   * Whether the two say the same but for what matters at the start alone, and where discovery is.
   */
  boolean sameSettings(AgentConfig other) {
    return unchanging().equals(other.unchanging());
  }

  /**
   * The same without the known list, which is needed once. Guards against a tree of it that is kept
   * for as long as the agent runs: for a large fleet it would take a great part of the heap.
   */
  AgentConfig withoutKnown() {
    return new AgentConfig(
        listen,
        discovery,
        seed,
        sockets,
        null,
        settings,
        classes,
        tenants,
        zones,
        kinds,
        loadFields,
        loadByProbe,
        connectTimeoutMicros,
        idleCloseMicros,
        live);
  }

  private AgentConfig unchanging() {
    return new AgentConfig(
        listen,
        null,
        0,
        sockets,
        null,
        settings,
        classes,
        tenants,
        zones,
        kinds,
        loadFields,
        loadByProbe,
        connectTimeoutMicros,
        idleCloseMicros,
        live);
  }

  /**
   * Reads the file of an agent that runs, but for the known list: it matters at the start alone,
   * and may be by far the largest part. What is not complete is unusable, also where something
   * follows its end: a shorter file may have been written over a longer one.
   */
  static JsonNode readAgain(Path file) {
    try (InputStream from = Files.newInputStream(file);
        JsonParser parser = JSON.createParser(from)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new IllegalArgumentException("cannot read " + file + ": no JSON object");
      }
      ObjectNode root = JsonNodeFactory.instance.objectNode();
      while (parser.nextToken() != JsonToken.END_OBJECT) {
        String name = parser.currentName();
        JsonToken value = parser.nextToken();
        if (name.equals(KNOWN)) {
          parser.skipChildren();
        } else {
          root.set(name, json(parser, value));
        }
      }
      if (parser.nextToken() != null) {
        throw new IllegalArgumentException("cannot read " + file + ": something follows its end");
      }
      return root;
    } catch (IOException e) {
      throw unreadable(file, e);
    }
  }

  private static IllegalArgumentException unreadable(Path file, IOException e) {
    String why = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    return new IllegalArgumentException("cannot read " + file + ": " + why, e);
  }

  /**
   * Reads JSON. The library's mapper would do the same, but its making takes a quarter of a second
   * on half a core (it sets up dates, locales and the reading of classes): nobody is served
   * meanwhile.
   */
  public static JsonNode json(InputStream from) throws IOException {
    try (JsonParser parser = JSON.createParser(from)) {
      return json(parser, parser.nextToken());
    }
  }

  private static JsonNode json(JsonParser from, JsonToken at) throws IOException {
    JsonNodeFactory nodes = JsonNodeFactory.instance;
    if (at == null) {
      return nodes.missingNode();
    }
    switch (at) {
      case START_OBJECT -> {
        ObjectNode object = nodes.objectNode();
        while (from.nextToken() != JsonToken.END_OBJECT) {
          String name = from.currentName();
          object.set(name, json(from, from.nextToken()));
        }
        return object;
      }
      case START_ARRAY -> {
        ArrayNode array = nodes.arrayNode();
        while (from.nextToken() != JsonToken.END_ARRAY) {
          array.add(json(from, from.currentToken()));
        }
        return array;
      }
      case VALUE_NUMBER_INT -> {
        return from.getNumberType() == JsonParser.NumberType.BIG_INTEGER
            ? nodes.numberNode(from.getBigIntegerValue())
            : nodes.numberNode(from.getLongValue());
      }
      case VALUE_NUMBER_FLOAT -> {
        return nodes.numberNode(from.getDoubleValue());
      }
      case VALUE_NULL -> {
        return nodes.nullNode();
      }
      case VALUE_TRUE, VALUE_FALSE -> {
        return nodes.booleanNode(from.getBooleanValue());
      }
      default -> {
        return nodes.textNode(from.getText());
      }
    }
  }

  /**
   * Nested JSON as the path=value pairs of the simulator's first message: one parser serves both.
   */
  private static void flatten(String path, JsonNode node, Map<String, String> pairs) {
    if (node.isObject()) {
      node.properties()
          .forEach(
              each ->
                  flatten(
                      path.isEmpty() ? each.getKey() : path + "." + each.getKey(),
                      each.getValue(),
                      pairs));
    } else if (node.isArray() && node.path(0).isContainerNode()) {
      pairs.put(path + ".count", String.valueOf(node.size()));
      for (int i = 0; i < node.size(); i++) {
        flatten(path + "." + i, node.get(i), pairs);
      }
    } else if (node.isArray()) {
      pairs.put(path, String.join(",", names(node)));
      if (node.isEmpty()) {
        pairs.put(path + ".count", "0"); // it may have been meant as a list of objects
      }
    } else if (!node.isNull()) {
      pairs.put(path, node.asText());
    }
  }

  /** The words of a list of words, or the names of a list of objects. */
  private static List<String> names(JsonNode list) {
    List<String> names = new ArrayList<>();
    list.forEach(each -> names.add(each.isObject() ? each.path("name").asText() : each.asText()));
    return List.copyOf(names);
  }

  private static JsonNode need(JsonNode node, String name) {
    JsonNode found = node.path(name);
    if (found.isMissingNode() || found.isNull()) {
      throw new IllegalArgumentException("config: " + name + " is missing");
    }
    return found;
  }

  private static String text(JsonNode node, String name) {
    return need(node, name).asText();
  }

  private static long requireAtLeast(long minimum, JsonNode node, String name) {
    JsonNode value = need(node, name);
    if (!value.isNumber() || value.asLong() < minimum) {
      throw new IllegalArgumentException("config: " + name + " has an unusable value: " + value);
    }
    return value.asLong();
  }

  private static long seed(String hex) {
    try {
      return Long.parseUnsignedLong(hex, 16);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("config: seed has an unusable value: " + hex, e);
    }
  }

  /** An address as the configuration and discovery write it: a literal one, for there is no DNS. */
  public static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    byte[] host =
        colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    try {
      if (host != null) {
        return new InetSocketAddress(
            InetAddress.getByAddress(host), Integer.parseInt(text.substring(colon + 1)));
      }
    } catch (UnknownHostException | IllegalArgumentException e) {
      throw new IllegalArgumentException("unusable address: " + text, e);
    }
    throw new IllegalArgumentException("unusable address: " + text);
  }
}
