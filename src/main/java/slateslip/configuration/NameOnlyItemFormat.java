package slateslip.configuration;

/** Parses only the name of an item. Used for lists that are unknown to this program version. */
final class NameOnlyItemFormat implements ItemFormat<String> {
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
