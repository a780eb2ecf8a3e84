package slateslip.configuration;

/** Reads nothing of an item but its name: for lists that this version does not know. */
final class UnreadItemFormat implements ItemFormat<String> {
  @Override
  public String name(String value) {
    return value;
  }

  @Override
  public String read(FieldReader fields) {
    String name = null;
    while (fields.nextField()) {
      if (fields.field().equals("name")) {
        name = fields.text();
      } else {
        fields.skip();
      }
    }
    return name;
  }
}
