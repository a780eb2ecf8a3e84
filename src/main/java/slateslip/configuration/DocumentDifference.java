package slateslip.configuration;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds the patch that turns one configuration document into another. Items are compared as they
 * were sent.
 */
final class DocumentDifference {
  private final DocumentParts before;
  private final DocumentParts after;
  private final ByteArrayOutputStream replaced = new ByteArrayOutputStream();
  private final ByteArrayOutputStream removed = new ByteArrayOutputStream();
  private final ByteArrayOutputStream upserted = new ByteArrayOutputStream();

  private DocumentDifference(DocumentParts before, DocumentParts after) {
    this.before = before;
    this.after = after;
  }

  /** Returns the patch as JSON; empty if no patch has exactly this result. */
  static Optional<byte[]> patch(DocumentParts before, DocumentParts after) {
    return new DocumentDifference(before, after).patch();
  }

  private Optional<byte[]> patch() {
    boolean expressible =
        addItems(DocumentParts.ROUTES, before.routes(), after.routes())
            && addItems(DocumentParts.SERVICES, before.services(), after.services())
            && addTenants()
            && addPart(DocumentParts.LIMITS, before.limitsJson(), after.limitsJson())
            && addOthers();
    return expressible ? Optional.of(json()) : Optional.empty();
  }

  private byte[] json() {
    ByteArrayOutputStream json = new ByteArrayOutputStream();
    write(json, "{\"version\":" + after.version());
    json.writeBytes(replaced.toByteArray());
    writeNested(json, DocumentReader.REMOVE, removed);
    writeNested(json, DocumentReader.UPSERT, upserted);
    json.write('}');
    return json.toByteArray();
  }

  private static void writeNested(
      ByteArrayOutputStream json, String field, ByteArrayOutputStream fields) {
    if (fields.size() > 0) {
      write(json, ",\"" + field + "\":{");
      byte[] content = fields.toByteArray();
      json.write(content, 1, content.length - 1); // without the comma before the first field
      json.write('}');
    }
  }

  private boolean addTenants() {
    if (before.tenants() == null || after.tenants() == null) {
      return before.tenants() == after.tenants();
    }
    return addItems(DocumentParts.TENANTS, before.tenants(), after.tenants());
  }

  private boolean addItems(String field, NamedItems<?> itemsBefore, NamedItems<?> itemsAfter) {
    List<String> namesBefore = itemsBefore.names();
    List<String> namesAfter = itemsAfter.names();
    Set<String> kept = new LinkedHashSet<>(namesBefore);
    kept.retainAll(new HashSet<>(namesAfter));
    Set<String> patchedOrder = new LinkedHashSet<>(kept);
    patchedOrder.addAll(namesAfter);
    if (!List.copyOf(patchedOrder).equals(namesAfter)) {
      return false;
    }
    addRemoved(field, namesBefore.stream().filter(name -> !kept.contains(name)).toList());
    addUpserted(field, itemsAfter.changedSince(itemsBefore));
    return true;
  }

  private void addRemoved(String field, List<String> names) {
    if (!names.isEmpty()) {
      List<String> quoted = names.stream().map(JsonText::quoted).toList();
      write(removed, ",\"" + field + "\":[" + String.join(",", quoted) + "]");
    }
  }

  private void addUpserted(String field, List<byte[]> items) {
    if (items.isEmpty()) {
      return;
    }
    write(upserted, ",\"" + field + "\":");
    char separator = '[';
    for (byte[] item : items) {
      upserted.write(separator);
      upserted.writeBytes(item);
      separator = ',';
    }
    upserted.write(']');
  }

  /** Adds a part that is replaced as a whole. A patch cannot remove such a part. */
  private boolean addPart(String field, byte[] partBefore, byte[] partAfter) {
    if (Arrays.equals(partBefore, partAfter)) {
      return true;
    }
    if (partAfter == null) {
      return false;
    }
    write(replaced, "," + JsonText.quoted(field) + ":");
    replaced.writeBytes(partAfter);
    return true;
  }

  private boolean addOthers() {
    Map<String, byte[]> othersAfter = after.others();
    Set<String> patchedOrder = new LinkedHashSet<>(before.others().keySet());
    patchedOrder.addAll(othersAfter.keySet());
    if (!List.copyOf(patchedOrder).equals(List.copyOf(othersAfter.keySet()))) {
      return false;
    }
    for (Map.Entry<String, byte[]> other : othersAfter.entrySet()) {
      String field = other.getKey();
      boolean reserved = field.equals(DocumentReader.REMOVE) || field.equals(DocumentReader.UPSERT);
      if (reserved || !addPart(field, before.others().get(field), other.getValue())) {
        return false;
      }
    }
    return true;
  }

  private static void write(ByteArrayOutputStream target, String text) {
    target.writeBytes(text.getBytes(StandardCharsets.UTF_8));
  }
}
