package slateslip.configuration;

import java.util.Locale;

/**
 * Normalizes host names. Names that differ only in case are equal (RFC 9110). A name with non-ASCII
 * letters is equal to its Punycode form ({@code xn--...}).
 */
public final class HostName {
  private static final String ENCODED_LABEL = "xn--";
  private static final String LABEL_SEPARATOR = ".";

  private HostName() {}

  /**
   * Returns the canonical form of a host from a {@code Host} header or the configuration: lower
   * case, Punycode labels decoded, without a port.
   */
  public static String canonical(String host) {
    String name = withoutPort(host).toLowerCase(Locale.ROOT);
    return name.contains(ENCODED_LABEL) ? decodeLabels(name) : name;
  }

  private static String withoutPort(String host) {
    int colon = host.lastIndexOf(':');
    boolean port =
        colon > host.lastIndexOf(']')
            && host.chars().skip(colon + 1L).allMatch(digit -> digit >= '0' && digit <= '9');
    return port ? host.substring(0, colon) : host;
  }

  private static String decodeLabels(String name) {
    String[] labels = name.split("\\.", -1);
    for (int i = 0; i < labels.length; i++) {
      String label = labels[i];
      if (label.startsWith(ENCODED_LABEL)) {
        labels[i] = Punycode.decode(label.substring(ENCODED_LABEL.length())).orElse(label);
      }
    }
    return String.join(LABEL_SEPARATOR, labels);
  }
}
