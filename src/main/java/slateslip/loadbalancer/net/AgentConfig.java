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
 * The configuration of one agent, as read from its JSON file.
 *
 * @param listen the address on which the agent listens for clients
 * @param discovery the address of the discovery service
 * @param seed the seed for random choices, different at each start
 * @param sockets how many file descriptors the process may hold
 * @param known the last server list of this agent, in the JSON format of discovery; null after
 *     {@link #withoutKnown}
 * @param settings the settings of the load balancer
 * @param classes the names of the request classes, in the order of the settings
 * @param tenants the names of the tenants, in the order of the settings
 * @param zones the names of the zones, in the order of the settings
 * @param kinds the names of the machine types, in the order of the settings
 * @param loadFields the names of the values of a load report, in the order of the settings
 * @param loadByProbe whether only responses to probes carry load reports
 * @param connectTimeoutMicros the timeout for connecting to a backend, in microseconds
 * @param idleCloseMicros how long a connection is idle before the backend closes it, in
 *     microseconds
 * @param live the version of the settings, or null if the settings cannot change while the agent
 *     runs
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
   * Identifies settings that can be replaced while the agent runs.
   *
   * @param version the version of the settings, which grows with each change
   * @param checkMs the interval, in milliseconds, at which the agent checks whether the file has
   *     changed; 0 to read the file only after a signal
   */
  public record Live(long version, long checkMs) {}

  private static final String LIVE = "live_settings";
  private static final String KNOWN = "known";

  /**
   * The shortest permitted interval between two checks of the file. Each check costs a system call,
   * and each change costs a read of the file.
   */
  private static final long MIN_CHECK_MS = 10;

  private static final int NESTING_MAX = 100;
  private static final JsonFactory JSON =
      JsonFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder().maxNestingDepth(NESTING_MAX).build())
          .build();

  /**
   * Reads the configuration file.
   *
   * @throws IllegalArgumentException if the file is unreadable or unusable; the message is one line
   */
  public static AgentConfig read(Path file) {
    JsonNode root;
    try {
      root = json(new ByteArrayInputStream(Files.readAllBytes(file)));
    } catch (IOException e) {
      throw unreadableFile(file, e);
    }
    return of(root);
  }

  /**
   * Converts a parsed JSON document to a configuration.
   *
   * @throws IllegalArgumentException if the configuration is unusable; the message begins with the
   *     key
   */
  public static AgentConfig of(JsonNode root) {
    JsonNode settings = require(root, "settings");
    Map<String, String> pairs = new HashMap<>();
    flatten("", settings, pairs);
    return new AgentConfig(
        address(requireText(root, "listen")),
        address(requireText(root, "discovery")),
        seed(requireText(root, "seed")),
        (int) requireAtLeast(64, require(root, "limits"), "sockets"),
        root.path(KNOWN),
        SettingsParser.parse(pairs),
        names(settings.path("classes")),
        names(settings.path("realms")),
        names(settings.path("zones")),
        names(settings.path("kinds")),
        names(settings.path("load-info").path("fields")),
        settings.path("load-info").path("via").asText().equals("probe"),
        requireAtLeast(1000, require(settings, "caps"), "dial-timeout-us"),
        requireAtLeast(1000, require(settings, "caps"), "idle-close-us"),
        live(root));
  }

  private static Live live(JsonNode root) {
    long version = version(root);
    if (version < 0) {
      return null;
    }
    long checkMs = root.get(LIVE).has("check_ms") ? live(root, "check_ms") : 0;
    if (checkMs != 0 && checkMs < MIN_CHECK_MS) {
      throw invalidLiveSetting("check_ms", root.get(LIVE).get("check_ms"));
    }
    return new Live(version, checkMs);
  }

  /**
   * Returns the version of the settings in a configuration document, or -1 if the document has no
   * live settings. Throws IllegalArgumentException if the version is not a non-negative integer.
   */
  static long version(JsonNode root) {
    return root.path(LIVE).isMissingNode() ? -1 : live(root, "version");
  }

  private static long live(JsonNode root, String name) {
    JsonNode value = root.get(LIVE).path(name);
    if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < 0) {
      throw invalidLiveSetting(name, value);
    }
    return value.asLong();
  }

  private static IllegalArgumentException invalidLiveSetting(String name, JsonNode value) {
    return new IllegalArgumentException(
        "config: " + LIVE + "." + name + " has an unusable value: " + value);
  }

  /**
   * Returns the address of discovery from a configuration document, or null if the document has no
   * usable address.
   */
  static InetSocketAddress discovery(JsonNode root) {
    try {
      return address(requireText(root, "discovery"));
    } catch (IllegalArgumentException e) {
      return null;
    }
  }

  /**
   * Returns whether two configurations differ at most in the address of discovery and in the seed
   * and the known list, which matter only at the start.
   */
  boolean sameSettings(AgentConfig other) {
    return withoutStartValues().equals(other.withoutStartValues());
  }

  /**
   * Returns a copy without the known list, which only the start needs. Keeping the JSON tree of a
   * large fleet for as long as the agent runs would occupy a large part of the heap.
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

  private AgentConfig withoutStartValues() {
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
   * Reads the configuration file while the agent runs, without the known list: only the start uses
   * that list, and the list may be by far the largest part of the file. Throws
   * IllegalArgumentException if the file is incomplete, or if content follows the JSON object,
   * because a shorter file may have been written over a longer one.
   */
  static JsonNode readForReload(Path file) {
    try (InputStream from = Files.newInputStream(file);
        JsonParser parser = JSON.createParser(from)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new IllegalArgumentException("cannot read " + file + ": not a JSON object");
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
        throw new IllegalArgumentException(
            "cannot read " + file + ": content after the end of the JSON object");
      }
      return root;
    } catch (IOException e) {
      throw unreadableFile(file, e);
    }
  }

  private static IllegalArgumentException unreadableFile(Path file, IOException e) {
    String why = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    return new IllegalArgumentException("cannot read " + file + ": " + why, e);
  }

  /**
   * Parses JSON into a tree; an empty input gives a missing node. Does not use the ObjectMapper of
   * Jackson, whose creation takes a quarter of a second on half a core (it sets up date formats,
   * locales and class introspection), during which the agent serves no requests.
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
   * Converts nested JSON to the path=value pairs of the simulator's start frame, so that the same
   * parser reads the settings of both.
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
        pairs.put(path + ".count", "0"); // An empty array may stand for an empty list of objects.
      }
    } else if (!node.isNull()) {
      pairs.put(path, node.asText());
    }
  }

  /** Returns the strings of an array of strings, or the values of "name" of an array of objects. */
  private static List<String> names(JsonNode list) {
    List<String> names = new ArrayList<>();
    list.forEach(each -> names.add(each.isObject() ? each.path("name").asText() : each.asText()));
    return List.copyOf(names);
  }

  private static JsonNode require(JsonNode node, String name) {
    JsonNode found = node.path(name);
    if (found.isMissingNode() || found.isNull()) {
      throw new IllegalArgumentException("config: " + name + " is missing");
    }
    return found;
  }

  private static String requireText(JsonNode node, String name) {
    return require(node, name).asText();
  }

  private static long requireAtLeast(long minimum, JsonNode node, String name) {
    JsonNode value = require(node, name);
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

  /**
   * Parses an address of the form ip:port, as the configuration and discovery write addresses. Host
   * names are not supported because there is no DNS. Throws IllegalArgumentException if the address
   * is unusable.
   */
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
