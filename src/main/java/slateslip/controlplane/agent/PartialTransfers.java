package slateslip.controlplane.agent;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import slateslip.distribution.TransferPosition;

/** The transfers of which a data plane has reported to have received a part. */
final class PartialTransfers {
  /** At least the number of incomplete transfers that a data plane keeps. */
  private static final int MAX_TRANSFERS = 16;

  private final Map<Long, TransferPosition> newestLast = new LinkedHashMap<>();

  /** Records how much of a transfer the data plane has received. */
  void received(TransferPosition position) {
    newestLast.remove(position.transfer());
    newestLast.put(position.transfer(), position);
    if (newestLast.size() > MAX_TRANSFERS) {
      Iterator<Long> oldest = newestLast.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  /** Removes all transfers. */
  void clear() {
    newestLast.clear();
  }

  /** Returns how much of a transfer the data plane has received. */
  TransferPosition of(long transfer) {
    return newestLast.getOrDefault(transfer, TransferPosition.NONE);
  }

  /** Returns the positions in all transfers, the one with the most bytes first. */
  List<TransferPosition> largestFirst() {
    return newestLast.values().stream()
        .sorted((one, other) -> Integer.compare(other.receivedBytes(), one.receivedBytes()))
        .toList();
  }
}
