package slateslip.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.TreeMap;

/**
 * Reads typed values of the keys of a settings file, and collects a problem for each missing or
 * malformed key.
 */
final class KeyReader {
  private static final int IPV4_BYTES = 4;
  private static final int MAX_BYTE = 255;
  private static final int MAX_PORT = 65_535;

  private final Properties properties;
  private final List<SettingsOutcome.Problem> problems = new ArrayList<>();

  KeyReader(Properties properties) {
    this.properties = properties;
  }

  /** Returns the problems of the keys read so far. */
  List<SettingsOutcome.Problem> problems() {
    return problems;
  }

  /** Returns the value of a key, or an empty string if the key is missing. */
  String text(String key) {
    return properties.getProperty(key, "");
  }

  /** Returns the value of a required key. Reports a problem if the key is missing or empty. */
  String required(String key) {
    String value = text(key);
    if (value.isEmpty()) {
      problem(key, "is missing, the process needs it");
    }
    return value;
  }

  /**
   * Reads a number of at least 0. Returns the fallback if the key is missing, empty or malformed;
   * reports a malformed value.
   */
  double number(String key, double fallback) {
    String value = text(key);
    if (value.isEmpty()) {
      return fallback;
    }
    try {
      double number = Double.parseDouble(value);
      if (Double.isFinite(number) && number >= 0) {
        return number;
      }
    } catch (NumberFormatException notANumber) {
      // The value is reported below, together with negative and infinite numbers.
    }
    problem(key, "\"" + value + "\" is not a number of at least 0");
    return fallback;
  }

  /**
   * Reads a number as {@link #number} does, rounded to the nearest integer and limited to {@link
   * Integer#MAX_VALUE}.
   */
  int integer(String key, int fallback) {
    return (int) Math.min(Integer.MAX_VALUE, Math.round(number(key, fallback)));
  }

  /**
   * Reads {@code true} or {@code false} in any case. Returns the fallback if the key is missing,
   * empty or malformed; reports a malformed value.
   */
  boolean flag(String key, boolean fallback) {
    String value = text(key);
    if (value.isEmpty()) {
      return fallback;
    }
    if (!value.equalsIgnoreCase("true") && !value.equalsIgnoreCase("false")) {
      problem(key, "\"" + value + "\" is neither true nor false");
      return fallback;
    }
    return Boolean.parseBoolean(value);
  }

  /** Reads a comma-separated list. Blank elements are left out. */
  List<String> list(String key) {
    List<String> parts = new ArrayList<>();
    for (String part : text(key).split(",", -1)) {
      if (!part.isBlank()) {
        parts.add(part.strip());
      }
    }
    return parts;
  }

  /**
   * Reads an IPv4 address from a required key. Reports a problem and returns null if the value is
   * missing or malformed.
   */
  InetAddress requiredAddress(String key) {
    String value = required(key);
    InetAddress address = value.isEmpty() ? null : parseAddress(value);
    if (address == null && !value.isEmpty()) {
      problem(key, "\"" + value + "\" is not an IPv4 address a.b.c.d");
    }
    return address;
  }

  /**
   * Reads an IPv4 address and port. Returns null if the key is missing, empty or malformed; reports
   * a malformed value.
   */
  InetSocketAddress socketAddress(String key) {
    String value = text(key);
    return value.isEmpty() ? null : parseSocketAddress(key, value);
  }

  /**
   * Reads a comma-separated list of IPv4 addresses with ports. Malformed elements are reported and
   * left out.
   */
  List<InetSocketAddress> socketAddresses(String key) {
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (String part : list(key)) {
      InetSocketAddress address = parseSocketAddress(key, part);
      if (address != null) {
        addresses.add(address);
      }
    }
    return addresses;
  }

  /**
   * Reads the first and the last port, separated by a comma, from a required key. Reports a problem
   * and returns null if the value is missing or malformed.
   */
  PortRange requiredPortRange(String key) {
    if (required(key).isEmpty()) {
      return null;
    }
    List<String> parts = list(key);
    int first = parts.size() == 2 ? parsePort(parts.get(0)) : -1;
    int last = parts.size() == 2 ? parsePort(parts.get(1)) : -1;
    if (first < 1 || last < first) {
      problem(key, "\"" + text(key) + "\" is not a first and a last port, as 7500,7515");
      return null;
    }
    return new PortRange(first, last);
  }

  /**
   * Returns the values of all keys that start with the prefix, by the rest of the key, in
   * alphabetical order.
   */
  Map<String, String> withPrefix(String prefix) {
    Map<String, String> found = new TreeMap<>();
    for (String key : properties.stringPropertyNames()) {
      if (key.startsWith(prefix) && key.length() > prefix.length()) {
        found.put(key.substring(prefix.length()), text(key));
      }
    }
    return found;
  }

  void problem(String key, String reason) {
    problems.add(new SettingsOutcome.Problem(key, reason));
  }

  private InetSocketAddress parseSocketAddress(String key, String value) {
    int colon = value.lastIndexOf(':');
    InetAddress address = colon < 0 ? null : parseAddress(value.substring(0, colon));
    int port = colon < 0 ? -1 : parsePort(value.substring(colon + 1));
    if (address == null || port < 0) {
      problem(key, "\"" + value + "\" is not an address a.b.c.d:port");
      return null;
    }
    return new InetSocketAddress(address, port);
  }

  private static InetAddress parseAddress(String value) {
    String[] parts = value.split("\\.", -1);
    if (parts.length != IPV4_BYTES) {
      return null;
    }
    byte[] bytes = new byte[IPV4_BYTES];
    for (int index = 0; index < IPV4_BYTES; index++) {
      int part = parseDecimal(parts[index], MAX_BYTE);
      if (part < 0) {
        return null;
      }
      bytes[index] = (byte) part;
    }
    try {
      return InetAddress.getByAddress(bytes);
    } catch (UnknownHostException impossible) {
      throw new IllegalStateException("an address of four bytes was rejected", impossible);
    }
  }

  private static int parsePort(String value) {
    return parseDecimal(value, MAX_PORT);
  }

  /** Parses a decimal number from 0 to the limit. Returns -1 if the value is not such a number. */
  private static int parseDecimal(String value, int limit) {
    if (value.isEmpty() || value.length() > String.valueOf(MAX_PORT).length()) {
      return -1;
    }
    for (int index = 0; index < value.length(); index++) {
      if (value.charAt(index) < '0' || value.charAt(index) > '9') {
        return -1;
      }
    }
    int number = Integer.parseInt(value);
    return number <= limit ? number : -1;
  }
}
