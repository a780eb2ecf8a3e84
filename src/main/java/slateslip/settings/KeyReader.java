package slateslip.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.TreeMap;

/** Typed access to the keys of a settings file; collects a problem for each that is wrong. */
final class KeyReader {
  private static final int IPV4_BYTES = 4;
  private static final int MAX_BYTE = 255;
  private static final int MAX_PORT = 65_535;

  private final Properties properties;
  private final List<SettingsOutcome.Problem> problems = new ArrayList<>();

  KeyReader(Properties properties) {
    this.properties = properties;
  }

  /** What was wrong with the keys read so far. */
  List<SettingsOutcome.Problem> problems() {
    return problems;
  }

  /** The value; empty if the key is missing or empty. */
  String text(String key) {
    return properties.getProperty(key, "");
  }

  /** The value of a key that has to be there. */
  String required(String key) {
    String value = text(key);
    if (value.isEmpty()) {
      problem(key, "is missing, the process needs it");
    }
    return value;
  }

  /** A number, or the fallback if the key is missing or empty. */
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
      // reported below, as a negative one
    }
    problem(key, "\"" + value + "\" is not a number of at least 0");
    return fallback;
  }

  /** A whole number, or the fallback if the key is missing or empty. */
  int integer(String key, int fallback) {
    return (int) Math.min(Integer.MAX_VALUE, Math.round(number(key, fallback)));
  }

  /** {@code true} or {@code false}, or the fallback if the key is missing or empty. */
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

  /** The parts of a list joined by commas, without empty ones. */
  List<String> list(String key) {
    List<String> parts = new ArrayList<>();
    for (String part : text(key).split(",", -1)) {
      if (!part.isBlank()) {
        parts.add(part.strip());
      }
    }
    return parts;
  }

  /** An IPv4 address of a key that has to be there; null if it is wrong. */
  InetAddress requiredAddress(String key) {
    String value = required(key);
    InetAddress address = value.isEmpty() ? null : parseAddress(value);
    if (address == null && !value.isEmpty()) {
      problem(key, "\"" + value + "\" is not an IPv4 address a.b.c.d");
    }
    return address;
  }

  /** An address and port; null if the key is missing or empty, or wrong. */
  InetSocketAddress socketAddress(String key) {
    String value = text(key);
    return value.isEmpty() ? null : parseSocketAddress(key, value);
  }

  /** Addresses and ports joined by commas; wrong ones are left out and reported. */
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

  /** First and last port joined by a comma, of a key that has to be there; null if it is wrong. */
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

  /** All keys that start with the prefix, without it, in alphabetical order. */
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
      throw new IllegalStateException("four bytes are an IPv4 address", impossible);
    }
  }

  private static int parsePort(String value) {
    return parseDecimal(value, MAX_PORT);
  }

  /** A decimal number from 0 to the limit; -1 if it is none. */
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
