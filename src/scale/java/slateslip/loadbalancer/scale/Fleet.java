package slateslip.loadbalancer.scale;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import slateslip.loadbalancer.scale.ServerEntry.Status;

/**
 * The servers that the experiments list: numbered, all ready since long ago and of one zone and
 * kind.
 */
final class Fleet {
  private Fleet() {}

  /** The entry with that number, reached there. */
  static ServerEntry entry(int number, InetSocketAddress at) {
    return new ServerEntry(
        String.format("s-%08x", number),
        Addresses.text(at),
        "a",
        "small",
        number / 16,
        Status.READY,
        1,
        0);
  }

  /** So many entries, spread over the addresses in turn. */
  static List<ServerEntry> entries(int count, List<InetSocketAddress> at) {
    List<ServerEntry> entries = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      entries.add(entry(i, at.get(i % at.size())));
    }
    return entries;
  }
}
