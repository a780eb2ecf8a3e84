package slateslip.loadbalancer.scale;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * A server as discovery lists it, with the names and units of the protocol's list.
 *
 * @param name its name, the same to every agent
 * @param address where agents reach it, a literal address and a port
 * @param zone its zone's name
 * @param type its kind of machine, by name
 * @param group its group
 * @param status whether it takes work
 * @param weight its share beside others
 * @param sinceMs when it last started, as Unix time in milliseconds; 0 is long ago
 */
public record ServerEntry(
    String name,
    String address,
    String zone,
    String type,
    int group,
    Status status,
    double weight,
    long sinceMs) {
  /** What a server does, in the protocol's words. */
  public enum Status {
    /** Takes work. */
    READY("Ready"),
    /** Completes its current work and accepts nothing new. */
    TERMINATING("Terminating"),
    /** Has left the list; only among changes. */
    GONE("Gone");

    private final String word;

    Status(String word) {
      this.word = word;
    }

    /** The protocol's word for it. */
    public String word() {
      return word;
    }

    static Status of(String word) {
      for (Status each : values()) {
        if (each.word.equals(word)) {
          return each;
        }
      }
      throw new IllegalArgumentException("status: " + word);
    }
  }

  /** The same server in another state. */
  public ServerEntry with(Status other, long startedAtMs) {
    return new ServerEntry(name, address, zone, type, group, other, weight, startedAtMs);
  }

  /** The same server at another address. */
  ServerEntry at(String other) {
    return new ServerEntry(name, other, zone, type, group, status, weight, sinceMs);
  }

  /** The entry in discovery's form, compact. */
  byte[] json() {
    ByteArrayOutputStream out = new ByteArrayOutputStream(160);
    try (JsonGenerator to = Json.FACTORY.createGenerator(out)) {
      to.writeStartObject();
      to.writeStringField("name", name);
      to.writeStringField("address", address);
      to.writeStringField("zone", zone);
      to.writeStringField("type", type);
      to.writeNumberField("group", group);
      to.writeStringField("status", status.word);
      to.writeNumberField("weight", weight);
      to.writeNumberField("since_ms", sinceMs);
      to.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e); // nothing is written to but memory
    }
    return out.toByteArray();
  }

  /** Reads an entry back. An unknown status is an IllegalArgumentException. */
  static ServerEntry of(JsonNode node) {
    return new ServerEntry(
        node.path("name").asText(),
        node.path("address").asText(),
        node.path("zone").asText(),
        node.path("type").asText(),
        node.path("group").asInt(),
        Status.of(node.path("status").asText()),
        node.path("weight").asDouble(1),
        node.path("since_ms").asLong());
  }
}
